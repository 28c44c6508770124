/** Grants the retry allowance of a request where it enters the system. */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import type {RequestIdentity} from '../types.js';
import {formatIdentity} from '../types.js';
import type {HashedMember} from './ledgerOwner.js';
import {buildHashedMember, chooseLedgerOwner} from './ledgerOwner.js';

/** A record is kept for the epoch of its last use and the two after it. */
export const ENTRY_EPOCH_MS = 60_000;
/**
 * A node grants nothing for a request for this long after its own start and
 * after the previous owner has left, since another member may still hold a
 * record of the request. It equals the maximum time for which a record is kept
 * after its last use.
 */
export const OWNER_SETTLING_MS = 3 * ENTRY_EPOCH_MS;
/** A target load of 109 calls/s per node for 180 s needs 19,620 records. */
export const MAX_ENTRY_RECORDS = 32_768;

/** A send that enters the system at this node. */
export interface EntryRequest {
  readonly identity: RequestIdentity;
  /** Maximum number of retries per request of the class. */
  readonly limit: number;
  /** Whether the configuration trusts the caller to keep its own ledger. */
  readonly isTrusted: boolean;
  /** Value of the allowance header of the call, in retries. */
  readonly allowance?: number;
  /** Whether this node is a member of the service of the class. */
  readonly isOwnService: boolean;
}

/** Retries granted to a send; to be passed to `finish` when it ends. */
export interface EntryGrant {
  readonly allowance: number;
  /** Absent when the node keeps no record of the request. */
  readonly record?: EntryRecord;
}

/** Retry accounting of a request whose ledger this node owns. */
interface EntryRecord {
  /** Retries neither used nor granted to a running send. */
  freeRetries: number;
  readonly openGrants: Set<EntryGrant>;
}

const NO_GRANT: EntryGrant = {allowance: 0};

function createGeneration(): Map<string, EntryRecord> {
  return new Map();
}

/**
 * Accounts for the retries of the requests whose ledger this node owns, so that
 * all sends of a request together stay within its limit.
 */
export class EntryLedger {
  private readonly startedMs: number;
  private epoch = 0;
  /** Records by key, one map per epoch of last use, newest first. */
  private generations = [
    createGeneration(),
    createGeneration(),
    createGeneration(),
  ];
  private members = new Set<string>();
  private readonly candidates = new Map<string, HashedMember>();
  private readonly departedMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly incarnation: string,
    private readonly report: InvariantReporter,
    private readonly maxRecords = MAX_ENTRY_RECORDS,
  ) {
    this.startedMs = clock.readMs();
  }

  /** Sets the members that may get work: active, suspect and leaving ones. */
  updateMembers(incarnations: readonly string[]): void {
    const members = new Set(incarnations);
    for (const incarnation of this.members) {
      if (!members.has(incarnation)) {
        this.departedMs.set(incarnation, this.clock.readMs());
      }
    }
    for (const incarnation of members) {
      this.departedMs.delete(incarnation);
      if (!this.candidates.has(incarnation)) {
        this.candidates.set(incarnation, buildHashedMember(incarnation));
      }
    }
    this.members = members;
    this.expireMembers();
  }

  /** Grants the retry allowance of a send; 0 if this node is not the owner. */
  open(request: EntryRequest): EntryGrant {
    if (request.isTrusted && request.allowance !== undefined) {
      return {allowance: Math.min(request.allowance, request.limit)};
    }
    if (!request.isOwnService || request.limit === 0) return NO_GRANT;
    this.advanceEpoch();
    const key = formatIdentity(request.identity);
    if (!this.isLedgerOwner(key)) return NO_GRANT;
    const existing = this.takeRecord(key);
    if (existing) {
      // A resend by the caller is itself a retry and uses one up.
      existing.freeRetries = Math.max(0, existing.freeRetries - 1);
      return this.createGrant(key, existing);
    }
    if (this.countRecords() >= this.maxRecords) return NO_GRANT;
    return this.createGrant(key, {
      freeRetries: request.limit,
      openGrants: new Set(),
    });
  }

  /** Returns the unused part of a grant after its send has ended. */
  finish(grant: EntryGrant, used: number): void {
    if (!grant.record?.openGrants.delete(grant)) return;
    if (!Number.isInteger(used) || used < 0 || used > grant.allowance) {
      this.report(
        Invariant.RETRIES_BOUNDED,
        `a send used ${used} retries but was granted ${grant.allowance}`,
      );
      return;
    }
    grant.record.freeRetries += grant.allowance - used;
  }

  countRecords(): number {
    return this.generations.reduce((sum, records) => sum + records.size, 0);
  }

  /** Grants all free retries; a later send gets those that are returned. */
  private createGrant(key: string, record: EntryRecord): EntryGrant {
    const grant: EntryGrant = {allowance: record.freeRetries, record};
    record.freeRetries = 0;
    record.openGrants.add(grant);
    this.generations[0]?.set(key, record);
    return grant;
  }

  /** Removes a record from its generation; a grant adds it to the newest. */
  private takeRecord(key: string): EntryRecord | undefined {
    for (const records of this.generations) {
      const record = records.get(key);
      if (!record) continue;
      records.delete(key);
      return record;
    }
    return undefined;
  }

  /**
   * Whether this node owns the ledger of the request and no other member can
   * still hold a record of it.
   */
  private isLedgerOwner(key: string): boolean {
    if (this.clock.readMs() - this.startedMs < OWNER_SETTLING_MS) return false;
    if (!this.members.has(this.incarnation)) return false;
    this.expireMembers();
    return (
      chooseLedgerOwner(this.candidates.values(), key) === this.incarnation
    );
  }

  private expireMembers(): void {
    const now = this.clock.readMs();
    for (const [incarnation, departedMs] of this.departedMs) {
      if (now - departedMs < OWNER_SETTLING_MS) continue;
      this.departedMs.delete(incarnation);
      this.candidates.delete(incarnation);
    }
  }

  private advanceEpoch(): void {
    const elapsed = this.clock.readMs() - this.startedMs;
    const epoch = Math.floor(elapsed / ENTRY_EPOCH_MS);
    const steps = Math.min(epoch - this.epoch, this.generations.length);
    this.epoch = epoch;
    for (let step = 0; step < steps; step += 1) this.removeOldest();
  }

  /** Drops the oldest records, except those with running sends. */
  private removeOldest(): void {
    const oldest = this.generations.pop() ?? createGeneration();
    const retained = [...oldest].filter(
      ([, record]) => record.openGrants.size > 0,
    );
    this.generations = [new Map(retained), ...this.generations];
  }
}
