/** How serious a finding is. */
export enum Severity {
  /** The input is refused. */
  ERROR = 'error',
  /** The input is accepted. */
  WARNING = 'warning',
}

/** One fault of an input, with the place where it was found. */
export interface Finding {
  /** Where: a setting, a header, or file and path inside it. */
  readonly place: string;
  readonly message: string;
  /** Absent: an error. */
  readonly severity?: Severity;
}

/** Whether a finding refuses the input. */
export function isError(finding: Finding): boolean {
  return finding.severity !== Severity.WARNING;
}

/** Renders a finding on one line. */
export function formatFinding(finding: Finding): string {
  const prefix = isError(finding) ? '' : 'warning: ';
  return `${finding.place}: ${prefix}${finding.message}`;
}
