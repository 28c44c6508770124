/** Reads configuration files in YAML or JSON, with line numbers. */
import {readFile} from 'node:fs/promises';
import type {ObjectFinding, SourceObject} from 'sycamoreyoke/version/check';
import {Severity} from 'sycamoreyoke/findings';
import {LineCounter, isNode, parseDocument} from 'yaml';
import type {Document} from 'yaml';

/** Objects of the files, and faults that keep a file from being read. */
export interface ReadFiles {
  readonly sources: readonly SourceObject[];
  readonly findings: readonly ObjectFinding[];
}

type FieldPath = ReadonlyArray<string | number>;

/** Reads every file; JSON is read as YAML, which contains it. */
export async function readFiles(files: readonly string[]): Promise<ReadFiles> {
  const parts = await Promise.all(
    files.map(async (file) => parseFile(file, await readText(file))),
  );
  return {
    sources: parts.flatMap(({sources}) => sources),
    findings: parts.flatMap(({findings}) => findings),
  };
}

/** Parses one file; without a text, the file cannot be read. */
export function parseFile(file: string, text: string | undefined): ReadFiles {
  if (text === undefined) {
    return {sources: [], findings: [createFinding(file, 'cannot be read')]};
  }
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {lineCounter, prettyErrors: false});
  const findings = document.errors.map((error) =>
    createFinding(file, error.message, lineCounter.linePos(error.pos[0]).line),
  );
  if (findings.length > 0) return {sources: [], findings};
  const content = document.toJS() as unknown;
  const objects = readObjects(content);
  if (!objects) {
    const message = 'must be a mapping with a list named "objects" only';
    return {sources: [], findings: [createFinding(file, message, 1)]};
  }
  const sources = objects.map((value, index) => ({
    value,
    file,
    findLine: (path: FieldPath) =>
      findLine(document, lineCounter, ['objects', index, ...path]),
  }));
  return {sources, findings: []};
}

const FILE_FIELDS = new Set(['objects', '$schema']);

function readObjects(content: unknown): unknown[] | undefined {
  if (typeof content !== 'object' || content === null) return undefined;
  if (!Object.keys(content).every((key) => FILE_FIELDS.has(key))) {
    return undefined;
  }
  const {objects} = content as {objects?: unknown};
  return Array.isArray(objects) ? objects : undefined;
}

/** Line of the node at the path, or of the nearest one around it. */
function findLine(
  document: Document,
  lineCounter: LineCounter,
  path: FieldPath,
): number | undefined {
  for (let length = path.length; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (!isNode(node) || !node.range) continue;
    return lineCounter.linePos(node.range[0]).line;
  }
  return undefined;
}

function createFinding(
  file: string,
  message: string,
  line?: number,
): ObjectFinding {
  return {
    place: line === undefined ? file : `${file}:${line}`,
    message,
    severity: Severity.ERROR,
    path: '',
    file,
    ...(line === undefined ? {} : {line}),
  };
}

async function readText(file: string): Promise<string | undefined> {
  return readFile(file, 'utf8').catch(() => undefined);
}
