/**
 * Decides whether an upstream needs a status check before its first work. A
 * node that started after its upstream does not know whether the upstream has
 * announced its leaving to the node's former process, unless a peer tells it.
 * Each check is a request to the upstream, so there is none in any other case.
 */
import type {Clock} from '../clock.js';
import type {UpstreamHeartbeat} from './upstreamPresence.js';
import {PresenceChange} from './upstreamPresence.js';

/** What a status check has shown. */
export enum StatusVerdict {
  SERVING = 'serving',
  /** The upstream leaves, is not healthy or is another one. */
  NOT_SERVING = 'not-serving',
  /** There was no answer, or the upstream was too busy for the check. */
  UNKNOWN = 'unknown',
}

/**
 * Shortest pause before another check, ms; doubles each time. An upstream that
 * runs sends a heartbeat each 1.5 s, on which the check is repeated.
 */
const MIN_PAUSE_MS = 500;
const MAX_PAUSE_MS = 8_000;
/**
 * Heartbeats that go on for this long show that the upstream has not left,
 * whatever it answers; its check path may be wrong. Delayed heartbeats arrive
 * together, so they count as one.
 */
const MIN_CONTINUED_MS = 5_000;
const MIN_CONTINUED_HEARTBEATS = 4;
const MIN_HEARTBEAT_GAP_MS = 500;

/** Tracks whether the past of the current upstream is known. */
export class UpstreamPast {
  /** Whether the current upstream may get work. */
  private isKnown = false;
  /** Whether a former process of the node is accounted for. */
  private isTold = false;
  private isChecking = false;
  private nextCheckMs = -Infinity;
  private pauseMs = MIN_PAUSE_MS;
  private firstHeartbeatMs = 0;
  private lastHeartbeatMs = -Infinity;
  private heartbeats = 0;

  constructor(
    private readonly clock: Clock,
    /** Time of day at which the node's process started, ms. */
    private readonly nodeStartedAtMs: number,
  ) {}

  /** Whether the upstream may get work. */
  hasKnownPast(): boolean {
    return this.isKnown || this.isTold;
  }

  /** Records that a peer knows what the former process was told. */
  recordTold(): void {
    this.isTold = true;
  }

  /** Records that there is no way to check the upstream. */
  recordUncheckable(): void {
    this.isKnown = true;
  }

  /** Observes a heartbeat that was accepted. */
  observeHeartbeat(
    {bornMs, isDraining}: UpstreamHeartbeat,
    change: PresenceChange,
  ): void {
    if (this.hasKnownPast()) return;
    if (change === PresenceChange.STARTED) this.clear();
    const isYounger = bornMs >= this.nodeStartedAtMs;
    this.countHeartbeat();
    const isContinuing =
      this.heartbeats >= MIN_CONTINUED_HEARTBEATS &&
      this.lastHeartbeatMs - this.firstHeartbeatMs >= MIN_CONTINUED_MS;
    // A draining upstream gets no work, and its state is certain.
    this.isKnown = isYounger || isDraining || isContinuing;
  }

  /** Whether to send a check now; the caller then reports its verdict. */
  startCheck(): boolean {
    const isDue =
      !this.hasKnownPast() &&
      !this.isChecking &&
      this.heartbeats > 0 &&
      this.clock.readMs() >= this.nextCheckMs;
    if (isDue) this.isChecking = true;
    return isDue;
  }

  /** Records the verdict of the check that was started. */
  finishCheck(verdict: StatusVerdict): void {
    this.isChecking = false;
    this.isKnown ||= verdict === StatusVerdict.SERVING;
    this.nextCheckMs = this.clock.readMs() + this.pauseMs;
    this.pauseMs = Math.min(MAX_PAUSE_MS, 2 * this.pauseMs);
  }

  /** Begins to track another upstream. */
  private clear(): void {
    this.nextCheckMs = -Infinity;
    this.pauseMs = MIN_PAUSE_MS;
    this.heartbeats = 0;
    this.lastHeartbeatMs = -Infinity;
    this.firstHeartbeatMs = this.clock.readMs();
  }

  private countHeartbeat(): void {
    const nowMs = this.clock.readMs();
    if (nowMs - this.lastHeartbeatMs < MIN_HEARTBEAT_GAP_MS) return;
    this.lastHeartbeatMs = nowMs;
    this.heartbeats += 1;
  }
}
