/** Reads settings from command-line flags and environment variables. */
import {parseArgs} from 'node:util';
import type {z} from 'zod';
import {ValidationError} from './errors.js';
import type {Finding} from './findings.js';

const ENVIRONMENT_PREFIX = 'SYCAMOREYOKE_';

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Returns the flag of a setting: `peerPort` becomes `--peer-port`. */
export function formatFlag(setting: string): string {
  return `--${setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/**
 * Returns the environment variable of a setting: `peerPort` becomes
 * `SYCAMOREYOKE_PEER_PORT`.
 */
export function formatVariable(setting: string): string {
  const snake = setting.replace(/[A-Z]/g, (letter) => `_${letter}`);
  return ENVIRONMENT_PREFIX + snake.toUpperCase();
}

interface RawSettings {
  readonly values: Readonly<Record<string, string>>;
  readonly findings: readonly Finding[];
}

function readFlags(
  settings: readonly string[],
  args: readonly string[],
): RawSettings {
  const settingByFlag = new Map(
    settings.map((setting) => [formatFlag(setting).slice(2), setting]),
  );
  const options = Object.fromEntries(
    [...settingByFlag.keys()].map((flag) => [flag, {type: 'string'} as const]),
  );
  const {tokens} = parseArgs({
    args: [...args],
    options,
    strict: false,
    allowPositionals: true,
    tokens: true,
  });
  const values: Record<string, string> = {};
  const findings: Finding[] = [];
  for (const token of tokens) {
    if (token.kind === 'positional') {
      findings.push({place: token.value, message: 'unexpected argument'});
    }
    if (token.kind !== 'option') continue;
    const setting = settingByFlag.get(token.name);
    if (setting === undefined) {
      findings.push({place: token.rawName, message: 'unknown flag'});
    } else if (token.value === undefined) {
      findings.push({place: token.rawName, message: 'needs a value'});
    } else {
      values[setting] = token.value;
    }
  }
  return {values, findings};
}

function readVariables(
  settings: readonly string[],
  environment: Environment,
): RawSettings {
  const settingByVariable = new Map(
    settings.map((setting) => [formatVariable(setting), setting]),
  );
  const values: Record<string, string> = {};
  const findings: Finding[] = [];
  for (const [variable, value] of Object.entries(environment)) {
    if (!variable.startsWith(ENVIRONMENT_PREFIX) || value === undefined) {
      continue;
    }
    const setting = settingByVariable.get(variable);
    if (setting === undefined) {
      findings.push({place: variable, message: 'unknown variable'});
    } else {
      values[setting] = value;
    }
  }
  return {values, findings};
}

function describeIssue(
  issue: z.core.$ZodIssue,
  values: Readonly<Record<string, string>>,
): Finding {
  const setting = String(issue.path[0] ?? '');
  const value = values[setting];
  const valueText = value === undefined ? 'not set' : `value "${value}"`;
  return {
    place: `${formatFlag(setting)} (${formatVariable(setting)})`,
    message: `${valueText}: ${issue.message}`,
  };
}

/**
 * Reads all settings of a schema. A flag takes precedence over an environment
 * variable. Throws a single ValidationError that lists every fault.
 */
export function readSettings<S extends z.ZodObject>(
  subject: string,
  schema: S,
  args: readonly string[],
  environment: Environment,
): z.output<S> {
  const settings = Object.keys(schema.shape);
  const flags = readFlags(settings, args);
  const variables = readVariables(settings, environment);
  const values = {...variables.values, ...flags.values};
  const result = schema.safeParse(values);
  const issues = result.success ? [] : result.error.issues;
  const findings = [
    ...flags.findings,
    ...variables.findings,
    ...issues.map((issue) => describeIssue(issue, values)),
  ];
  if (result.success && findings.length === 0) return result.data;
  throw new ValidationError(subject, findings);
}
