/** Member table of a node and the updates that it disseminates. */
import type {Random} from '../random.js';
import {Dissemination} from './dissemination.js';
import type {MemberUpdate, MessageSender} from './membershipMessages.js';
import {
  MemberTable,
  MergeResult,
  comparePrecedence,
  hasLeft,
  isReportByOthers,
} from './memberTable.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/** Called with each merged update about another member. */
export type MergeListener = (
  update: MemberUpdate,
  result: MergeResult,
  isNew: boolean,
  nowMs: number,
) => void;

/** Merges updates into the member table and forwards new ones by gossip. */
export class MemberGossip {
  readonly table: MemberTable;
  private readonly dissemination = new Dissemination();

  constructor(
    private self: Member,
    private readonly random: Random,
    private readonly listener: MergeListener,
    nowMs: number,
  ) {
    const {dataCentre} = self;
    this.table = new MemberTable((observer) => observer === dataCentre);
    this.storeSelf(nowMs, false);
  }

  readSelf(): Member {
    return this.self;
  }

  readSender(): MessageSender {
    const {service, incarnation} = this.self;
    return {service, incarnation};
  }

  /** Returns this node's current statement about itself. */
  readStatement(): MemberUpdate {
    const {incarnation, counter, state} = this.self;
    return {incarnation, counter, state, observer: ''};
  }

  /**
   * Makes a new statement about this node with a higher counter. Has no effect
   * once the node is LEAVING, which is final.
   */
  setSelf(state: MemberState, weight: number, nowMs: number): void {
    if (this.self.state === MemberState.LEAVING) return;
    const isNew = this.self.state === MemberState.JOINING;
    const includesRecord = isNew || weight !== this.self.weight;
    const counter = this.self.counter + 1;
    this.self = {...this.self, state, weight, counter};
    this.storeSelf(nowMs, includesRecord);
  }

  /** Raises the counter, which refutes a wrong state of this node. */
  raiseCounter(atLeast: number, nowMs: number): void {
    if (this.self.state === MemberState.JOINING) return;
    const counter = Math.max(this.self.counter, atLeast) + 1;
    this.self = {...this.self, counter};
    this.storeSelf(nowMs, false);
  }

  /** Merges an update and forwards it if the table adopted it. */
  apply(update: MemberUpdate, nowMs: number): void {
    const {incarnation, counter, state, observer, record} = update;
    if (incarnation === this.self.incarnation) {
      const isWrong = comparePrecedence(update, this.readStatement()) > 0;
      if (isWrong) this.raiseCounter(counter, nowMs);
      return;
    }
    const isKnown = this.table.find(incarnation) !== undefined;
    if (this.merge(update, nowMs) !== MergeResult.ADOPTED) return;
    const isRecordNeeded = record && !(isKnown && hasLeft(state));
    const updateWithoutRecord = {incarnation, counter, state, observer};
    this.dissemination.add(
      isRecordNeeded ? {...updateWithoutRecord, record} : updateWithoutRecord,
    );
  }

  /**
   * Merges an entry of a member list. New members are not forwarded, since
   * every peer can request the list itself.
   */
  applyListed(update: MemberUpdate, nowMs: number): void {
    const {incarnation, counter, state, observer} = update;
    const isSelf = incarnation === this.self.incarnation;
    if (isSelf || this.table.find(incarnation)) {
      this.apply({incarnation, counter, state, observer}, nowMs);
    } else {
      this.merge(update, nowMs);
    }
  }

  /** Returns the updates to piggyback on one message. */
  takeUpdates(): MemberUpdate[] {
    return this.dissemination.takeUpdates(this.table.size);
  }

  hasUrgentUpdates(): boolean {
    return this.dissemination.hasUrgentUpdates();
  }

  /** Returns random ACTIVE members other than this node. */
  choosePeers(count: number): Member[] {
    return this.table.chooseRandom(
      count,
      this.random,
      ({state, incarnation}) =>
        state === MemberState.ACTIVE && incarnation !== this.self.incarnation,
    );
  }

  /** Returns true if others, not the member, reported its state. */
  isReportedByOthers(incarnation: string): boolean {
    const held = this.table.findUpdate(incarnation);
    return held !== undefined && isReportByOthers(held);
  }

  private merge(update: MemberUpdate, nowMs: number): MergeResult {
    const isNew = this.table.find(update.incarnation) === undefined;
    const result = this.table.apply(update, nowMs);
    if (result === MergeResult.KNOWN) return result;
    if (result === MergeResult.UNMATCHED) return result;
    this.listener(update, result, isNew, nowMs);
    return result;
  }

  private storeSelf(nowMs: number, includesRecord: boolean): void {
    const update = this.readStatement();
    this.table.apply({...update, record: this.self}, nowMs);
    if (this.self.state === MemberState.JOINING) return;
    const record = this.self;
    this.dissemination.add(includesRecord ? {...update, record} : update);
  }
}
