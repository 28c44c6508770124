/** Lists of members: answers to those who ask, and when to ask a peer. */
import type {Random} from '../random.js';
import {
  LIST_INTERVAL_MS,
  LISTS_BEFORE_ALL,
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

/** Decides when a lasting difference to a peer calls for a list. */
export class TableSync {
  private mismatches = 0;
  private lists = 0;
  private equalMs = 0;
  private nextListMs = 0;

  constructor(private readonly random: Random) {}

  /**
   * Compares the hash of a peer. Returns the age of the changes to ask for (0
   * for all), or undefined while the difference is no older than news that is
   * still on its way.
   */
  compareHash(mine: number, other: number, nowMs: number): number | undefined {
    if (mine === other) {
      this.mismatches = 0;
      this.lists = 0;
      this.equalMs = nowMs;
      return undefined;
    }
    this.mismatches += 1;
    const isEarly = this.mismatches < MISMATCHES_BEFORE_LIST;
    if (isEarly || nowMs < this.nextListMs) return undefined;
    const isLong = this.lists >= LISTS_BEFORE_ALL;
    const ageMs = nowMs - this.equalMs + LIST_INTERVAL_MS;
    this.lists = isLong ? 0 : this.lists + 1;
    this.nextListMs = nowMs + LIST_INTERVAL_MS * (0.5 + this.random());
    return isLong ? 0 : ageMs;
  }

  /** A list has come; after one without news another peer is asked soon. */
  observeList(hadNews: boolean, nowMs: number): void {
    if (!hadNews) this.nextListMs = Math.min(this.nextListMs, nowMs + 500);
  }
}

/** Asks a peer for the members that differ. */
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

/** Members of the own service for a peer or a caller. */
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
  const isMine = informant === sender.incarnation;
  const delta = isMine ? table.listSince(sinceSequence) : undefined;
  const members = delta ?? table.listUpdates();
  return {...head, isDelta: delta !== undefined, members};
}

/** Members of another service that this node calls. */
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

/** The member's record as a statement of its own. */
export function createUpdate(member: Member): MemberUpdate {
  const {incarnation, counter, state} = member;
  return {incarnation, counter, state, observer: '', record: member};
}
