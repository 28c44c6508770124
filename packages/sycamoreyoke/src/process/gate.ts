import type {Clock} from '../clock.js';
import {SycamoreyokeError} from '../errors.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import {Importance, RefusalReason} from '../types.js';
import type {QueueState} from './admissionEstimate.js';
import {AdmissionEstimate} from './admissionEstimate.js';
import type {ThrottleChangeHandler} from './downstreamThrottle.js';
import {DownstreamThrottle, GATE_THROTTLE} from './downstreamThrottle.js';
import type {AccountBacklog} from './fairness/fairQueue.js';
import {FairQueue} from './fairness/fairQueue.js';
import type {GateParameters} from './gateParameters.js';
import type {ConcurrencyLimiter} from './limiter.js';
import {ReturnSchedule} from './returnSchedule.js';
import {ServiceTimes} from './serviceTimes.js';
import type {AdmissionLevel, Arrival, Gate, GateAction} from './types.js';
import {Completion, GateActionKind} from './types.js';
import type {WaitBound} from './waitBound.js';
import type {WaitingRequest} from './waitQueue.js';

const IMPORTANCES = [
  Importance.LOW,
  Importance.NORMAL,
  Importance.HIGH,
  Importance.CRITICAL,
] as const;

/** Bounds of the retry delay that a refusal recommends to its client. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2_000;
/** Time over which refused clients return when no service time is known. */
const UNKNOWN_RETURN_MS = 1;

/**
 * Recommended retry delay for a throttled request kind. Overload downstream
 * lasts for seconds, so a client that retries at once is refused again and has
 * wasted a retry.
 */
const THROTTLED_RETRY_AFTER_MS = 1_000;

/** Dependencies and initial parameters of a gate. */
export interface GateParts {
  readonly clock: Clock;
  readonly limiter: ConcurrencyLimiter;
  readonly parameters: GateParameters;
  readonly report: InvariantReporter;
  readonly handleThrottleChange?: ThrottleChangeHandler;
}

type BacklogKey = Pick<Arrival, 'importance' | 'account'>;

interface RunningRequest {
  readonly arrival: Arrival;
  readonly startedMs: number;
}

/**
 * Admits requests up to an adaptive concurrency limit and queues the rest.
 * Queued requests start by descending importance. Within one importance,
 * capacity is shared between client accounts, and an account's requests start in
 * the order that the parameters define. A request that can no longer finish
 * before its deadline is refused without being run.
 */
export class AdaptiveGate implements Gate {
  private queues: readonly FairQueue[];
  private parameters: GateParameters;
  private readonly waiting = new Map<string, WaitingRequest>();
  private readonly running = new Map<string, RunningRequest>();
  private readonly serviceTimes = new ServiceTimes();
  private readonly estimate = new AdmissionEstimate();
  private readonly returns = new ReturnSchedule();
  /** Counted independently of the queues, for the invariant checks. */
  private readonly waitingByImportance = IMPORTANCES.map(() => 0);
  private throttle: DownstreamThrottle;
  private waitBound: WaitBound;
  private nextSequence = 0;

  constructor(private readonly parts: GateParts) {
    this.parameters = parts.parameters;
    this.queues = IMPORTANCES.map(() => new FairQueue(parts.parameters.order));
    this.throttle = this.createThrottle(parts.parameters);
    this.waitBound = parts.parameters.createWaitBound();
  }

  /** Replaces the parameters. Requests already in the queue stay there. */
  update(parameters: GateParameters): void {
    this.parameters = parameters;
    this.queues = IMPORTANCES.map(() => new FairQueue(parameters.order));
    for (const request of this.waiting.values()) {
      this.queues[request.arrival.importance]?.add(request);
    }
    this.throttle = this.createThrottle(parameters);
    this.waitBound = parameters.createWaitBound();
  }

  offer(arrival: Arrival): GateAction[] {
    const nowMs = this.parts.clock.readMs();
    this.checkTicketIsNew(arrival.ticket);
    this.queues[arrival.importance]?.recordOffer(arrival.account, nowMs);
    const needMs = this.computeNeedMs(arrival, nowMs);
    if (isTimeTooShort(arrival, needMs, nowMs)) {
      return [this.createRefusal(arrival, RefusalReason.DEADLINE)];
    }
    if (this.isWaitTooLong(arrival, needMs, nowMs)) {
      return [this.createRefusal(arrival, RefusalReason.OVERLOADED)];
    }
    if (!this.isAdmittedByThrottle(arrival, nowMs)) {
      const reason = RefusalReason.OVERLOADED;
      return [this.createRefusal(arrival, reason, THROTTLED_RETRY_AFTER_MS)];
    }
    this.estimate.observeSlack(arrival, arrival.deadline - nowMs - needMs);
    this.addWaiting(arrival, nowMs);
    const actions = this.startWaiting(nowMs);
    if (this.waiting.size > this.parameters.queueLimit) {
      actions.push(...this.shedLeastImportant());
    }
    return actions;
  }

  finish(ticket: string, completion: Completion, childMs = 0): GateAction[] {
    const nowMs = this.parts.clock.readMs();
    const request = this.running.get(ticket);
    if (!request) return [];
    this.observeCompletion(request, completion, childMs, nowMs);
    this.running.delete(ticket);
    return this.startWaiting(nowMs);
  }

  cancel(ticket: string): GateAction[] {
    const request = this.waiting.get(ticket);
    if (!request) return this.finish(ticket, Completion.CANCELLED);
    this.removeWaiting(request);
    return [this.createRefusal(request.arrival, RefusalReason.CANCELLED)];
  }

  tick(): GateAction[] {
    const nowMs = this.parts.clock.readMs();
    for (const queue of this.queues) queue.removeIdle(nowMs);
    const refusals = this.expireWaiting(nowMs);
    return [...refusals, ...this.startWaiting(nowMs)];
  }

  readLevel(): AdmissionLevel {
    return this.estimate.computeLevel(
      this.describeQueue(this.parts.clock.readMs()),
    );
  }

  countRunning(): number {
    return this.running.size;
  }

  countWaiting(): number {
    return this.waiting.size;
  }

  /** Counts the request kinds whose calls are refused downstream. */
  countThrottled(): number {
    return this.throttle.listThrottled(this.parts.clock.readMs()).length;
  }

  readLimit(): number {
    return this.parts.limiter.readLimit();
  }

  /** Describes the backlog at the importance of an offered request. */
  describeBacklog({importance, account}: BacklogKey): AccountBacklog {
    const empty = {accountWaiting: 0, waitingAccounts: 0};
    return this.queues[importance]?.describeBacklog(account) ?? empty;
  }

  private createThrottle(parameters: GateParameters): DownstreamThrottle {
    return new DownstreamThrottle(
      {...GATE_THROTTLE, headroom: parameters.downstreamHeadroom},
      this.parts.handleThrottleChange,
    );
  }

  private checkTicketIsNew(ticket: string): void {
    if (this.waiting.has(ticket) || this.running.has(ticket)) {
      throw new SycamoreyokeError(`ticket "${ticket}" was offered twice`);
    }
  }

  private startWaiting(nowMs: number): GateAction[] {
    const actions: GateAction[] = [];
    while (this.running.size < this.parts.limiter.readLimit()) {
      const request = this.readNext();
      if (!request) break;
      this.removeWaiting(request);
      actions.push(
        this.isTooLate(request, nowMs)
          ? this.expire(request.arrival, RefusalReason.DEADLINE, nowMs)
          : this.start(request.arrival, nowMs),
      );
    }
    this.waitBound.observe(this.waiting.size, nowMs);
    return actions;
  }

  private start(arrival: Arrival, nowMs: number): GateAction {
    this.checkStart(arrival);
    this.estimate.observeStart(arrival.importance, nowMs);
    const cost = this.serviceTimes.computeCost(getKind(arrival));
    this.queues[arrival.importance]?.recordStart(arrival.account, cost, nowMs);
    this.running.set(arrival.ticket, {arrival, startedMs: nowMs});
    return {kind: GateActionKind.START, ticket: arrival.ticket};
  }

  private readNext(): WaitingRequest | undefined {
    for (let index = this.queues.length - 1; index >= 0; index -= 1) {
      const request = this.queues[index]?.readFirst();
      if (request) return request;
    }
    return undefined;
  }

  private shedLeastImportant(): GateAction[] {
    for (const queue of this.queues) {
      const request = queue.readLast();
      if (!request) continue;
      this.removeWaiting(request);
      return [this.createRefusal(request.arrival, RefusalReason.OVERLOADED)];
    }
    return [];
  }

  /**
   * Removes expired requests from both ends of the order of each importance,
   * since it need not be by deadline.
   */
  private expireWaiting(nowMs: number): GateAction[] {
    const actions: GateAction[] = [];
    for (const queue of this.queues) {
      for (const readEnd of [
        () => queue.readEarliest(),
        () => queue.readLatest(),
      ]) {
        let request = readEnd();
        while (request) {
          const reason = this.chooseExpiryReason(request, nowMs);
          if (!reason) break;
          this.removeWaiting(request);
          actions.push(this.expire(request.arrival, reason, nowMs));
          request = readEnd();
        }
      }
    }
    return actions;
  }

  private expire(
    arrival: Arrival,
    reason: RefusalReason,
    nowMs: number,
  ): GateAction {
    this.estimate.observeExpiry(arrival.importance, nowMs);
    return this.createRefusal(arrival, reason);
  }

  private chooseExpiryReason(
    request: WaitingRequest,
    nowMs: number,
  ): RefusalReason | undefined {
    if (this.isTooLate(request, nowMs)) return RefusalReason.DEADLINE;
    const hasWaitBound = request.arrival.importance !== Importance.CRITICAL;
    const waitedMs = nowMs - request.arrivedMs;
    return hasWaitBound && waitedMs > this.waitBound.readMs(nowMs)
      ? RefusalReason.OVERLOADED
      : undefined;
  }

  private isTooLate({arrival}: WaitingRequest, nowMs: number): boolean {
    return isTimeTooShort(arrival, this.computeNeedMs(arrival, nowMs), nowMs);
  }

  private computeNeedMs(arrival: Arrival, nowMs: number): number {
    return this.serviceTimes.computeNeedMs(
      getKind(arrival),
      this.parameters.reservedDeviations,
      nowMs,
    );
  }

  private observeCompletion(
    {arrival, startedMs}: RunningRequest,
    completion: Completion,
    childMs: number,
    nowMs: number,
  ): void {
    const kind = getKind(arrival);
    this.parts.limiter.observe({
      startedMs,
      finishedMs: nowMs,
      childMs,
      kind,
      completion,
      running: this.running.size,
    });
    this.serviceTimes.observe(kind, nowMs - startedMs, completion, nowMs);
    const succeeded = completion === Completion.SUCCEEDED;
    // A timeout counts as well: the deadline may pass while a downstream call
    // is still queued.
    const isChildShed =
      completion === Completion.SHED_DOWNSTREAM ||
      completion === Completion.TIMED_OUT;
    if (succeeded || isChildShed) {
      this.throttle.observe({kind, succeeded, startedMs, nowMs});
    }
  }

  /**
   * Whether the expected queueing time, given the place of its account in the
   * order, exceeds the slack of the request. The caller occupies a slot while
   * the request waits, so queueing a request that will expire wastes capacity at
   * the caller.
   */
  private isWaitTooLong(
    {importance, deadline, account}: Arrival,
    needMs: number,
    nowMs: number,
  ): boolean {
    if (importance === Importance.CRITICAL) return false;
    const waitingByImportance = [...this.waitingByImportance];
    waitingByImportance[importance] =
      this.queues[importance]?.countAhead(account) ?? 0;
    const waitMs = this.estimate.computeWaitMs(importance, {
      ...this.describeQueue(nowMs),
      waitingByImportance,
    });
    return waitMs > deadline - nowMs - needMs;
  }

  private describeQueue(nowMs: number): QueueState {
    return {
      nowMs,
      waitingByImportance: this.waitingByImportance,
      queueLimit: this.parameters.queueLimit,
      maxWaitMs: this.waitBound.readMs(nowMs),
      drainMsPerRequest: this.computeDrainMsPerRequest(),
    };
  }

  /** Whether the throttle admits a request; CRITICAL ones always pass. */
  private isAdmittedByThrottle(arrival: Arrival, nowMs: number): boolean {
    return (
      arrival.importance === Importance.CRITICAL ||
      this.throttle.admit(getKind(arrival), nowMs)
    );
  }

  private addWaiting(arrival: Arrival, nowMs: number): void {
    const request: WaitingRequest = {
      arrival,
      arrivedMs: nowMs,
      sequence: this.nextSequence,
      isWaiting: true,
    };
    this.nextSequence += 1;
    this.waiting.set(arrival.ticket, request);
    this.queues[arrival.importance]?.add(request);
    this.changeWaitingCount(arrival.importance, 1);
  }

  private removeWaiting(request: WaitingRequest): void {
    const {ticket, importance} = request.arrival;
    this.waiting.delete(ticket);
    this.queues[importance]?.remove(request);
    this.changeWaitingCount(importance, -1);
  }

  private changeWaitingCount(importance: Importance, change: number): void {
    const count = this.waitingByImportance[importance] ?? 0;
    this.waitingByImportance[importance] = count + change;
  }

  private createRefusal(
    arrival: Arrival,
    reason: RefusalReason,
    firstMs = this.computeDrainMs(),
  ): GateAction {
    this.checkRefusal(arrival, reason);
    return {
      kind: GateActionKind.REFUSE,
      ticket: arrival.ticket,
      reason,
      retryAfterMs: this.computeRetryAfterMs(arrival, firstMs),
    };
  }

  /** Returns the delay after which there is room for the client. */
  private computeRetryAfterMs({importance}: Arrival, firstMs: number): number {
    const period = {
      firstMs: Math.max(firstMs, MIN_RETRY_AFTER_MS),
      maxMs: MAX_RETRY_AFTER_MS,
      msPerReturn: this.computeDrainMsPerRequest() || UNKNOWN_RETURN_MS,
    };
    const nowMs = this.parts.clock.readMs();
    return Math.round(this.returns.reserve(importance, period, nowMs));
  }

  /** Time until the current queue has drained. */
  private computeDrainMs(): number {
    return this.waiting.size * this.computeDrainMsPerRequest();
  }

  private computeDrainMsPerRequest(): number {
    return this.serviceTimes.readOverallMs() / this.parts.limiter.readLimit();
  }

  private checkRefusal(arrival: Arrival, reason: RefusalReason): void {
    const isOverload = reason === RefusalReason.OVERLOADED;
    if (!isOverload || arrival.importance !== Importance.CRITICAL) return;
    const lessImportantCount = this.waitingByImportance
      .slice(0, Importance.CRITICAL)
      .reduce((sum, count) => sum + count, 0);
    if (lessImportantCount === 0) return;
    this.parts.report(
      Invariant.CRITICAL_SHED_LAST,
      `critical ticket "${arrival.ticket}" refused while ${lessImportantCount} less important tickets wait`,
    );
  }

  private checkStart(arrival: Arrival): void {
    const critical = this.waitingByImportance[Importance.CRITICAL] ?? 0;
    if (arrival.importance === Importance.CRITICAL || critical === 0) return;
    this.parts.report(
      Invariant.CRITICAL_SHED_LAST,
      `ticket "${arrival.ticket}" started while ${critical} critical tickets wait`,
    );
  }
}

function isTimeTooShort(
  arrival: Arrival,
  needMs: number,
  nowMs: number,
): boolean {
  const remainingMs = arrival.deadline - nowMs;
  return remainingMs <= 0 || remainingMs < needMs;
}

function getKind(arrival: Arrival): string {
  return arrival.requestClass ?? String(arrival.importance);
}
