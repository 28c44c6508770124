import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import type {Member, MemberFilter, Router} from './types.js';
import {MemberState} from './types.js';

/** Chooses uniformly among the ACTIVE members; a baseline in benchmarks. */
export class SimpleRouter implements Router {
  private readonly members = new Map<string, readonly Member[]>();

  constructor(private readonly random: Random) {}

  choose(
    service: string,
    excluded: ReadonlySet<string>,
    isEligible: MemberFilter = () => true,
  ): Member | undefined {
    const candidates = this.list(service).filter(
      (member) =>
        member.state === MemberState.ACTIVE &&
        !excluded.has(member.incarnation) &&
        isEligible(member),
    );
    return candidates[takeInteger(this.random, candidates.length)];
  }

  start(): void {}

  finish(): void {}

  update(service: string, members: readonly Member[]): void {
    this.members.set(service, members);
  }

  list(service: string): readonly Member[] {
    return this.members.get(service) ?? [];
  }
}
