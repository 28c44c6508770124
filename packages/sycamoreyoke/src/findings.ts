/** Severity of a finding. */
export enum Severity {
  /** The input is rejected. */
  ERROR = 'error',
  /** The input is accepted. */
  WARNING = 'warning',
}

/** One problem found in an input, with its location. */
export interface Finding {
  /** A setting, a header, or a file with the path inside it. */
  readonly place: string;
  readonly message: string;
  /** Defaults to ERROR. */
  readonly severity?: Severity;
}

/** Returns true if the finding makes the input invalid. */
export function isError(finding: Finding): boolean {
  return finding.severity !== Severity.WARNING;
}

/** Formats a finding as a single line. */
export function formatFinding(finding: Finding): string {
  const prefix = isError(finding) ? '' : 'warning: ';
  return `${finding.place}: ${prefix}${finding.message}`;
}
