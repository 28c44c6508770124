/** Commands that take their settings from flags and environment variables. */
import type {CommandDef} from 'citty';
import {defineCommand} from 'citty';
import {ValidationError} from 'sycamoreyoke/errors';
import {formatFlag, formatVariable, readSettings} from 'sycamoreyoke/settings';
import type {z} from 'zod';
import {ExitCode} from './exitCodes.js';

/** Definition of a command. */
export interface SettingsCommand<S extends z.ZodObject> {
  readonly name: string;
  readonly description: string;
  readonly examples: readonly string[];
  readonly schema: S;
  readonly run: (settings: z.output<S>) => Promise<void>;
}

/** Builds the argument descriptions that `--help` prints. */
function describeSettings(schema: z.ZodObject) {
  return Object.fromEntries(
    Object.entries(schema.shape).map(([setting, type]) => [
      formatFlag(setting).slice(2),
      {
        type: 'string' as const,
        description: [
          (type as z.ZodType).description ?? '',
          `(${formatVariable(setting)})`,
        ].join(' '),
      },
    ]),
  );
}

/**
 * Creates a command that reads its settings from flags and environment
 * variables. Invalid settings are printed and set exit code 2.
 */
export function createSettingsCommand<S extends z.ZodObject>(
  command: SettingsCommand<S>,
): CommandDef {
  return defineCommand({
    meta: {
      name: command.name,
      description: [
        command.description,
        ...command.examples.map((example) => `  Example: ${example}`),
      ].join('\n'),
    },
    args: describeSettings(command.schema),
    async run({rawArgs}) {
      try {
        const subject = `settings of "${command.name}"`;
        const {schema} = command;
        await command.run(readSettings(subject, schema, rawArgs, process.env));
      } catch (error) {
        if (!(error instanceof ValidationError)) throw error;
        process.stderr.write(`${error.message}\n`);
        process.exitCode = ExitCode.USAGE;
      }
    },
  }) as CommandDef;
}
