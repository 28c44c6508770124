/** Entries of the catalogue of events. */

/** Description of an event code. */
export interface CatalogueEntry {
  readonly meaning: string;
  /** Names and units of the details. */
  readonly details: readonly string[];
}

/** Creates an entry from a meaning and the details. */
export function describe(
  meaning: string,
  ...details: string[]
): CatalogueEntry {
  return {meaning, details};
}

export const ACCOUNT =
  "account: client account whose key the request has, or inferredAccount: account that an upstream's call is probably made for, if any";
