/** Arguments, error handling and output shared by the config commands. */
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

export const OBJECT_STORE_ARGUMENT = {
  type: 'string',
  default: '',
  description: 'URL of the object store',
} as const;

/** An argument or flag of the command line is invalid. */
export class UsageError extends SycamoreyokeError {}

/** Valid objects of configuration files, with the warnings about them. */
export interface LoadedFiles {
  readonly objects: readonly ConfigurationObject[];
  readonly findings: readonly ObjectFinding[];
}

/**
 * Reads and validates files as one configuration. Throws a `UsageError` when no
 * file is given and a `ValidationError` when a finding is an error.
 */
export async function loadFiles(
  files: readonly string[],
): Promise<LoadedFiles> {
  if (files.length === 0) throw new UsageError('no configuration files given');
  const parsedFiles = await readFiles(files);
  const checked = checkSet(parsedFiles.sources);
  const findings = [...parsedFiles.findings, ...checked.findings];
  if (findings.some(isError)) {
    throw new ValidationError('configuration', findings);
  }
  return {objects: checked.objects, findings};
}

/**
 * Parses an argument of 1 to 12 decimal digits. Throws a `UsageError` for any
 * other text.
 */
export function parseWholeNumber(name: string, text: string): number {
  if (/^\d{1,12}$/.test(text)) return Number(text);
  throw new UsageError(`--${name} must be a whole number, not "${text}"`);
}

export function createTableClient(url: string): TableClient {
  return new TableClient(parseUrl('table-url', url));
}

export function createObjectStoreClient(url: string): ObjectStoreClient {
  return new ObjectStoreClient(parseUrl('object-store-url', url));
}

/** The part of citty's command context that is used here. */
interface CommandContext {
  readonly rawArgs: readonly string[];
  readonly args: {readonly json: boolean};
  readonly cmd: {readonly args?: unknown};
}

/** Runs a command; on a project error, prints it and sets the exit code. */
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
  const knownFlags = new Set(Object.keys(cmd.args ?? {}));
  const unknownFlags = rawArgs
    .filter((argument) => argument.startsWith('--'))
    .map((argument) => argument.slice(2).replace(/=.*$/, ''))
    .filter((name) => name !== '' && !knownFlags.has(name));
  if (unknownFlags.length === 0) return;
  const names = unknownFlags.map((name) => `--${name}`).join(', ');
  throw new UsageError(`unknown flags: ${names}`);
}

/** Chooses the exit code for an error. */
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

/** Formats a change as one line: `+` added, `-` removed, `~` modified. */
export function formatChange(change: ObjectChange): string {
  const sign = change.before ? (change.after ? '~' : '-') : '+';
  const {before, after} = change;
  const fields = before && after ? formatFields(before, after) : '';
  return `${sign} ${change.kind} "${change.name}"${fields}`;
}

function formatFields(
  before: ConfigurationObject,
  after: ConfigurationObject,
): string {
  const oldValues = new Map<string, unknown>(Object.entries(before));
  const changed = Object.entries(after)
    .map(([field, value]) => [
      field,
      JSON.stringify(oldValues.get(field)),
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
