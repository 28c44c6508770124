/** Anti-entropy between member tables, and member lists for requests. */
import type {Random} from '../random.js';
import {
  LIST_INTERVAL_MS,
  LISTS_BEFORE_FULL_EXCHANGE,
  MISMATCHES_BEFORE_LIST,
} from './constants.js';
import type {
  ListMembersRequest,
  ListMembersResponse,
  MemberUpdate,
  MessageSender,
} from './membershipMessages.js';
import {MessageKind} from './membershipMessages.js';
import type {MemberTable} from './memberTable.js';
import type {Member} from './types.js';

/** Decides when to request a list because tables keep differing. */
export class TableSync {
  private mismatches = 0;
  private deltaLists = 0;
  private lastEqualMs = 0;
  private nextListMs = 0;

  constructor(private readonly random: Random) {}

  /**
   * Compares this node's hash with a peer's. Returns the maximum age of the
   * changes to request, ms (0 for all), or undefined if no list is needed: the
   * hashes are equal, or have differed only briefly, so that updates may still
   * be in transit.
   */
  compareHash(mine: number, other: number, nowMs: number): number | undefined {
    if (mine === other) {
      this.mismatches = 0;
      this.deltaLists = 0;
      this.lastEqualMs = nowMs;
      return undefined;
    }
    this.mismatches += 1;
    const isTooEarly = this.mismatches < MISMATCHES_BEFORE_LIST;
    if (isTooEarly || nowMs < this.nextListMs) return undefined;
    const needsAll = this.deltaLists >= LISTS_BEFORE_FULL_EXCHANGE;
    const ageMs = nowMs - this.lastEqualMs + LIST_INTERVAL_MS;
    this.deltaLists = needsAll ? 0 : this.deltaLists + 1;
    this.nextListMs = nowMs + LIST_INTERVAL_MS * (0.5 + this.random());
    return needsAll ? 0 : ageMs;
  }

  /** Records a received list; after one without changes, retries soon. */
  observeList(hasChanged: boolean, nowMs: number): void {
    if (!hasChanged) this.nextListMs = Math.min(this.nextListMs, nowMs + 500);
  }
}

/** Creates a request for the members that differ between the tables. */
export function createListRequest(
  sender: MessageSender,
  table: MemberTable,
  changedWithinMs: number,
): ListMembersRequest {
  return {
    kind: MessageKind.LIST_MEMBERS,
    sender,
    service: sender.service,
    informant: '',
    sinceSequence: 0,
    bucketHashes: table.readBucketHashes(),
    changedWithinMs,
    unreachable: [],
  };
}

/** Creates a list of the node's own service for a peer or a caller. */
export function createListResponse(
  sender: MessageSender,
  table: MemberTable,
  request: ListMembersRequest,
  nowMs: number,
): ListMembersResponse {
  const {informant, sinceSequence, bucketHashes} = request;
  const {sequence} = table;
  const head = {kind: MessageKind.LIST_MEMBERS, sender, sequence} as const;
  if (bucketHashes.length > 0) {
    const sinceMs = nowMs - (request.changedWithinMs || Infinity);
    const members = table.listDifferences(bucketHashes, sinceMs);
    return {...head, isDelta: true, members};
  }
  const isOwnSequence = informant === sender.incarnation;
  const delta = isOwnSequence ? table.listSince(sinceSequence) : undefined;
  const members = delta ?? table.listUpdates();
  return {...head, isDelta: delta !== undefined, members};
}

/** Creates a list of another service, which this node calls. */
export function createForeignList(
  sender: MessageSender,
  members: readonly Member[],
): ListMembersResponse {
  return {
    kind: MessageKind.LIST_MEMBERS,
    sender,
    sequence: 0,
    isDelta: false,
    members: members.map(createUpdate),
  };
}

/** Returns the record as a statement by the member itself. */
export function createUpdate(member: Member): MemberUpdate {
  const {incarnation, counter, state} = member;
  return {incarnation, counter, state, observer: '', record: member};
}
