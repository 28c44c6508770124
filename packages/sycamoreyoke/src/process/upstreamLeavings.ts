/** Remembers which upstreams of a node have announced that they leave. */
import type {UpstreamHeartbeat} from './upstreamPresence.js';

/** An acknowledged announcement of an upstream that leaves. */
export interface UpstreamLeaving {
  readonly instance: string;
  /** Start of the incarnation that leaves; undefined if it is not known. */
  readonly bornMs?: number | undefined;
  /**
   * Time of day of an announcement that names the instance only: an incarnation
   * that has started later is another one. Undefined if the start is certain.
   */
  readonly announcedMs?: number | undefined;
}

/** Whether the sender of a heartbeat has announced its leaving. */
export enum LeavingMatch {
  NONE = 'none',
  /** It has the instance id, and started before the announcement. */
  POSSIBLE = 'possible',
  /** It is the incarnation that left. */
  CERTAIN = 'certain',
}

/** An upstream leaves once; more than one at a time means lost heartbeats. */
export const MAX_LEAVINGS = 8;

/** Keeps the latest leavings for as long as the process runs. */
export class UpstreamLeavings {
  private readonly leavings = new Map<string, UpstreamLeaving>();

  list(): readonly UpstreamLeaving[] {
    return [...this.leavings.values()];
  }

  /** Adds a leaving; returns false if it was known. */
  add(leaving: UpstreamLeaving): boolean {
    const {instance, bornMs, announcedMs} = leaving;
    const known = this.leavings.get(instance);
    const merged = {
      instance,
      bornMs: findLatest(known?.bornMs, bornMs),
      announcedMs: findLatest(known?.announcedMs, announcedMs),
    };
    const isKnown =
      known?.bornMs === merged.bornMs &&
      known?.announcedMs === merged.announcedMs;
    if (known && isKnown) return false;
    this.leavings.delete(instance);
    this.leavings.set(instance, merged);
    const [oldest] = this.leavings.keys();
    if (oldest !== undefined && this.leavings.size > MAX_LEAVINGS) {
      this.leavings.delete(oldest);
    }
    return true;
  }

  remove(instance: string): void {
    this.leavings.delete(instance);
  }

  compare({
    instance,
    bornMs,
  }: Pick<UpstreamHeartbeat, 'instance' | 'bornMs'>): LeavingMatch {
    const leaving = this.leavings.get(instance);
    if (!leaving) return LeavingMatch.NONE;
    if (leaving.bornMs === bornMs) return LeavingMatch.CERTAIN;
    return bornMs <= (leaving.announcedMs ?? -Infinity)
      ? LeavingMatch.POSSIBLE
      : LeavingMatch.NONE;
  }
}

function findLatest(
  first: number | undefined,
  second: number | undefined,
): number | undefined {
  if (first === undefined || second === undefined) return first ?? second;
  return Math.max(first, second);
}
