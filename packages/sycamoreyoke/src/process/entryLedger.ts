/** Grants the allowance of a request where it enters the system. */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import type {RequestIdentity} from '../types.js';
import {formatIdentity} from '../types.js';
import type {HashedMember} from './requestHome.js';
import {buildHashedMember, chooseHome} from './requestHome.js';

/** Records are kept for the epoch of their last use and two more. */
export const ENTRY_EPOCH_MS = 60_000;
/**
 * A member grants nothing while another one may still hold a record of the
 * same request: the longest time a record is kept after its last use.
 */
export const HOME_SETTLING_MS = 3 * ENTRY_EPOCH_MS;
/** 109 calls a second for 180 s, the target load of a node, need 19,620. */
export const MAX_ENTRY_RECORDS = 32_768;

/** A send that enters the system at this node. */
export interface EntryRequest {
  readonly identity: RequestIdentity;
  /** Retry limit of the class, for each request. */
  readonly limit: number;
  /** The configuration trusts the caller to keep its own ledger. */
  readonly isTrusted: boolean;
  /** Allowance header of the call. */
  readonly allowance?: number;
  /** This node is a member of the service of the class. */
  readonly isOwnService: boolean;
}

/** What a send was granted; handed back when the send ends. */
export interface EntryGrant {
  readonly allowance: number;
  /** Absent when the node keeps no record of the request. */
  readonly record?: EntryRecord;
}

/** Retries of a request whose home is this node. */
interface EntryRecord {
  /** Neither used nor granted to a send that still runs. */
  free: number;
  readonly openGrants: Set<EntryGrant>;
}

const NOTHING: EntryGrant = {allowance: 0};

function createGeneration(): Map<string, EntryRecord> {
  return new Map();
}

/** The ledger of the requests whose home is this node. */
export class EntryLedger {
  private readonly startedMs: number;
  private epoch = 0;
  /** Records by the epoch of their last use, newest first. */
  private generations = [
    createGeneration(),
    createGeneration(),
    createGeneration(),
  ];
  private present = new Set<string>();
  private readonly candidates = new Map<string, HashedMember>();
  private readonly leftMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly incarnation: string,
    private readonly report: InvariantReporter,
    private readonly maxRecords = MAX_ENTRY_RECORDS,
  ) {
    this.startedMs = clock.readMs();
  }

  /** Takes the incarnations that may get work: active, suspect, leaving. */
  updateMembers(incarnations: readonly string[]): void {
    const present = new Set(incarnations);
    for (const incarnation of this.present) {
      if (!present.has(incarnation)) {
        this.leftMs.set(incarnation, this.clock.readMs());
      }
    }
    for (const incarnation of present) {
      this.leftMs.delete(incarnation);
      if (!this.candidates.has(incarnation)) {
        this.candidates.set(incarnation, buildHashedMember(incarnation));
      }
    }
    this.present = present;
    this.expireMembers();
  }

  /** Grants the allowance of a send. */
  open(request: EntryRequest): EntryGrant {
    if (request.isTrusted && request.allowance !== undefined) {
      return {allowance: Math.min(request.allowance, request.limit)};
    }
    if (!request.isOwnService || request.limit === 0) return NOTHING;
    this.advanceEpoch();
    const key = formatIdentity(request.identity);
    if (!this.isHome(key)) return NOTHING;
    const known = this.takeRecord(key);
    if (known) {
      // A resend by the caller is a retry itself and uses one of them.
      known.free = Math.max(0, known.free - 1);
      return this.admit(key, known);
    }
    if (this.countRecords() >= this.maxRecords) return NOTHING;
    return this.admit(key, {free: request.limit, openGrants: new Set()});
  }

  /** Returns the unused part of a grant after its send has ended. */
  finish(grant: EntryGrant, used: number): void {
    if (!grant.record?.openGrants.delete(grant)) return;
    if (!Number.isInteger(used) || used < 0 || used > grant.allowance) {
      this.report(
        Invariant.RETRIES_BOUNDED,
        `a send used ${used} retries of ${grant.allowance} granted`,
      );
      return;
    }
    grant.record.free += grant.allowance - used;
  }

  countRecords(): number {
    return this.generations.reduce((sum, records) => sum + records.size, 0);
  }

  /** Grants everything that is free; a later send gets what came back. */
  private admit(key: string, record: EntryRecord): EntryGrant {
    const grant: EntryGrant = {allowance: record.free, record};
    record.free = 0;
    record.openGrants.add(grant);
    this.generations[0]?.set(key, record);
    return grant;
  }

  /** Removes a record from its generation; a grant puts it in the newest. */
  private takeRecord(key: string): EntryRecord | undefined {
    for (const records of this.generations) {
      const record = records.get(key);
      if (!record) continue;
      records.delete(key);
      return record;
    }
    return undefined;
  }

  /** True once no other member can hold a record of the request. */
  private isHome(key: string): boolean {
    if (this.clock.readMs() - this.startedMs < HOME_SETTLING_MS) return false;
    if (!this.present.has(this.incarnation)) return false;
    this.expireMembers();
    return chooseHome(this.candidates.values(), key) === this.incarnation;
  }

  private expireMembers(): void {
    const now = this.clock.readMs();
    for (const [incarnation, leftMs] of this.leftMs) {
      if (now - leftMs < HOME_SETTLING_MS) continue;
      this.leftMs.delete(incarnation);
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

  /** Forgets the oldest records but for those of sends that still run. */
  private removeOldest(): void {
    const oldest = this.generations.pop() ?? createGeneration();
    const kept = [...oldest].filter(([, record]) => record.openGrants.size > 0);
    this.generations = [new Map(kept), ...this.generations];
  }
}
