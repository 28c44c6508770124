import type {Random} from 'sycamoreyoke/random';
import type {Egress} from './egress.js';
import type {EventQueue} from './eventQueue.js';
import {Ledger} from './ledger.js';
import type {RunCounts} from './runCounts.js';
import {addToBin, addToCount} from './runCounts.js';
import type {Deployment, RequestKind, Scenario} from './types.js';
import type {Attempt, WholeRequest} from './wholeRequest.js';

/** Mean pause of a caller before it sends a failed request again. */
const PAUSE_MS = 100;

/** Dependencies of {@link CallerFake}. */
export interface CallerParts {
  readonly events: EventQueue;
  readonly random: Random;
  readonly counts: RunCounts;
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly egress: Egress;
  /** Retries that nodes may spend on one request. */
  readonly allowance: number;
}

/**
 * The callers near one data centre: Poisson arrivals, and quick resends of
 * requests that failed or timed out.
 */
export class CallerFake {
  constructor(private readonly parts: CallerParts) {}

  /** Schedules the first arrival of each kind of request. */
  start(): void {
    for (const kind of this.parts.deployment.kinds) this.scheduleNext(kind);
  }

  private scheduleNext(kind: RequestKind): void {
    const {events, random, scenario, deployment} = this.parts;
    const nowMs = events.clock.readMs();
    const surge = this.isTriggered(nowMs) ? scenario.surge : 1;
    const ratePerMs =
      (kind.ratePerSecond * surge) / 1_000 / deployment.dataCentres.length;
    const delayMs = -Math.log(1 - random()) / ratePerMs;
    if (nowMs + delayMs > scenario.endMs) return;
    events.schedule(delayMs, () => {
      this.sendFirst(kind);
      this.scheduleNext(kind);
    });
  }

  private isTriggered(timeMs: number): boolean {
    const {triggerStartMs, triggerEndMs} = this.parts.scenario;
    return timeMs >= triggerStartMs && timeMs < triggerEndMs;
  }

  private sendFirst(kind: RequestKind): void {
    const {counts, events} = this.parts;
    const nowMs = events.clock.readMs();
    addToBin(counts.offeredBins, nowMs);
    if (this.isTriggered(nowMs)) {
      addToCount(counts.offeredInTrigger, kind.name);
    }
    this.send({
      kind,
      firstSentMs: nowMs,
      ledger: new Ledger(this.parts.allowance),
      sends: 0,
      isAnswered: false,
      nodeRetries: 0,
      starts: 0,
      earlyRefusals: 0,
    });
  }

  private send(request: WholeRequest): void {
    const {events, egress} = this.parts;
    request.sends += 1;
    const attempt: Attempt = {
      request,
      deadline: events.clock.readMs() + request.kind.timeoutMs,
      isOver: false,
      slotMs: 0,
    };
    egress.send(request.kind.root, attempt, request.ledger, (succeeded) =>
      this.finish(attempt, succeeded),
    );
    events.schedule(request.kind.timeoutMs, () => this.finish(attempt, false));
  }

  private finish(attempt: Attempt, succeeded: boolean): void {
    if (attempt.isOver) return;
    attempt.isOver = true;
    const {counts, events, random, scenario} = this.parts;
    const {request} = attempt;
    if (succeeded) {
      counts.usefulSlotMs += attempt.slotMs;
      this.countAnswer(request);
      return;
    }
    counts.wastedSlotMs += attempt.slotMs;
    if (request.sends >= scenario.callerSends) {
      this.countEnd(request);
      return;
    }
    const pauseMs = PAUSE_MS * (0.5 + random());
    events.schedule(pauseMs, () => this.send(request));
  }

  private countAnswer(request: WholeRequest): void {
    const {counts, events} = this.parts;
    const nowMs = events.clock.readMs();
    request.isAnswered = true;
    addToBin(counts.answeredBins, request.firstSentMs);
    addToBin(counts.servedBins, nowMs);
    if (this.isTriggered(nowMs)) {
      addToCount(counts.servedInTrigger, request.kind.name);
    }
    this.countEnd(request);
  }

  private countEnd(request: WholeRequest): void {
    const {counts} = this.parts;
    counts.mostNodeRetries = Math.max(
      counts.mostNodeRetries,
      request.nodeRetries,
    );
    counts.mostStarts = Math.max(counts.mostStarts, request.starts);
    counts.earlyRefusals += request.earlyRefusals;
  }
}
