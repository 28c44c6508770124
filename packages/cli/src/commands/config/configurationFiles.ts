/** Parses configuration files (YAML or JSON) and keeps their line numbers. */
import {readFile} from 'node:fs/promises';
import type {ObjectFinding, SourceObject} from 'sycamoreyoke/version/check';
import {Severity} from 'sycamoreyoke/findings';
import {LineCounter, isNode, parseDocument} from 'yaml';
import type {Document} from 'yaml';

/** Objects of the files, and a finding for each file that cannot be parsed. */
export interface ParsedFiles {
  readonly sources: readonly SourceObject[];
  readonly findings: readonly ObjectFinding[];
}

type FieldPath = ReadonlyArray<string | number>;

/** Reads and parses files. JSON is parsed as YAML, which is a superset of it. */
export async function readFiles(
  files: readonly string[],
): Promise<ParsedFiles> {
  const parsedFiles = await Promise.all(
    files.map(async (file) => parseFile(file, await readText(file))),
  );
  return {
    sources: parsedFiles.flatMap(({sources}) => sources),
    findings: parsedFiles.flatMap(({findings}) => findings),
  };
}

/**
 * Parses the text of a file. An undefined text stands for an unreadable file
 * and yields a finding.
 */
export function parseFile(file: string, text: string | undefined): ParsedFiles {
  if (text === undefined) {
    return {
      sources: [],
      findings: [createFinding(file, 'file cannot be read')],
    };
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
    const message =
      'must be a mapping with a list "objects" and no other key than "$schema"';
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

const TOP_LEVEL_KEYS = new Set(['objects', '$schema']);

function readObjects(content: unknown): unknown[] | undefined {
  if (typeof content !== 'object' || content === null) return undefined;
  if (!Object.keys(content).every((key) => TOP_LEVEL_KEYS.has(key))) {
    return undefined;
  }
  const {objects} = content as {objects?: unknown};
  return Array.isArray(objects) ? objects : undefined;
}

/** Returns the line of the YAML node at a path, or of its nearest ancestor. */
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
