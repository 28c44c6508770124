/** Table of the members of a service and the precedence of updates. */
import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import {CHANGE_LOG_LENGTH, HASH_BUCKETS} from './constants.js';
import type {MemberUpdate} from './membershipMessages.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/** Maximum number of stored updates about members without a record. */
const MAX_UNMATCHED = 4_096;
/** Up to this size, a random choice considers all members. */
const SMALL_TABLE_SIZE = 64;

const RANKS: Readonly<Record<MemberState, number>> = {
  [MemberState.JOINING]: 0,
  [MemberState.ACTIVE]: 1,
  [MemberState.SUSPECT]: 2,
  [MemberState.LEAVING]: 4,
  [MemberState.DEAD]: 5,
};

/** Result of merging an update. */
export enum MergeResult {
  ADOPTED = 'adopted',
  /** Not newer than the state in the table. */
  KNOWN = 'known',
  /** Reported by an untrusted data centre; this process has to probe. */
  UNVERIFIED = 'unverified',
  /** Kept until the record of the member arrives. */
  UNMATCHED = 'unmatched',
}

/** Returns true if a member in this state has left the service. */
export function hasLeft(state: MemberState): boolean {
  return state === MemberState.LEAVING || state === MemberState.DEAD;
}

/** Returns true if others, not the member, reported it SUSPECT or DEAD. */
export function isReportByOthers(
  update: Pick<MemberUpdate, 'state' | 'observer'>,
): boolean {
  const isNegative =
    update.state === MemberState.SUSPECT || update.state === MemberState.DEAD;
  return isNegative && update.observer !== '';
}

/**
 * Compares two statements about one incarnation by counter, then by rank of the
 * state. Positive when a takes precedence.
 */
export function comparePrecedence(
  a: Pick<MemberUpdate, 'counter' | 'state' | 'observer'>,
  b: Pick<MemberUpdate, 'counter' | 'state' | 'observer'>,
): number {
  return a.counter - b.counter || computeRank(a) - computeRank(b);
}

/** A suspicion by others outranks the member's own SUSPECT ("not ready"). */
function computeRank(update: Pick<MemberUpdate, 'state' | 'observer'>): number {
  const isObservedSuspicion =
    update.state === MemberState.SUSPECT && update.observer !== '';
  return RANKS[update.state] + (isObservedSuspicion ? 1 : 0);
}

/** Returns the 32-bit FNV-1a hash, with a final mix to spread the bits. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x2c1b3c6d);
  return (hash ^ (hash >>> 12)) >>> 0;
}

interface Entry {
  member: Member;
  observer: string;
  changedMs: number;
  /** Index of the incarnation in `order`. */
  position: number;
}

/** Members of a service as known to this process. */
export class MemberTable {
  private readonly entries = new Map<string, Entry>();
  /** Incarnations for random choice; the last one fills a removed slot. */
  private readonly order: string[] = [];
  private readonly unmatched = new Map<string, MemberUpdate>();
  private readonly bucketHashes = new Uint32Array(HASH_BUCKETS);
  private readonly internedStrings = new Map<string, string>();
  private changes: string[] = [];
  private discardedChanges = 0;

  /**
   * @param isTrustedObserver returns true if reports by the data centre are
   *   adopted.
   */
  constructor(
    private readonly isTrustedObserver: (observer: string) => boolean,
  ) {}

  /** Sequence number of the latest change. */
  get sequence(): number {
    return this.discardedChanges + this.changes.length;
  }

  get size(): number {
    return this.entries.size;
  }

  /** Merges an update; the higher counter, then the higher rank, wins. */
  apply(update: MemberUpdate, nowMs: number): MergeResult {
    const current = this.entries.get(update.incarnation);
    if (!current) return this.add(update, nowMs);
    const known = readStatement(current);
    if (comparePrecedence(update, known) <= 0) {
      this.addStartTime(current, update);
      return MergeResult.KNOWN;
    }
    if (isReportByOthers(update) && !this.isTrustedObserver(update.observer)) {
      const isAlreadyGone =
        hasLeft(known.state) && known.counter === update.counter;
      return isAlreadyGone ? MergeResult.KNOWN : MergeResult.UNVERIFIED;
    }
    this.store(update, current.member, nowMs);
    return MergeResult.ADOPTED;
  }

  /** Adds the start time, which pins need and records from seeds lack. */
  private addStartTime(entry: Entry, update: MemberUpdate): void {
    const startedMs = update.record?.startedMs;
    const isKnown = entry.member.startedMs !== undefined;
    if (startedMs === undefined || isKnown) return;
    entry.member = {...entry.member, startedMs};
    this.addChange(update.incarnation);
  }

  find(incarnation: string): Member | undefined {
    return this.entries.get(incarnation)?.member;
  }

  /** Returns the current statement about a member. */
  findUpdate(incarnation: string): MemberUpdate | undefined {
    const entry = this.entries.get(incarnation);
    return entry && readStatement(entry);
  }

  list(): Member[] {
    return [...this.entries.values()].map((entry) => entry.member);
  }

  listIncarnations(): IterableIterator<string> {
    return this.entries.keys();
  }

  listUpdates(): MemberUpdate[] {
    return [...this.entries.values()].map(readRecord);
  }

  /**
   * Returns the members changed after a sequence number, or undefined when the
   * change log does not reach back that far.
   */
  listSince(sequence: number): MemberUpdate[] | undefined {
    if (sequence < this.discardedChanges || sequence > this.sequence) {
      return undefined;
    }
    const changed = new Set(
      this.changes.slice(sequence - this.discardedChanges),
    );
    return this.readRecords(changed);
  }

  /**
   * Returns the members that changed since the given time, in the buckets whose
   * hash differs from the given one.
   */
  listDifferences(
    bucketHashes: readonly number[],
    sinceMs: number,
  ): MemberUpdate[] {
    const differs = this.readBucketHashes().map(
      (hash, bucket) => hash !== bucketHashes[bucket],
    );
    const updates: MemberUpdate[] = [];
    for (const entry of this.entries.values()) {
      if (entry.changedMs < sinceMs) continue;
      if (!differs[findBucket(entry.member.incarnation)]) continue;
      updates.push(readRecord(entry));
    }
    return updates;
  }

  readBucketHashes(): number[] {
    return [...this.bucketHashes];
  }

  /**
   * Returns a hash of the incarnations and counters of all members that are not
   * DEAD. A member raises its counter with each statement. Suspicions by others
   * are left out, since they differ between partitioned data centres.
   */
  readHash(): number {
    let hash = 0;
    for (const bucketHash of this.bucketHashes) {
      hash = (Math.imul(hash, 31) + bucketHash) >>> 0;
    }
    return hash;
  }

  /** Removes members that became LEAVING or DEAD before the given time. */
  expire(beforeMs: number): void {
    for (const [incarnation, entry] of this.entries) {
      if (!hasLeft(entry.member.state) || entry.changedMs >= beforeMs) continue;
      this.updateHash(entry.member);
      this.remove(incarnation, entry);
    }
  }

  /** Returns up to count distinct random members that are accepted. */
  chooseRandom(
    count: number,
    random: Random,
    accepts: (member: Member) => boolean,
  ): Member[] {
    const chosen = new Set<Member>();
    const isSmall = this.order.length <= SMALL_TABLE_SIZE;
    const pool = isSmall ? sortRandomly(this.order, random) : undefined;
    const tries = pool?.length ?? 4 * count + SMALL_TABLE_SIZE;
    for (let index = 0; index < tries && chosen.size < count; index += 1) {
      const key = pool
        ? pool[index]
        : this.order[takeInteger(random, this.order.length)];
      const member = key === undefined ? undefined : this.find(key);
      if (member && accepts(member)) chosen.add(member);
    }
    return [...chosen];
  }

  private remove(incarnation: string, entry: Entry): void {
    this.entries.delete(incarnation);
    const last = this.order.pop();
    if (last === undefined || last === incarnation) return;
    this.order[entry.position] = last;
    const moved = this.entries.get(last);
    if (moved) moved.position = entry.position;
  }

  private add(update: MemberUpdate, nowMs: number): MergeResult {
    if (!update.record) {
      this.addUnmatched(update);
      return MergeResult.UNMATCHED;
    }
    const isTrusted =
      !isReportByOthers(update) || this.isTrustedObserver(update.observer);
    const statement = isTrusted
      ? update
      : {...update, state: MemberState.ACTIVE, observer: ''};
    this.store(statement, this.createRecord(update.record), nowMs);
    const later = this.unmatched.get(update.incarnation);
    this.unmatched.delete(update.incarnation);
    if (later) this.apply(later, nowMs);
    return isTrusted ? MergeResult.ADOPTED : MergeResult.UNVERIFIED;
  }

  private addUnmatched(update: MemberUpdate): void {
    const earlier = this.unmatched.get(update.incarnation);
    if (earlier && comparePrecedence(update, earlier) <= 0) return;
    const isUntrusted =
      isReportByOthers(update) && !this.isTrustedObserver(update.observer);
    if (isUntrusted) return;
    if (this.unmatched.size >= MAX_UNMATCHED) this.unmatched.clear();
    this.unmatched.set(update.incarnation, update);
  }

  private store(update: MemberUpdate, known: Member, nowMs: number): void {
    const previous = this.entries.get(update.incarnation);
    if (previous) this.updateHash(previous.member);
    const fields = update.record ? this.createRecord(update.record) : known;
    const member =
      fields.counter === update.counter && fields.state === update.state
        ? fields
        : {...fields, counter: update.counter, state: update.state};
    const observer = this.getInterned(update.observer);
    if (previous) {
      previous.member = member;
      previous.observer = observer;
      previous.changedMs = nowMs;
    } else {
      this.entries.set(update.incarnation, {
        member,
        observer,
        changedMs: nowMs,
        position: this.order.length,
      });
      this.order.push(update.incarnation);
    }
    this.updateHash(member);
    this.addChange(update.incarnation);
  }

  private addChange(incarnation: string): void {
    this.changes.push(incarnation);
    if (this.changes.length < 2 * CHANGE_LOG_LENGTH) return;
    this.discardedChanges += CHANGE_LOG_LENGTH;
    this.changes = this.changes.slice(CHANGE_LOG_LENGTH);
  }

  private readRecords(incarnations: Iterable<string>): MemberUpdate[] {
    const updates: MemberUpdate[] = [];
    for (const incarnation of incarnations) {
      const entry = this.entries.get(incarnation);
      if (entry) updates.push(readRecord(entry));
    }
    return updates;
  }

  /** Adds the member to the hash, or removes it if it was included (XOR). */
  private updateHash(member: Member): void {
    if (member.state === MemberState.DEAD) return;
    const hash = hashText(member.incarnation);
    const mixed = Math.imul(hash, 2 * member.counter + 1);
    const bucket = hash % HASH_BUCKETS;
    this.bucketHashes[bucket] = (this.bucketHashes[bucket] ?? 0) ^ mixed;
  }

  /** Interns the strings that many members share, to save memory. */
  private createRecord(record: Member): Member {
    const service = this.getInterned(record.service);
    const dataCentre = this.getInterned(record.dataCentre);
    const region = this.getInterned(record.region);
    const isShared =
      service === record.service &&
      dataCentre === record.dataCentre &&
      region === record.region;
    return isShared ? record : {...record, service, dataCentre, region};
  }

  private getInterned(text: string): string {
    const shared = this.internedStrings.get(text);
    if (shared !== undefined) return shared;
    this.internedStrings.set(text, text);
    return text;
  }
}

function sortRandomly(items: readonly string[], random: Random): string[] {
  const shuffled = [...items];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = takeInteger(random, index + 1);
    const item = shuffled[index] ?? '';
    shuffled[index] = shuffled[other] ?? '';
    shuffled[other] = item;
  }
  return shuffled;
}

function findBucket(incarnation: string): number {
  return hashText(incarnation) % HASH_BUCKETS;
}

function readStatement({member, observer}: Entry): MemberUpdate {
  const {incarnation, counter, state} = member;
  return {incarnation, counter, state, observer};
}

/** Omits the record of a LEAVING member, since nobody will call it. */
function readRecord(entry: Entry): MemberUpdate {
  if (entry.member.state === MemberState.LEAVING) return readStatement(entry);
  return {...readStatement(entry), record: entry.member};
}
