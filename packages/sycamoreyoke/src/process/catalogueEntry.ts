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

/** What is wrong with the key of a request. */
export const KEY_FAULT = [
  'hasKey: whether the request had a key',
  'fault: missing, unknown, shared (by several accounts) or withdrawn (by a later version)',
  'account: client account that held a withdrawn key',
  'accounts: client accounts that hold a shared key',
];
