import type {Finding} from './findings.js';
import {formatFinding} from './findings.js';

/** Base class of all errors that the project throws. */
export class SycamoreyokeError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** Thrown for invalid input. Carries every finding, not only the first. */
export class ValidationError extends SycamoreyokeError {
  constructor(
    subject: string,
    readonly findings: readonly Finding[],
  ) {
    super(`${subject} is invalid:\n${findings.map(formatFinding).join('\n')}`);
  }
}

/** Thrown when an invariant of the program is violated. */
export class InvariantError extends SycamoreyokeError {}

/** A service of the platform did not answer in time or refused the call. */
export class PlatformUnavailableError extends SycamoreyokeError {}

/** The write failed because another writer changed the same rows first. */
export class ConflictError extends SycamoreyokeError {
  constructor(
    message: string,
    readonly conflicts: readonly string[],
  ) {
    super(message);
  }
}
