import type {Finding} from './findings.js';
import {formatFinding} from './findings.js';

/** Base class of all errors of the project. */
export class SycamoreyokeError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** Input that failed its check; carries every finding, not only the first. */
export class ValidationError extends SycamoreyokeError {
  constructor(
    subject: string,
    readonly findings: readonly Finding[],
  ) {
    super(`${subject} is invalid:\n${findings.map(formatFinding).join('\n')}`);
  }
}

/** An invariant of the program does not hold. */
export class InvariantError extends SycamoreyokeError {}

/** The platform's service did not answer in time or refused. */
export class PlatformUnavailableError extends SycamoreyokeError {}

/** Another writer changed the same rows first. */
export class ConflictError extends SycamoreyokeError {
  constructor(
    message: string,
    readonly conflicts: readonly string[],
  ) {
    super(message);
  }
}
