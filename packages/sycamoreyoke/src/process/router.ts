import type {Clock} from '../clock.js';
import type {Random} from '../random.js';
import {COLD_START_MS} from './constants.js';
import type {MemberLoad} from './memberLoad.js';
import {applyResult, computeExpectedWaitMs, createLoad} from './memberLoad.js';
import type {MemberGroups} from './memberGroups.js';
import {chooseRandomMember, splitMembers} from './memberGroups.js';
import type {Member, MemberFilter, Router} from './types.js';

/** Latency assumed of a member without observations. */
const DEFAULT_LATENCY_MS = 1;
/** A cold member gets at least this share of its work. */
const COLDEST_SHARE = 0.1;
/**
 * The own data centre has room while its expected wait is below this multiple
 * of the wait elsewhere.
 */
const NEAR_TOLERANCE = 2;

/** What a router is built from. */
export interface RouterParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: string;
}

const NO_MEMBERS: MemberGroups = {all: [], near: [], far: []};

/**
 * The better of two random members by expected wait, in the own data centre
 * while it has room. A choice takes constant time.
 */
export class TwoChoiceRouter implements Router {
  private readonly services = new Map<string, MemberGroups>();
  private readonly loads = new Map<string, MemberLoad>();

  constructor(private readonly parts: RouterParts) {}

  choose(
    service: string,
    excluded: ReadonlySet<string>,
    mayChoose: MemberFilter = () => true,
  ): Member | undefined {
    const {near, far} = this.services.get(service) ?? NO_MEMBERS;
    const isAllowed: MemberFilter = (member) =>
      !excluded.has(member.incarnation) && mayChoose(member);
    const nearMember = this.chooseBetter(near, isAllowed);
    if (nearMember && far.length === 0) return nearMember;
    const farMember = this.chooseBetter(far, isAllowed);
    if (!nearMember || !farMember) return nearMember ?? farMember;
    const hasRoom =
      this.computeWaitMs(nearMember) <=
      NEAR_TOLERANCE * this.computeWaitMs(farMember);
    return hasRoom ? nearMember : farMember;
  }

  start(incarnation: string): void {
    const load = this.loads.get(incarnation);
    if (load) load.inFlight += 1;
  }

  finish(incarnation: string, latencyMs: number, failed: boolean): void {
    const load = this.loads.get(incarnation);
    if (!load) return;
    applyResult(load, latencyMs, failed, this.parts.clock.readMs());
  }

  update(service: string, members: readonly Member[]): void {
    const nowMs = this.parts.clock.readMs();
    const kept = new Set(members.map(({incarnation}) => incarnation));
    for (const {incarnation} of this.list(service)) {
      if (!kept.has(incarnation)) this.loads.delete(incarnation);
    }
    for (const incarnation of kept) {
      if (this.loads.has(incarnation)) continue;
      this.loads.set(incarnation, createLoad(nowMs));
    }
    this.services.set(service, splitMembers(members, this.parts.dataCentre));
  }

  list(service: string): readonly Member[] {
    return this.services.get(service)?.all ?? [];
  }

  /** Expected wait of a further call to the member. */
  computeWaitMs(member: Member): number {
    const load = this.loads.get(member.incarnation);
    if (!load) return Infinity;
    return computeExpectedWaitMs(
      load,
      member.weight,
      DEFAULT_LATENCY_MS,
      this.parts.clock.readMs(),
    );
  }

  private chooseBetter(
    members: readonly Member[],
    isAllowed: MemberFilter,
  ): Member | undefined {
    const first = this.chooseOne(members, isAllowed);
    if (!first || members.length === 1) return first;
    const second = this.chooseOne(members, isAllowed) ?? first;
    return this.computeWaitMs(second) < this.computeWaitMs(first)
      ? second
      : first;
  }

  /** Draws a member; a cold one is kept with the share that it is due. */
  private chooseOne(
    members: readonly Member[],
    isAllowed: MemberFilter,
  ): Member | undefined {
    const {random} = this.parts;
    const member = chooseRandomMember(random, members, isAllowed);
    if (!member) return undefined;
    const share = this.computeWarmShare(member);
    if (share >= 1 || random() < share) return member;
    return chooseRandomMember(random, members, isAllowed);
  }

  /**
   * Grows from the coldest share to 1 over the cold start. The age is the
   * longer of the announced one and the time since this process saw the member:
   * clocks differ, and a member is never younger than its first sighting.
   */
  private computeWarmShare(member: Member): number {
    const {clock} = this.parts;
    const load = this.loads.get(member.incarnation);
    const seenMs = load ? clock.readMs() - load.seenMs : 0;
    if (seenMs >= COLD_START_MS) return 1;
    const announcedMs =
      member.startedMs === undefined ? 0 : clock.readMs() - member.startedMs;
    const ageMs = Math.max(seenMs, announcedMs);
    return Math.min(1, Math.max(COLDEST_SHARE, ageMs / COLD_START_MS));
  }
}
