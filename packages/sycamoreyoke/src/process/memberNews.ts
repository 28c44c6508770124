/** What a node holds of its service, states of itself and passes on. */
import type {Random} from '../random.js';
import {Dissemination} from './dissemination.js';
import type {MemberUpdate, MessageSender} from './membershipMessages.js';
import {
  MemberTable,
  MergeResult,
  comparePrecedence,
  isAccusation,
  isGone,
} from './memberTable.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/** Called with each merged statement about another member. */
export type MergeListener = (
  update: MemberUpdate,
  result: MergeResult,
  isNew: boolean,
  nowMs: number,
) => void;

/** Merges news into the table and hands it on. */
export class MemberNews {
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

  /** The node's statement about itself. */
  readStatement(): MemberUpdate {
    const {incarnation, counter, state} = this.self;
    return {incarnation, counter, state, observer: ''};
  }

  /** A new statement of this node; each raises the counter. A leaving node
   * does not come back. */
  setSelf(state: MemberState, weight: number, nowMs: number): void {
    if (this.self.state === MemberState.LEAVING) return;
    const isNew = this.self.state === MemberState.JOINING;
    const withRecord = isNew || weight !== this.self.weight;
    const counter = this.self.counter + 1;
    this.self = {...this.self, state, weight, counter};
    this.storeSelf(nowMs, withRecord);
  }

  /** A higher counter makes all members drop a wrong state of this node. */
  raiseCounter(atLeast: number, nowMs: number): void {
    if (this.self.state === MemberState.JOINING) return;
    const counter = Math.max(this.self.counter, atLeast) + 1;
    this.self = {...this.self, counter};
    this.storeSelf(nowMs, false);
  }

  /** Merges an update and passes it on when it is news. */
  apply(update: MemberUpdate, nowMs: number): void {
    const {incarnation, counter, state, observer, record} = update;
    if (incarnation === this.self.incarnation) {
      const isWrong = comparePrecedence(update, this.readStatement()) > 0;
      if (isWrong) this.raiseCounter(counter, nowMs);
      return;
    }
    const isKnown = this.table.find(incarnation) !== undefined;
    if (this.merge(update, nowMs) !== MergeResult.ADOPTED) return;
    const isRecordNeeded = record && !(isKnown && isGone(state));
    const short = {incarnation, counter, state, observer};
    this.dissemination.add(isRecordNeeded ? {...short, record} : short);
  }

  /**
   * Merges an entry of a list. New members are not passed on, since every
   * peer can ask for the list itself.
   */
  applyListed(update: MemberUpdate, nowMs: number): void {
    const {incarnation, counter, state, observer} = update;
    const isMine = incarnation === this.self.incarnation;
    if (isMine || this.table.find(incarnation)) {
      this.apply({incarnation, counter, state, observer}, nowMs);
    } else {
      this.merge(update, nowMs);
    }
  }

  /** Updates for one message. */
  takeUpdates(): MemberUpdate[] {
    return this.dissemination.takeUpdates(this.table.size);
  }

  hasUrgent(): boolean {
    return this.dissemination.hasUrgent();
  }

  /** Random members that are believed to answer. */
  choosePeers(count: number): Member[] {
    return this.table.chooseRandom(
      count,
      this.random,
      ({state, incarnation}) =>
        state === MemberState.ACTIVE && incarnation !== this.self.incarnation,
    );
  }

  /** The state of a member was observed by others and may be wrong. */
  isAccused(incarnation: string): boolean {
    const held = this.table.findUpdate(incarnation);
    return held !== undefined && isAccusation(held);
  }

  private merge(update: MemberUpdate, nowMs: number): MergeResult {
    const isNew = this.table.find(update.incarnation) === undefined;
    const result = this.table.apply(update, nowMs);
    if (result === MergeResult.KNOWN) return result;
    if (result === MergeResult.UNMATCHED) return result;
    this.listener(update, result, isNew, nowMs);
    return result;
  }

  private storeSelf(nowMs: number, withRecord: boolean): void {
    const update = this.readStatement();
    this.table.apply({...update, record: this.self}, nowMs);
    if (this.self.state === MemberState.JOINING) return;
    const record = this.self;
    this.dissemination.add(withRecord ? {...update, record} : update);
  }
}
