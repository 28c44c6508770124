import type {Clock} from '../clock.js';
import type {Random} from '../random.js';
import {COLD_START_MS} from './constants.js';
import type {MemberLoad} from './memberLoad.js';
import {applyResult, computeExpectedWaitMs, createLoad} from './memberLoad.js';
import type {MemberGroups} from './memberGroups.js';
import {chooseRandomMember, splitMembers} from './memberGroups.js';
import type {Member, MemberFilter, Router} from './types.js';

/** Assumed latency of a member without observations. */
const DEFAULT_LATENCY_MS = 1;
/** Lowest share of its normal load that a newly started member gets. */
const MIN_COLD_SHARE = 0.1;
/**
 * The local data centre is preferred while its expected wait is at most this
 * multiple of the wait elsewhere.
 */
const MAX_LOCAL_WAIT_RATIO = 2;

/** Dependencies of a router. */
export interface RouterDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: string;
}

const NO_MEMBERS: MemberGroups = {all: [], local: [], remote: []};

/**
 * Power of two choices: draws two random members and takes the one with the
 * shorter expected wait, preferring the local data centre. A choice takes
 * constant time.
 */
export class TwoChoiceRouter implements Router {
  private readonly services = new Map<string, MemberGroups>();
  private readonly loads = new Map<string, MemberLoad>();

  constructor(private readonly dependencies: RouterDependencies) {}

  choose(
    service: string,
    excluded: ReadonlySet<string>,
    isEligible: MemberFilter = () => true,
  ): Member | undefined {
    const {local, remote} = this.services.get(service) ?? NO_MEMBERS;
    const isAllowed: MemberFilter = (member) =>
      !excluded.has(member.incarnation) && isEligible(member);
    const localMember = this.chooseBetterOfTwo(local, isAllowed);
    if (localMember && remote.length === 0) return localMember;
    const remoteMember = this.chooseBetterOfTwo(remote, isAllowed);
    if (!localMember || !remoteMember) return localMember ?? remoteMember;
    const hasRoom =
      this.computeWaitMs(localMember) <=
      MAX_LOCAL_WAIT_RATIO * this.computeWaitMs(remoteMember);
    return hasRoom ? localMember : remoteMember;
  }

  start(incarnation: string): void {
    const load = this.loads.get(incarnation);
    if (load) load.inFlight += 1;
  }

  finish(incarnation: string, latencyMs: number, failed: boolean): void {
    const load = this.loads.get(incarnation);
    if (!load) return;
    applyResult(load, latencyMs, failed, this.dependencies.clock.readMs());
  }

  update(service: string, members: readonly Member[]): void {
    const nowMs = this.dependencies.clock.readMs();
    const incarnations = new Set(members.map(({incarnation}) => incarnation));
    for (const {incarnation} of this.list(service)) {
      if (!incarnations.has(incarnation)) this.loads.delete(incarnation);
    }
    for (const incarnation of incarnations) {
      if (this.loads.has(incarnation)) continue;
      this.loads.set(incarnation, createLoad(nowMs));
    }
    this.services.set(
      service,
      splitMembers(members, this.dependencies.dataCentre),
    );
  }

  list(service: string): readonly Member[] {
    return this.services.get(service)?.all ?? [];
  }

  /** Returns the expected time of one more call to the member, ms. */
  computeWaitMs(member: Member): number {
    const load = this.loads.get(member.incarnation);
    if (!load) return Infinity;
    return computeExpectedWaitMs(
      load,
      member.weight,
      DEFAULT_LATENCY_MS,
      this.dependencies.clock.readMs(),
    );
  }

  private chooseBetterOfTwo(
    members: readonly Member[],
    isAllowed: MemberFilter,
  ): Member | undefined {
    const first = this.chooseCandidate(members, isAllowed);
    if (!first || members.length === 1) return first;
    const second = this.chooseCandidate(members, isAllowed) ?? first;
    return this.computeWaitMs(second) < this.computeWaitMs(first)
      ? second
      : first;
  }

  /**
   * Draws a random member. A member that is still warming up is kept only with
   * the probability of its warm-up share, and otherwise replaced by a new draw.
   */
  private chooseCandidate(
    members: readonly Member[],
    isAllowed: MemberFilter,
  ): Member | undefined {
    const {random} = this.dependencies;
    const member = chooseRandomMember(random, members, isAllowed);
    if (!member) return undefined;
    const warmUpShare = this.computeWarmUpShare(member);
    if (warmUpShare >= 1 || random() < warmUpShare) return member;
    return chooseRandomMember(random, members, isAllowed);
  }

  /**
   * Returns the share of its normal load that the member gets, which grows
   * linearly to 1 over the cold start. Its age is the longer of the announced
   * age and the time since this process first saw it: clocks differ between
   * hosts, but a member is never younger than the time since it was first seen.
   */
  private computeWarmUpShare(member: Member): number {
    const {clock} = this.dependencies;
    const load = this.loads.get(member.incarnation);
    const knownForMs = load ? clock.readMs() - load.firstSeenMs : 0;
    if (knownForMs >= COLD_START_MS) return 1;
    const announcedAgeMs =
      member.startedMs === undefined ? 0 : clock.readMs() - member.startedMs;
    const ageMs = Math.max(knownForMs, announcedAgeMs);
    return Math.min(1, Math.max(MIN_COLD_SHARE, ageMs / COLD_START_MS));
  }
}
