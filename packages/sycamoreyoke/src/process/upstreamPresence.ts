/** Tracks the local upstream of a node from its heartbeats. */
import type {Clock} from '../clock.js';
import type {UpstreamLeaving} from './upstreamLeavings.js';
import {LeavingMatch, UpstreamLeavings} from './upstreamLeavings.js';

/** A validated heartbeat of an upstream. */
export interface UpstreamHeartbeat {
  readonly instance: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Warm-up time of the upstream after its start, ms. */
  readonly coldMs: number;
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: number;
  /** Wall-clock start time of the upstream, ms; identifies the incarnation. */
  readonly bornMs: number;
}

/** Three heartbeats; a running upstream is heard from within this time. */
const MAX_SILENCE_MS = 5_000;
/**
 * An upstream that left sends no heartbeats. Delayed ones arrive together, so
 * they count as one within this time.
 */
const MIN_HEARTBEAT_GAP_MS = 500;
const MIN_CONTINUED_HEARTBEATS = 4;

/** Heartbeats of an incarnation that has possibly left. */
interface ContinuedHeartbeats {
  readonly sinceMs: number;
  readonly lastMs: number;
  readonly count: number;
}

export enum PresenceChange {
  NONE = 'none',
  /** The heartbeat is from a new incarnation, or from the first one. */
  STARTED = 'started',
  UPDATED = 'updated',
  DRAINING = 'draining',
  /** The heartbeat is from an earlier incarnation or arrived out of order. */
  OUTDATED = 'outdated',
}

/** State of the upstream as of its latest heartbeat. */
export interface PresentUpstream {
  readonly instance: string;
  readonly slots: number;
  readonly bornMs: number;
  readonly sequence: number;
  readonly lastHeartbeatMs: number;
  readonly coldUntilMs: number;
  /**
   * Time at which the node learned that the upstream is draining, ms; -Infinity
   * if it was draining when the node first heard of it.
   */
  readonly drainingSinceMs: number | undefined;
}

/**
 * Tracks the newest incarnation of the upstream. A delayed heartbeat may arrive
 * after its sender has crashed and a new incarnation has registered, so an
 * incarnation with an earlier start does not replace a live one.
 */
export class UpstreamPresence {
  private current: PresentUpstream | undefined;
  /** Latest heartbeat that appeared to be older than the current state. */
  private olderHeartbeat: UpstreamHeartbeat | undefined;
  /** True if the current incarnation was found to have ended. */
  private hasEnded = false;
  private readonly leavings = new UpstreamLeavings();
  private continued: ContinuedHeartbeats | undefined;

  constructor(private readonly clock: Clock) {}

  read(): PresentUpstream | undefined {
    return this.current;
  }

  /** Applies a heartbeat and returns what it changed. */
  observe(heartbeat: UpstreamHeartbeat): PresenceChange {
    const known = this.current;
    if (!known) {
      // A former process may have acknowledged the leaving long ago.
      this.start(heartbeat, heartbeat.isDraining);
      return PresenceChange.STARTED;
    }
    if (isNewer(heartbeat, known)) {
      this.start(heartbeat, false);
      return PresenceChange.STARTED;
    }
    const isSame = isSameStart(heartbeat, known);
    const isInOrder = isSame && heartbeat.sequence > known.sequence;
    if (!isInOrder && !this.isRunningSuccessor(heartbeat, known)) {
      return PresenceChange.OUTDATED;
    }
    if (!isSame) {
      this.start(heartbeat, false);
      return PresenceChange.STARTED;
    }
    if (this.isContinuing(heartbeat)) {
      this.leavings.remove(heartbeat.instance);
      this.store(heartbeat, undefined);
      return PresenceChange.UPDATED;
    }
    const wasDraining = known.drainingSinceMs !== undefined;
    this.store(heartbeat, known.drainingSinceMs);
    if (wasDraining) return PresenceChange.NONE;
    if (heartbeat.isDraining) return PresenceChange.DRAINING;
    return known.slots === heartbeat.slots
      ? PresenceChange.NONE
      : PresenceChange.UPDATED;
  }

  /**
   * Records that an instance has announced its leaving, also if none of its
   * heartbeats has arrived yet.
   */
  recordLeaving(instance: string): PresenceChange {
    const known = this.current;
    const isCurrent = known?.instance === instance;
    this.leavings.add({
      instance,
      bornMs: isCurrent ? known.bornMs : undefined,
      announcedMs: this.clock.readDate().getTime(),
    });
    if (!isCurrent) return PresenceChange.OUTDATED;
    if (known.drainingSinceMs !== undefined) return PresenceChange.NONE;
    this.current = {...known, drainingSinceMs: this.clock.readMs()};
    return PresenceChange.DRAINING;
  }

  /** Lists the leavings that no later incarnation has replaced. */
  listLeavings(): readonly UpstreamLeaving[] {
    const known = this.current;
    const replacedMs =
      known?.drainingSinceMs === undefined ? known?.bornMs : undefined;
    return this.leavings.list().filter(({bornMs = 0, announcedMs = bornMs}) => {
      return replacedMs === undefined || announcedMs > replacedMs;
    });
  }

  /** Adds leavings that an earlier process of the node acknowledged. */
  mergeLeavings(leavings: readonly UpstreamLeaving[]): PresenceChange {
    const added = leavings.filter((leaving) => this.leavings.add(leaving));
    if (added.length === 0) return PresenceChange.NONE;
    const known = this.current;
    const isDraining = known?.drainingSinceMs !== undefined;
    if (!known || isDraining) return PresenceChange.UPDATED;
    const hasLeft = this.leavings.compare(known) !== LeavingMatch.NONE;
    if (!hasLeft) return PresenceChange.UPDATED;
    this.current = {...known, drainingSinceMs: -Infinity};
    return PresenceChange.DRAINING;
  }

  /** Records that nothing listens at the upstream's address any more. */
  recordEnd(): void {
    this.hasEnded = true;
  }

  /** Clears the current upstream if it is the given instance. */
  clearInstance(instance: string): void {
    if (this.current?.instance === instance) this.current = undefined;
  }

  /**
   * Returns true if a heartbeat that appears older is from the upstream that is
   * running now. Its start time can be earlier because the clock was set back
   * between two starts, or because the known start time or sequence number is
   * wrong and far ahead. The heartbeat is accepted once the known incarnation
   * has ended, or has been silent while the other sent more than one heartbeat;
   * a single one may just have been delayed.
   */
  private isRunningSuccessor(
    heartbeat: UpstreamHeartbeat,
    known: PresentUpstream,
  ): boolean {
    const {olderHeartbeat} = this;
    this.olderHeartbeat = heartbeat;
    const silentMs = this.clock.readMs() - known.lastHeartbeatMs;
    const isRepeated =
      olderHeartbeat !== undefined &&
      isSameStart(olderHeartbeat, heartbeat) &&
      heartbeat.sequence > olderHeartbeat.sequence;
    const isRestarted = this.hasEnded && !isSameStart(heartbeat, known);
    return isRestarted || (isRepeated && silentMs >= MAX_SILENCE_MS);
  }

  /**
   * Returns true if heartbeats go on for so long that the incarnation has not
   * left: a former one with the same id has, and the clock was set back.
   */
  private isContinuing(heartbeat: UpstreamHeartbeat): boolean {
    const match = this.leavings.compare(heartbeat);
    if (match !== LeavingMatch.POSSIBLE || heartbeat.isDraining) return false;
    const {sinceMs, lastMs, count} = this.countContinued();
    return (
      count >= MIN_CONTINUED_HEARTBEATS && lastMs - sinceMs >= MAX_SILENCE_MS
    );
  }

  private countContinued(): ContinuedHeartbeats {
    const nowMs = this.clock.readMs();
    const known = this.continued ?? {
      sinceMs: nowMs,
      lastMs: -Infinity,
      count: 0,
    };
    if (nowMs - known.lastMs < MIN_HEARTBEAT_GAP_MS) return known;
    this.continued = {...known, lastMs: nowMs, count: known.count + 1};
    return this.continued;
  }

  /** Starts to track an incarnation; it may have left already. */
  private start(heartbeat: UpstreamHeartbeat, wasDraining: boolean): void {
    const match = this.leavings.compare(heartbeat);
    const isSuccessor = match === LeavingMatch.POSSIBLE && this.hasEnded;
    if (isSuccessor) this.leavings.remove(heartbeat.instance);
    const hasLeft = match !== LeavingMatch.NONE && !isSuccessor;
    this.continued = undefined;
    if (hasLeft) this.countContinued();
    this.store(heartbeat, hasLeft || wasDraining ? -Infinity : undefined);
  }

  private store(
    heartbeat: UpstreamHeartbeat,
    drainingSinceMs: number | undefined,
  ): void {
    const nowMs = this.clock.readMs();
    this.olderHeartbeat = undefined;
    this.hasEnded = false;
    const {instance, slots, bornMs, sequence, coldMs, isDraining} = heartbeat;
    if (isDraining) {
      this.leavings.add({instance, bornMs});
    }
    this.current = {
      instance,
      slots,
      bornMs,
      sequence,
      lastHeartbeatMs: nowMs,
      coldUntilMs: nowMs + coldMs,
      drainingSinceMs: isDraining
        ? (drainingSinceMs ?? nowMs)
        : drainingSinceMs,
    };
  }
}

function isSameStart(
  first: Pick<UpstreamHeartbeat, 'instance' | 'bornMs'>,
  second: Pick<UpstreamHeartbeat, 'instance' | 'bornMs'>,
): boolean {
  return first.instance === second.instance && first.bornMs === second.bornMs;
}

function isNewer(
  heartbeat: UpstreamHeartbeat,
  known: PresentUpstream,
): boolean {
  if (heartbeat.bornMs !== known.bornMs) {
    return heartbeat.bornMs > known.bornMs;
  }
  // Same start time: the instance with the higher sequence number is alive.
  return (
    heartbeat.instance !== known.instance && heartbeat.sequence > known.sequence
  );
}
