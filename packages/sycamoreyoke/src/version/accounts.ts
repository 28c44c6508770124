/** Client accounts of one configuration version, indexed by their keys. */

/** A client account. */
export interface Account {
  readonly name: string;
  /** Keys that identify the account's requests. */
  readonly keys: readonly string[];
  /** Replaces the priority of the route; 0 is the highest. */
  readonly rank: number | undefined;
  /** Requests a second over all nodes; undefined without a limit. */
  readonly ratePerS: number | undefined;
  /** Requests that may exceed the rate at once. */
  readonly burst: number;
}

/** All accounts of a version. */
export interface AccountTable {
  readonly accounts: ReadonlyMap<string, Account>;
  readonly accountsByKey: ReadonlyMap<string, Account>;
  /** Names of the holders of each key that several accounts hold. */
  readonly sharedKeys: ReadonlyMap<string, readonly string[]>;
}

/**
 * Indexes the accounts. A key of two accounts identifies neither, since the
 * requests of one would be charged to the other.
 */
export function compileAccounts(accounts: readonly Account[]): AccountTable {
  const sharedKeys = new Map(
    listSharedKeys(accounts).map(({key, holders}) => [key, holders]),
  );
  const accountsByKey = new Map<string, Account>();
  for (const account of accounts) {
    for (const key of account.keys) {
      if (!sharedKeys.has(key)) accountsByKey.set(key, account);
    }
  }
  return {
    accounts: new Map(accounts.map((account) => [account.name, account])),
    accountsByKey,
    sharedKeys,
  };
}

/** Lists the keys that more than one account holds, with their holders. */
export function listSharedKeys(
  accounts: readonly Account[],
): ReadonlyArray<{readonly key: string; readonly holders: readonly string[]}> {
  const holders = new Map<string, Set<string>>();
  for (const {name, keys} of accounts) {
    for (const key of keys) {
      holders.set(key, (holders.get(key) ?? new Set()).add(name));
    }
  }
  return [...holders]
    .filter(([, names]) => names.size > 1)
    .map(([key, names]) => ({key, holders: [...names]}));
}

/** What the credentials of a request say about its origin. */
export enum CredentialCheck {
  /** The request belongs to an account. */
  ACCOUNT = 'account',
  /** No key is needed and none identifies an account. */
  ANONYMOUS = 'anonymous',
  /** A key is needed and is missing or unknown. */
  UNKNOWN = 'unknown',
}

/** Facts about a request from which its account follows. */
export interface Credentials {
  readonly key: string | undefined;
  readonly isPublicRoute: boolean;
  /** Whether the upstream makes the request on behalf of another one. */
  readonly isUpstreamCall: boolean;
}

/** Result of a check; the account only with CredentialCheck.ACCOUNT. */
export interface CheckedCredentials {
  readonly check: CredentialCheck;
  readonly account: Account | undefined;
}

const ANONYMOUS: CheckedCredentials = {
  check: CredentialCheck.ANONYMOUS,
  account: undefined,
};

/** Finds the account of a request. Without accounts no request needs a key. */
export function checkCredentials(
  table: AccountTable | undefined,
  {key, isPublicRoute, isUpstreamCall}: Credentials,
): CheckedCredentials {
  if (!table) return ANONYMOUS;
  const account = key === undefined ? undefined : table.accountsByKey.get(key);
  if (account) return {check: CredentialCheck.ACCOUNT, account};
  if (isPublicRoute || (key === undefined && isUpstreamCall)) return ANONYMOUS;
  return {check: CredentialCheck.UNKNOWN, account: undefined};
}
