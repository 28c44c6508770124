import type {Random} from 'sycamoreyoke/random';
import type {Egress} from './egress.js';
import type {EventQueue} from './eventQueue.js';
import {RetryBudget} from './retryBudget.js';
import type {RunCounts} from './runCounts.js';
import {addToBin, addToCount} from './runCounts.js';
import type {Deployment, RequestKind, Scenario} from './types.js';
import type {Attempt, CallerRequest} from './callerRequest.js';

/** Mean pause of a caller before it sends a failed request again. */
const RESEND_PAUSE_MS = 100;

/** Dependencies of {@link SimulatedCallers}. */
export interface SimulatedCallersParts {
  readonly events: EventQueue;
  readonly random: Random;
  readonly counts: RunCounts;
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly egress: Egress;
  /** Retries that nodes may spend on one request. */
  readonly retriesPerRequest: number;
}

/**
 * The callers near one data centre: Poisson arrivals, and quick resends of
 * requests that failed or timed out.
 */
export class SimulatedCallers {
  constructor(private readonly parts: SimulatedCallersParts) {}

  /** Schedules the first arrival of each kind of request. */
  start(): void {
    for (const kind of this.parts.deployment.kinds) this.scheduleNext(kind);
  }

  private scheduleNext(kind: RequestKind): void {
    const {events, random, scenario, deployment} = this.parts;
    const nowMs = events.clock.readMs();
    const surgeFactor = this.isTriggerActive(nowMs) ? scenario.surgeFactor : 1;
    const ratePerMs =
      (kind.ratePerSecond * surgeFactor) /
      1_000 /
      deployment.dataCentres.length;
    const delayMs = -Math.log(1 - random()) / ratePerMs;
    if (nowMs + delayMs > scenario.endMs) return;
    events.schedule(delayMs, () => {
      this.sendFirst(kind);
      this.scheduleNext(kind);
    });
  }

  private isTriggerActive(timeMs: number): boolean {
    const {triggerStartMs, triggerEndMs} = this.parts.scenario;
    return timeMs >= triggerStartMs && timeMs < triggerEndMs;
  }

  private sendFirst(kind: RequestKind): void {
    const {counts, events} = this.parts;
    const nowMs = events.clock.readMs();
    addToBin(counts.offeredBins, nowMs);
    if (this.isTriggerActive(nowMs)) {
      addToCount(counts.offeredDuringTrigger, kind.name);
    }
    this.send({
      kind,
      firstSentMs: nowMs,
      retryBudget: new RetryBudget(this.parts.retriesPerRequest),
      sends: 0,
      isAnswered: false,
      nodeRetries: 0,
      upstreamStarts: 0,
      earlyRefusals: 0,
    });
  }

  private send(request: CallerRequest): void {
    const {events, egress} = this.parts;
    request.sends += 1;
    const attempt: Attempt = {
      request,
      deadline: events.clock.readMs() + request.kind.timeoutMs,
      isFinished: false,
      slotMs: 0,
    };
    egress.send(
      request.kind.rootCall,
      attempt,
      request.retryBudget,
      (succeeded) => this.finish(attempt, succeeded),
    );
    events.schedule(request.kind.timeoutMs, () => this.finish(attempt, false));
  }

  private finish(attempt: Attempt, succeeded: boolean): void {
    if (attempt.isFinished) return;
    attempt.isFinished = true;
    const {counts, events, random, scenario} = this.parts;
    const {request} = attempt;
    if (succeeded) {
      counts.usefulSlotMs += attempt.slotMs;
      this.countAnswered(request);
      return;
    }
    counts.wastedSlotMs += attempt.slotMs;
    if (request.sends >= scenario.maxSends) {
      this.countFinished(request);
      return;
    }
    const pauseMs = RESEND_PAUSE_MS * (0.5 + random());
    events.schedule(pauseMs, () => this.send(request));
  }

  private countAnswered(request: CallerRequest): void {
    const {counts, events} = this.parts;
    const nowMs = events.clock.readMs();
    request.isAnswered = true;
    addToBin(counts.answeredBins, request.firstSentMs);
    addToBin(counts.servedBins, nowMs);
    if (this.isTriggerActive(nowMs)) {
      addToCount(counts.servedDuringTrigger, request.kind.name);
    }
    this.countFinished(request);
  }

  private countFinished(request: CallerRequest): void {
    const {counts} = this.parts;
    counts.mostNodeRetries = Math.max(
      counts.mostNodeRetries,
      request.nodeRetries,
    );
    counts.mostStarts = Math.max(counts.mostStarts, request.upstreamStarts);
    counts.earlyRefusals += request.earlyRefusals;
  }
}
