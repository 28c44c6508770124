/**
 * The allotments of one node: asks owners for tokens as an origin, and lends
 * them as an owner. It sends no messages and sets no timers itself.
 */
import type {Clock} from '../../clock.js';
import type {Random} from '../../random.js';
import {
  ABSENCE_CONTACT_MS,
  ASK_INTERVAL_MS,
  ASK_TIMEOUT_MS,
  CONTACT_INTERVAL_MS,
} from './constants.js';
import {OwnerContacts} from './ownerContacts.js';
import type {TokenBatch} from './heldTokens.js';
import {chooseOwnerSet, sortOwners} from './ownerSet.js';
import type {ChargeHandler} from './tokenHolder.js';
import {TokenHolder} from './tokenHolder.js';
import {TokenOwner} from './tokenOwner.js';
import type {
  Allotment,
  AllotmentTolerance,
  TokenAsk,
  TokenGrant,
} from './types.js';

/** Asks for the accounts of one owner; without any, a contact. */
export interface AskMessage {
  readonly sequence: number;
  readonly asks: readonly TokenAsk[];
}

/** The answer to an AskMessage. */
export interface GrantMessage {
  /** Sequence number of the ask. */
  readonly sequence: number;
  readonly grants: readonly TokenGrant[];
  /** To nodes of the owner set: those of it that are silent for the sender. */
  readonly unheard: readonly string[];
}

/** Dependencies of the node. */
export interface AllotmentNodeParts {
  readonly self: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly readAllotment: (account: string) => Allotment | undefined;
  readonly readTolerance: () => AllotmentTolerance | undefined;
  readonly countNodes: () => number;
  /** Whether the node is known to have a version without allotments. */
  readonly isTooOld: (node: string) => boolean;
  /** Whether a message to the node can be sent. */
  readonly isReachable: (node: string) => boolean;
  readonly sendAsk: (node: string, message: AskMessage) => void;
}

interface SentAsk {
  readonly owner: string;
  readonly sentMs: number;
  readonly accounts: readonly string[];
}

/** Exchanges tokens with the other nodes. */
export class AllotmentNode {
  private readonly contacts: OwnerContacts;
  private readonly owner = new TokenOwner();
  private readonly holder: TokenHolder;
  private owners: readonly string[] = [];
  private nextSequence = 1;
  private readonly sentAsks = new Map<number, SentAsk>();
  private readonly lastSentMs = new Map<string, number>();
  private contactedMs = -Infinity;
  private isStopped = false;

  constructor(private readonly parts: AllotmentNodeParts) {
    const {self, isReachable} = parts;
    this.contacts = new OwnerContacts(self);
    this.holder = new TokenHolder({
      ...parts,
      isReachable: (node) => node === self || isReachable(node),
    });
  }

  /** Chooses the owner set among the listed nodes; returns it. */
  updateNodes(nodes: Iterable<string>): readonly string[] {
    this.owners = chooseOwnerSet(nodes);
    this.contacts.update(this.readMs(), this.owners);
    this.holder.updateOwners(this.owners);
    for (const owner of this.lastSentMs.keys()) {
      if (!this.owners.includes(owner)) this.lastSentMs.delete(owner);
    }
    return this.owners;
  }

  /** Applies the allotments of a new version. */
  updateAllotments(): void {
    this.owner.update(this.readMs(), this.parts.readAllotment);
  }

  /** Charges a request; see TokenHolder.take. */
  take(
    account: string,
    allotment: Allotment,
    usefulUntilMs: number,
    handle: ChargeHandler,
  ): void {
    const nowMs = this.readMs();
    this.holder.take(nowMs, account, allotment, usefulUntilMs, handle);
    if (this.holder.hasPending()) this.flush();
  }

  /** Takes back the token of a request that has not run. */
  release(account: string, batch: TokenBatch): void {
    this.holder.release(this.readMs(), account, batch);
  }

  /** Sends the asks that are due. */
  flush(): void {
    // An owner that does not lend is followed by the next one in the order.
    for (let round = 0; round <= this.owners.length; round += 1) {
      const nowMs = this.readMs();
      const asks = this.holder.collectAsks(nowMs, (owner) =>
        this.isDue(owner, nowMs),
      );
      if (asks.size === 0) return;
      for (const [owner, list] of asks) this.ask(owner, list, nowMs);
    }
  }

  /** Whether asks wait to be sent. */
  hasPending(): boolean {
    return this.holder.hasPending();
  }

  /** Whether the node holds state of accounts or contacts other owners. */
  needsTick(): boolean {
    return (
      this.owners.includes(this.parts.self) ||
      this.holder.countAccounts() > 0 ||
      this.owner.countBuckets() > 0
    );
  }

  /** Ends waits, returns unused tokens and contacts the other owners. */
  tick(): void {
    const nowMs = this.readMs();
    this.contacts.refresh(nowMs);
    this.holder.tick(nowMs);
    for (const [sequence, {sentMs}] of this.sentAsks) {
      if (nowMs - sentMs >= 2 * ASK_TIMEOUT_MS) this.sentAsks.delete(sequence);
    }
    const intervalMs = this.contacts.hasAbsent()
      ? ABSENCE_CONTACT_MS
      : CONTACT_INTERVAL_MS;
    if (nowMs - this.contactedMs >= intervalMs) {
      this.contactedMs = nowMs;
      this.owner.expire(nowMs);
      this.sendContacts(nowMs);
    }
    this.flush();
  }

  /** Answers an ask of another node. */
  receiveAsk(from: string, {sequence, asks}: AskMessage): GrantMessage {
    const nowMs = this.readMs();
    const isOwner = this.owners.includes(from);
    // A node that stops still asks as an origin, but no longer lends.
    if (asks.length === 0) this.contacts.recordAsk(nowMs, from);
    return {
      sequence,
      grants: this.answer(nowMs, asks),
      unheard: isOwner ? this.contacts.listUnheard(nowMs) : [],
    };
  }

  /** Handles an answer; one to an unknown ask is ignored. */
  receiveGrant(from: string, {sequence, grants, unheard}: GrantMessage): void {
    const sent = this.sentAsks.get(sequence);
    if (sent?.owner !== from) return;
    this.sentAsks.delete(sequence);
    const nowMs = this.readMs();
    const {sentMs, accounts} = sent;
    if (accounts.length === 0)
      this.contacts.recordAnswer(nowMs, from, sentMs, unheard);
    this.holder.handleAnswer(nowMs, from, sentMs, accounts, grants);
    if (this.holder.hasPending()) this.flush();
  }

  /** Handles the end of the connection to a node. */
  handleLost(node: string): void {
    this.holder.handleLost(this.readMs(), node);
    if (this.holder.hasPending()) this.flush();
  }

  /** Handles that the address of a node refuses connections. */
  handleGone(node: string): void {
    this.contacts.recordGone(this.readMs(), node);
  }

  /** Stops to lend; the others notice it as the loss of this node. */
  stop(): void {
    this.isStopped = true;
  }

  private readMs(): number {
    return this.parts.clock.readMs();
  }

  private isDue(owner: string, nowMs: number): boolean {
    if (owner === this.parts.self) return true;
    const lastMs = this.lastSentMs.get(owner) ?? -Infinity;
    return nowMs - lastMs >= ASK_INTERVAL_MS;
  }

  private ask(owner: string, asks: readonly TokenAsk[], nowMs: number): void {
    const accounts = asks.map(({account}) => account);
    if (owner === this.parts.self) {
      const grants = this.answer(nowMs, asks);
      this.holder.handleAnswer(nowMs, owner, nowMs, accounts, grants);
      return;
    }
    const sequence = this.nextSequence++;
    this.sentAsks.set(sequence, {owner, sentMs: nowMs, accounts});
    this.lastSentMs.set(owner, nowMs);
    this.parts.sendAsk(owner, {sequence, asks});
  }

  /** Grants tokens of the accounts that this node lends. */
  private answer(nowMs: number, asks: readonly TokenAsk[]): TokenGrant[] {
    if (this.isStopped || asks.length === 0) return [];
    this.contacts.refresh(nowMs);
    return asks.flatMap((ask) => {
      const allotment = this.parts.readAllotment(ask.account);
      const order = sortOwners(ask.account, this.owners);
      const sinceMs = this.contacts.computeLendingSince(order);
      if (!allotment || sinceMs === undefined) return [];
      return [this.owner.answer(nowMs, ask, allotment, sinceMs)];
    });
  }

  private sendContacts(nowMs: number): void {
    const {self, isReachable, isTooOld} = this.parts;
    if (this.isStopped || !this.owners.includes(self)) return;
    for (const owner of this.owners) {
      if (owner === self) continue;
      if (isTooOld(owner)) this.contacts.recordGone(nowMs, owner);
      if (!isReachable(owner)) continue;
      this.ask(owner, [], nowMs);
    }
  }
}
