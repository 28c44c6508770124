/** Exit codes of the commands; docs/commands.md describes them. */
export enum ExitCode {
  OK = 0,
  /** The input has findings, or an invariant did not hold. */
  FINDINGS = 1,
  /** A flag, variable or argument is wrong. */
  USAGE = 2,
  /** Another operator changed the same object first. */
  CONFLICT = 3,
  /** The platform or the nodes cannot be reached. */
  UNAVAILABLE = 4,
}
