/** What the config commands share: arguments, exit codes and output. */
import {ObjectStoreClient} from '@sycamoreyoke/node/process/objectStoreClient';
import {TableClient} from '@sycamoreyoke/node/process/tableClient';
import {
  ConflictError,
  PlatformUnavailableError,
  SycamoreyokeError,
  ValidationError,
} from 'sycamoreyoke/errors';
import type {Finding} from 'sycamoreyoke/findings';
import {formatFinding, isError} from 'sycamoreyoke/findings';
import {checkSet} from 'sycamoreyoke/version/check';
import type {ObjectFinding} from 'sycamoreyoke/version/check';
import type {
  ConfigurationObject,
  ObjectChange,
} from 'sycamoreyoke/version/types';
import {readFiles} from './configurationFiles.js';

/** Exit codes of the config commands. */
export enum ExitCode {
  OK = 0,
  FINDINGS = 1,
  USAGE = 2,
  CONFLICT = 3,
  PLATFORM_UNAVAILABLE = 4,
}

export const EXIT_CODES_HELP =
  'Exit codes: 0 ok, 1 findings, 2 usage, 3 conflict, 4 platform unavailable';

export const JSON_ARGUMENT = {
  type: 'boolean',
  default: false,
  description: 'Print JSON',
} as const;

export const TABLE_ARGUMENT = {
  type: 'string',
  default: '',
  description: 'URL of the table service',
} as const;

export const STORE_ARGUMENT = {
  type: 'string',
  default: '',
  description: 'URL of the object store',
} as const;

/** Input on the command line that has no meaning. */
export class UsageError extends SycamoreyokeError {}

/** Valid objects of files. */
export interface LoadedFiles {
  readonly objects: readonly ConfigurationObject[];
  readonly findings: readonly ObjectFinding[];
}

/** Reads and checks files; throws when there are errors. */
export async function loadFiles(
  files: readonly string[],
): Promise<LoadedFiles> {
  if (files.length === 0) throw new UsageError('name at least one file');
  const read = await readFiles(files);
  const checked = checkSet(read.sources);
  const findings = [...read.findings, ...checked.findings];
  if (findings.some(isError)) {
    throw new ValidationError('configuration', findings);
  }
  return {objects: checked.objects, findings};
}

/** Reads a whole number of an argument. */
export function parseVersion(name: string, text: string): number {
  if (/^\d{1,12}$/.test(text)) return Number(text);
  throw new UsageError(`--${name} must be a whole number, not "${text}"`);
}

export function createTable(url: string): TableClient {
  return new TableClient(parseUrl('table-url', url));
}

export function createStore(url: string): ObjectStoreClient {
  return new ObjectStoreClient(parseUrl('object-store-url', url));
}

/** What citty passes to a command. */
interface CommandContext {
  readonly rawArgs: readonly string[];
  readonly args: {readonly json: boolean};
  readonly cmd: {readonly args?: unknown};
}

/** Runs a command and sets the exit code that its error stands for. */
export async function runCommand(
  context: CommandContext,
  run: () => Promise<void>,
): Promise<void> {
  try {
    checkFlags(context);
    await run();
  } catch (error) {
    if (!(error instanceof SycamoreyokeError)) throw error;
    process.exitCode = chooseExitCode(error);
    printError(context.args.json, error);
  }
}

function checkFlags({rawArgs, cmd}: CommandContext): void {
  const known = new Set(Object.keys(cmd.args ?? {}));
  const unknown = rawArgs
    .filter((argument) => argument.startsWith('--'))
    .map((argument) => argument.slice(2).replace(/=.*$/, ''))
    .filter((name) => name !== '' && !known.has(name));
  if (unknown.length === 0) return;
  const names = unknown.map((name) => `--${name}`).join(', ');
  throw new UsageError(`unknown flags: ${names}`);
}

/** Exit code for an error. */
export function chooseExitCode(error: SycamoreyokeError): ExitCode {
  if (error instanceof UsageError) return ExitCode.USAGE;
  if (error instanceof ConflictError) return ExitCode.CONFLICT;
  if (error instanceof PlatformUnavailableError) {
    return ExitCode.PLATFORM_UNAVAILABLE;
  }
  return ExitCode.FINDINGS;
}

export function printJson(value: unknown): void {
  console.log(JSON.stringify(value, undefined, 2));
}

export function printFindings(findings: readonly Finding[]): void {
  for (const finding of findings) console.error(formatFinding(finding));
}

/** One line for each changed object. */
export function formatChange(change: ObjectChange): string {
  const mark = change.before ? (change.after ? '~' : '-') : '+';
  const {before, after} = change;
  const fields = before && after ? formatFields(before, after) : '';
  return `${mark} ${change.kind} "${change.name}"${fields}`;
}

function formatFields(
  before: ConfigurationObject,
  after: ConfigurationObject,
): string {
  const old = new Map<string, unknown>(Object.entries(before));
  const changed = Object.entries(after)
    .map(([field, value]) => [
      field,
      JSON.stringify(old.get(field)),
      JSON.stringify(value),
    ])
    .filter(([, from, to]) => from !== to)
    .map(([field, from, to]) => ` ${field}: ${from} -> ${to}`);
  return changed.length === 0 ? '' : `:${changed.join(',')}`;
}

function parseUrl(name: string, text: string): string {
  if (URL.canParse(text)) return text;
  throw new UsageError(`--${name} must be a URL, not "${text}"`);
}

function printError(isJson: boolean, error: SycamoreyokeError): void {
  if (!isJson) {
    console.error(error.message);
    return;
  }
  printJson({
    error: error.name,
    message: error.message,
    ...(error instanceof ValidationError ? {findings: error.findings} : {}),
    ...(error instanceof ConflictError ? {conflicts: error.conflicts} : {}),
  });
}
