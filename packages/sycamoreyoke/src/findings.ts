/** One fault of an input, with the place where it was found. */
export interface Finding {
  /** Where: a setting, a header, or file and path inside it. */
  readonly place: string;
  readonly message: string;
}

/** Renders a finding on one line. */
export function formatFinding(finding: Finding): string {
  return `${finding.place}: ${finding.message}`;
}
