/** Exit codes of the commands; docs/commands.md describes them. */
export enum ExitCode {
  OK = 0,
  /** The input has findings, or an invariant does not hold. */
  FINDINGS = 1,
  /** A flag, environment variable or argument is invalid. */
  USAGE = 2,
  /** Another operator changed the same object first. */
  CONFLICT = 3,
  /** The platform or the nodes cannot be reached. */
  UNAVAILABLE = 4,
}
