/** What a node knows of the upstream beside it, from its heartbeats. */
import type {Clock} from '../clock.js';

/** A heartbeat whose fields were checked. */
export interface UpstreamHeartbeat {
  readonly instance: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which the upstream stays slow after its start, ms. */
  readonly coldMs: number;
  /** Rises with each heartbeat of an incarnation. */
  readonly sequence: number;
  /** Wall-clock time of the upstream's start, ms; tells incarnations apart. */
  readonly bornMs: number;
}

/** Three heartbeats: an upstream that runs is heard within this time, ms. */
const SILENCE_MS = 5_000;

export enum PresenceChange {
  NONE = 'none',
  /** Another incarnation of the upstream, or the first one. */
  STARTED = 'started',
  UPDATED = 'updated',
  DRAINING = 'draining',
  /** A heartbeat of an earlier incarnation, or one that was overtaken. */
  OUTDATED = 'outdated',
}

/** The upstream as last reported. */
export interface PresentUpstream {
  readonly instance: string;
  readonly slots: number;
  readonly bornMs: number;
  readonly sequence: number;
  readonly heardMs: number;
  readonly coldUntilMs: number;
  /** When the node acknowledged that the upstream leaves. */
  readonly drainingSinceMs: number | undefined;
}

/**
 * Keeps the newest incarnation of the upstream. A heartbeat that was held up
 * may arrive after its sender has crashed and a new incarnation has registered,
 * so an older start never replaces a newer one.
 */
export class UpstreamPresence {
  private current: PresentUpstream | undefined;
  /** The latest report that seemed earlier than the current one. */
  private rival: UpstreamHeartbeat | undefined;
  /** The current incarnation has ended without notice. */
  private hasEnded = false;

  constructor(private readonly clock: Clock) {}

  read(): PresentUpstream | undefined {
    return this.current;
  }

  /** Takes a heartbeat in. */
  observe(heartbeat: UpstreamHeartbeat): PresenceChange {
    const known = this.current;
    if (!known || isNewer(heartbeat, known)) {
      this.store(heartbeat, undefined);
      return PresenceChange.STARTED;
    }
    const isSame = isSameStart(heartbeat, known);
    const isNext = isSame && heartbeat.sequence > known.sequence;
    if (!isNext && !this.isSuccessor(heartbeat, known)) {
      return PresenceChange.OUTDATED;
    }
    if (!isSame) {
      this.store(heartbeat, undefined);
      return PresenceChange.STARTED;
    }
    const wasDraining = known.drainingSinceMs !== undefined;
    this.store(heartbeat, known.drainingSinceMs);
    if (wasDraining) return PresenceChange.NONE;
    if (heartbeat.isDraining) return PresenceChange.DRAINING;
    return known.slots === heartbeat.slots
      ? PresenceChange.NONE
      : PresenceChange.UPDATED;
  }

  /** The upstream said that it goes. */
  recordLeave(instance: string): PresenceChange {
    const known = this.current;
    if (known?.instance !== instance) return PresenceChange.OUTDATED;
    if (known.drainingSinceMs !== undefined) return PresenceChange.NONE;
    this.current = {...known, drainingSinceMs: this.clock.readMs()};
    return PresenceChange.DRAINING;
  }

  /** Nothing listens at the address of the upstream any more. */
  recordEnd(): void {
    this.hasEnded = true;
  }

  /** Forgets an instance that turned out not to be there any more. */
  clearInstance(instance: string): void {
    if (this.current?.instance === instance) this.current = undefined;
  }

  /**
   * The clock may have been set back between two starts, and a start or count
   * far ahead may be a fault. What seems earlier counts once the later one has
   * ended, or keeps silent while the other goes on to report; a single report
   * may have been held up.
   */
  private isSuccessor(
    heartbeat: UpstreamHeartbeat,
    known: PresentUpstream,
  ): boolean {
    const {rival} = this;
    this.rival = heartbeat;
    const silentMs = this.clock.readMs() - known.heardMs;
    const isRepeated =
      rival !== undefined &&
      isSameStart(rival, heartbeat) &&
      heartbeat.sequence > rival.sequence;
    const isRestarted = this.hasEnded && !isSameStart(heartbeat, known);
    return isRestarted || (isRepeated && silentMs >= SILENCE_MS);
  }

  private store(
    heartbeat: UpstreamHeartbeat,
    drainingSinceMs: number | undefined,
  ): void {
    const nowMs = this.clock.readMs();
    this.rival = undefined;
    this.hasEnded = false;
    const {instance, slots, bornMs, sequence, coldMs, isDraining} = heartbeat;
    this.current = {
      instance,
      slots,
      bornMs,
      sequence,
      heardMs: nowMs,
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
  // Two instances with the same start: the one that counts further is alive.
  return (
    heartbeat.instance !== known.instance && heartbeat.sequence > known.sequence
  );
}
