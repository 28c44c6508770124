/** Asks the upstream for its status when nobody can tell whether it leaves. */
import type {Clock} from 'sycamoreyoke/clock';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {StatusVerdict, UpstreamPast} from 'sycamoreyoke/process/upstreamPast';
import type {
  PresenceChange,
  UpstreamHeartbeat,
} from 'sycamoreyoke/process/upstreamPresence';
import type {ExchangeResult} from '../connection/upstreamConnection.js';
import {ExchangeEnd, ResponseOwner} from '../connection/upstreamConnection.js';
import type {UpstreamPool} from '../connection/upstreamPool.js';
import {STATUS_CHECK_TIMEOUT_MS} from '../constants.js';
import type {Address, WireProtocol} from '../types.js';

/** Dependencies of the check. */
export interface StatusCheckParts {
  readonly clock: Clock;
  /** Time of day at which the node's process started, ms. */
  readonly nodeStartedAtMs: number;
  readonly upstream: Address;
  readonly wire: Pick<WireProtocol, 'readStatusAnswer'>;
  readonly pool: Pick<UpstreamPool, 'open'>;
  readonly record: EventRecorder;
  /** Whether the start of the node is complete, so that peers have told it. */
  readonly isStarted: () => boolean;
  /** Path of the status check; undefined if the service has none. */
  readonly readPath: () => string | undefined;
  /** Called when a check has shown that the upstream serves. */
  readonly handleChange: () => void;
}

/** Sends the status checks that the past of the upstream needs. */
export class StatusCheck {
  private readonly past: UpstreamPast;
  private instance = '';

  constructor(private readonly parts: StatusCheckParts) {
    this.past = new UpstreamPast(parts.clock, parts.nodeStartedAtMs);
  }

  /** Whether the upstream may get work, as far as its past is concerned. */
  hasKnownPast(): boolean {
    return this.past.hasKnownPast();
  }

  /** Records that a peer knew the former process of this node. */
  recordTold(): void {
    if (this.past.hasKnownPast()) return;
    this.past.recordTold();
    this.parts.handleChange();
  }

  observeHeartbeat(heartbeat: UpstreamHeartbeat, change: PresenceChange): void {
    this.instance = heartbeat.instance;
    this.past.observeHeartbeat(heartbeat, change);
    this.run();
  }

  /** Sends a check if one is due. */
  run(): void {
    if (!this.parts.isStarted() || !this.past.startCheck()) return;
    const path = this.parts.readPath();
    if (path === undefined) {
      this.past.recordUncheckable();
      this.past.finishCheck(StatusVerdict.UNKNOWN);
      this.parts.handleChange();
      return;
    }
    void this.send(path);
  }

  private async send(path: string): Promise<void> {
    const {clock, pool, record, upstream} = this.parts;
    const {instance} = this;
    const startedMs = clock.readMs();
    const connection = pool.open();
    const timer = setTimeout(
      () => connection.close('status check took too long'),
      STATUS_CHECK_TIMEOUT_MS,
    );
    const result = await connection.run({
      method: 'GET',
      path,
      buildHeaders: () => ['Host', `${upstream.host}:${upstream.port}`],
      body: new Uint8Array(0),
      findOwner: () => ResponseOwner.THIS_REQUEST,
    });
    clearTimeout(timer);
    // The upstream may have been replaced meanwhile.
    const verdict =
      instance === this.instance
        ? this.decide(result, instance)
        : StatusVerdict.UNKNOWN;
    record(EventCode.UPSTREAM_CHECKED, {
      instance,
      status: result.end === ExchangeEnd.RESPONSE ? result.status : 0,
      verdict,
      elapsedMs: Math.round(clock.readMs() - startedMs),
    });
    this.past.finishCheck(verdict);
    if (this.past.hasKnownPast()) this.parts.handleChange();
  }

  private decide(result: ExchangeResult, instance: string): StatusVerdict {
    if (result.end !== ExchangeEnd.RESPONSE) return StatusVerdict.UNKNOWN;
    const {status, headers} = result;
    const answer = this.parts.wire.readStatusAnswer(status, headers);
    if (answer.isNotRun) return StatusVerdict.UNKNOWN;
    return answer.isServing && answer.instance === instance
      ? StatusVerdict.SERVING
      : StatusVerdict.NOT_SERVING;
  }
}
