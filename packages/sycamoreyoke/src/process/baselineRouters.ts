/** Baseline routers for comparison with the production router. */
import type {Member, MemberFilter, Router} from './types.js';
import {MemberState} from './types.js';

const acceptAll: MemberFilter = () => true;

/** Tracks the members of each service and the calls in flight to each. */
abstract class BaselineRouter implements Router {
  protected readonly inFlight = new Map<string, number>();
  private readonly members = new Map<string, readonly Member[]>();

  abstract choose(
    service: string,
    excluded: ReadonlySet<string>,
    mayChoose?: MemberFilter,
  ): Member | undefined;

  start(incarnation: string): void {
    this.inFlight.set(incarnation, this.countInFlight(incarnation) + 1);
  }

  finish(incarnation: string): void {
    const count = this.countInFlight(incarnation);
    this.inFlight.set(incarnation, Math.max(0, count - 1));
  }

  update(service: string, members: readonly Member[]): void {
    this.members.set(service, members);
  }

  list(service: string): readonly Member[] {
    return this.members.get(service) ?? [];
  }

  protected countInFlight(incarnation: string): number {
    return this.inFlight.get(incarnation) ?? 0;
  }

  protected listCandidates(
    service: string,
    excluded: ReadonlySet<string>,
    mayChoose: MemberFilter = acceptAll,
  ): readonly Member[] {
    return this.list(service).filter(
      (member) =>
        member.state === MemberState.ACTIVE &&
        !excluded.has(member.incarnation) &&
        mayChoose(member),
    );
  }
}

/** Chooses the members in round-robin order. */
export class RoundRobinRouter extends BaselineRouter {
  private readonly nextIndexes = new Map<string, number>();

  override choose(
    service: string,
    excluded: ReadonlySet<string>,
    mayChoose?: MemberFilter,
  ): Member | undefined {
    const candidates = this.listCandidates(service, excluded, mayChoose);
    const nextIndex = this.nextIndexes.get(service) ?? 0;
    this.nextIndexes.set(service, nextIndex + 1);
    return candidates[nextIndex % candidates.length];
  }
}

/** Chooses the member with the fewest calls in flight from this router. */
export class LeastInFlightRouter extends BaselineRouter {
  override choose(
    service: string,
    excluded: ReadonlySet<string>,
    mayChoose?: MemberFilter,
  ): Member | undefined {
    return this.listCandidates(service, excluded, mayChoose).reduce<
      Member | undefined
    >(
      (best, member) =>
        best &&
        this.countInFlight(best.incarnation) <=
          this.countInFlight(member.incarnation)
          ? best
          : member,
      undefined,
    );
  }
}
