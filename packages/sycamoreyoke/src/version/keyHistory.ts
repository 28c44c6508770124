/** Explains to operators why a key identifies no account. */
import type {AccountTable} from './accounts.js';

/** Why the credentials of a request identify no account. */
export enum KeyFault {
  MISSING = 'missing',
  UNKNOWN = 'unknown',
  /** Several accounts hold the key, so it belongs to none. */
  SHARED = 'shared',
  /** An earlier version gave the key to an account. */
  WITHDRAWN = 'withdrawn',
}

/** A fault, and the names of the accounts that hold or held the key. */
export interface KeyExplanation {
  readonly fault: KeyFault;
  readonly accounts: readonly string[];
}

/** Withdrawn keys that are kept, the latest ones. */
const MAX_WITHDRAWN_KEYS = 1_000;

/** Remembers the holders of keys that later versions have withdrawn. */
export class KeyHistory {
  private table: AccountTable | undefined;
  /** Holders of withdrawn keys, the earliest withdrawn first. */
  private readonly withdrawn = new Map<string, string>();

  /** Records the accounts of the version in force. */
  update(table: AccountTable | undefined): void {
    if (table === this.table) return;
    for (const [key, {name}] of this.table?.accountsByKey ?? []) {
      if (table?.accountsByKey.has(key)) continue;
      this.withdrawn.delete(key);
      this.withdrawn.set(key, name);
    }
    for (const key of this.withdrawn.keys()) {
      if (this.withdrawn.size <= MAX_WITHDRAWN_KEYS) break;
      this.withdrawn.delete(key);
    }
    this.table = table;
  }

  /** Explains why a key, or none, does not identify an account. */
  explain(key: string | undefined): KeyExplanation {
    if (key === undefined) return {fault: KeyFault.MISSING, accounts: []};
    const holders = this.table?.sharedKeys.get(key);
    if (holders) return {fault: KeyFault.SHARED, accounts: holders};
    const former = this.withdrawn.get(key);
    return former === undefined
      ? {fault: KeyFault.UNKNOWN, accounts: []}
      : {fault: KeyFault.WITHDRAWN, accounts: [former]};
  }
}
