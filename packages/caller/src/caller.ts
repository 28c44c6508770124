/** Client library that sends requests directly to the members of a service. */
import {randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import type {Clock} from 'sycamoreyoke/clock';
import {reportByThrowing} from 'sycamoreyoke/invariants';
import {TwoChoiceRouter} from 'sycamoreyoke/process/router';
import type {Member, Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import type {SentAttempt} from 'sycamoreyoke/request/outcome';
import {
  computeNextAttempt,
  createRefusalAnswer,
  isOtherNodeAllowed,
  mergeOutcomes,
} from 'sycamoreyoke/request/outcome';
import {decideRetry} from 'sycamoreyoke/request/retry';
import type {Pin} from 'sycamoreyoke/request/types';
import {Outcome, RefusalReason, RepeatGuard} from 'sycamoreyoke/types';
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';
import {v7 as createUuid} from 'uuid';
import type {ClassEntry} from './process/directory.js';
import {Directory} from './process/directory.js';
import type {SendResult} from './request/send.js';
import {sendOnce} from './request/send.js';
import {ResumeTokenCache} from './process/resumeTokenCache.js';
import type {
  CallRequest,
  CallResult,
  CallerOptions,
  ResumeToken,
} from './types.js';

const CONNECTIONS_PER_NODE = 200;
const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Maximum resends of a guarded request after lost responses. A resend joins the
 * execution that is already running and never starts a new one.
 */
const MAX_JOINS = 20;
const JOIN_DELAY_MS = 50;
/** Maximum wait for a new member list when no known member is reachable. */
const MAX_REFRESH_WAIT_MS = 1_000;
/**
 * Timeout of a pinned send, as a fraction of the remaining time. The rest is
 * left for resends.
 */
const PINNED_TIMEOUT_FRACTION = 0.5;

/** Time and randomness used by a caller; tests may replace them. */
export interface CallerDependencies {
  readonly clock: Clock;
  readonly random: Random;
}

const systemDependencies: CallerDependencies = {
  clock: {readMs: () => performance.now(), readDate: () => new Date()},
  random: Math.random,
};

/**
 * Sends requests to the nodes of a service. All sends of a request share one
 * retry allowance, and their outcomes are merged into one result.
 */
export class SycamoreyokeCaller {
  private readonly dispatcher: Dispatcher;
  private readonly router: Router;
  private readonly directory: Directory;
  private readonly resumeTokens = new ResumeTokenCache();

  constructor(
    private readonly options: CallerOptions,
    private readonly dependencies: CallerDependencies = systemDependencies,
  ) {
    this.dispatcher = new Agent({
      connections: CONNECTIONS_PER_NODE,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
    this.router = new TwoChoiceRouter({
      ...dependencies,
      dataCentre: options.dataCentre,
    });
    this.directory = new Directory(
      options,
      this.dispatcher,
      this.router,
      dependencies.clock,
      dependencies.random,
    );
  }

  /**
   * Sends a request and resolves with its outcome, also when it was refused or
   * failed. Rejects with a `SycamoreyokeError` when the directory entry of the
   * request class cannot be read.
   */
  async send(request: CallRequest): Promise<CallResult> {
    const requestId = request.requestId ?? randomUUID();
    const classEntry = await this.directory.find(request.requestClass);
    const callRun = new CallRun(
      this.options,
      this.dependencies,
      this.dispatcher,
      this.router,
      classEntry,
      request,
      requestId,
      request.resume ?? this.resumeTokens.get(request.requestClass, requestId),
    );
    const result = await callRun.run(
      (token) => this.resumeTokens.set(request.requestClass, requestId, token),
      () => this.directory.refresh(request.requestClass),
    );
    if (result.reason === RefusalReason.WRONG_INCARNATION) {
      void this.directory.refresh(request.requestClass).catch(() => undefined);
    }
    return result;
  }

  /** Waits for running requests, then closes all connections. */
  async close(): Promise<void> {
    await this.dispatcher.close();
  }
}

const NO_RESPONSE: SendResult = {
  status: 0,
  headers: {},
  body: new Uint8Array(0),
};

/** Sends one request, including its retries. */
class CallRun {
  private readonly ledger: RetryLedger;
  private readonly deadlineMs: number;
  private readonly sentAttempts: SentAttempt[] = [];
  private readonly triedIncarnations = new Set<string>();
  private readonly idempotencyKey: string | undefined;
  private pinnedMember: Member | undefined;
  private joinCount = 0;
  private lastResult = NO_RESPONSE;

  constructor(
    private readonly options: CallerOptions,
    private readonly dependencies: CallerDependencies,
    private readonly dispatcher: Dispatcher,
    private readonly router: Router,
    private readonly classEntry: ClassEntry,
    private readonly request: CallRequest,
    private readonly requestId: string,
    private readonly resume: ResumeToken | undefined,
  ) {
    const timeoutMs = request.timeoutMs ?? classEntry.timeoutMs;
    this.deadlineMs = dependencies.clock.readMs() + timeoutMs;
    this.ledger = new RetryLedger(classEntry.retries, reportByThrowing);
    const isClaimGuarded = classEntry.guard === RepeatGuard.CLAIM;
    this.idempotencyKey = isClaimGuarded
      ? (resume?.idempotencyKey ?? createUuid())
      : undefined;
    this.pinnedMember =
      classEntry.guard === RepeatGuard.PIN ? resume?.pinned : undefined;
  }

  /**
   * Runs the request. `storeToken` receives the resume token before each send
   * of a guarded request; `refresh` reads the member list again.
   */
  async run(
    storeToken: (token: ResumeToken) => void,
    refresh: () => Promise<unknown>,
  ): Promise<CallResult> {
    for (;;) {
      if (this.hasNoReachableMember()) await this.waitForMembers(refresh);
      const member = this.chooseMember();
      if (!member) break;
      const token = this.buildToken();
      if (token) storeToken(token);
      this.lastResult = await this.sendTo(member);
      const delayMs = this.decideDelayMs();
      if (delayMs === undefined) break;
      await wait(delayMs);
    }
    return this.buildResult();
  }

  /**
   * True when no known member accepts a connection, which suggests that the
   * member list is outdated.
   */
  private hasNoReachableMember(): boolean {
    if (this.pinnedMember || this.triedIncarnations.size === 0) return false;
    if (this.lastResult.answer?.reason !== RefusalReason.CONNECTION_LOST)
      return false;
    return (
      this.router.choose(this.classEntry.service, this.triedIncarnations) ===
      undefined
    );
  }

  /** Refreshes the member list, within the deadline; ignores failures. */
  private async waitForMembers(refresh: () => Promise<unknown>): Promise<void> {
    const remainingMs = this.deadlineMs - this.dependencies.clock.readMs();
    const waitMs = Math.max(0, Math.min(remainingMs, MAX_REFRESH_WAIT_MS));
    const timer = new AbortController();
    await Promise.race([
      refresh().catch(() => undefined),
      wait(waitMs, undefined, {signal: timer.signal}).catch(() => undefined),
    ]);
    timer.abort();
  }

  /**
   * Chooses the member for the next send. A pinned request stays with its node
   * until it is certain that no earlier send can still run there.
   */
  private chooseMember(): Member | undefined {
    if (this.pinnedMember) return this.pinnedMember;
    const {service, guard} = this.classEntry;
    const member =
      this.router.choose(service, this.triedIncarnations) ??
      this.router.choose(service, new Set());
    if (guard === RepeatGuard.PIN) this.pinnedMember = member;
    return member;
  }

  private async sendTo(member: Member): Promise<SendResult> {
    const {clock} = this.dependencies;
    const attempt = this.computeAttempt();
    const reservation = this.ledger.reserveAttempt();
    const startMs = clock.readMs();
    const remainingMs = this.deadlineMs - startMs;
    this.triedIncarnations.add(member.incarnation);
    this.router.start(member.incarnation);
    const result = await sendOnce(this.dispatcher, {
      options: this.options,
      request: this.request,
      requestId: this.requestId,
      member,
      attempt,
      timeoutMs: this.pinnedMember
        ? remainingMs * PINNED_TIMEOUT_FRACTION
        : remainingMs,
      reservation,
      ...this.buildGuardFields(),
    });
    const hasFailed = result.answer?.outcome !== Outcome.DONE;
    this.router.finish(member.incarnation, clock.readMs() - startMs, hasFailed);
    if (result.retries === undefined)
      this.ledger.recordLostResponse(reservation);
    else this.ledger.finishCall(reservation, result.retries);
    const {answer} = result;
    this.sentAttempts.push(answer ? {attempt, answer} : {attempt});
    return result;
  }

  private computeAttempt(): number {
    const {nextAttempt = 0} = this.resume ?? {};
    return Math.max(nextAttempt, computeNextAttempt(this.sentAttempts));
  }

  /** Returns undefined for an unguarded class. */
  private buildToken(): ResumeToken | undefined {
    if (this.classEntry.guard === RepeatGuard.NONE) return undefined;
    return {
      ...this.buildResumeFields(),
      nextAttempt: this.computeAttempt() + 1,
    };
  }

  private buildResumeFields(): Omit<ResumeToken, 'nextAttempt'> {
    const {pinnedMember, idempotencyKey} = this;
    return {
      ...(pinnedMember === undefined ? {} : {pinned: pinnedMember}),
      ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
    };
  }

  private buildGuardFields(): {pin?: Pin; idempotencyKey?: string} {
    const {pinnedMember, idempotencyKey} = this;
    if (pinnedMember) {
      const {incarnation, epoch} = pinnedMember;
      return {pin: {incarnation, epoch}};
    }
    return idempotencyKey === undefined ? {} : {idempotencyKey};
  }

  /** Returns the delay before the next send, or undefined to stop sending. */
  private decideDelayMs(): number | undefined {
    const outcome = this.lastResult.answer?.outcome;
    if (outcome === Outcome.DONE) return undefined;
    if (outcome === undefined && this.classEntry.guard !== RepeatGuard.NONE) {
      return this.decideJoinDelayMs();
    }
    const delayMs = this.decideRetryDelayMs();
    if (delayMs === undefined || !this.ledger.takeRetry()) return undefined;
    // A resumed request may have unanswered sends from earlier calls, which
    // `sentAttempts` doesn't contain: it stays pinned.
    const isFirstCall = this.resume === undefined;
    if (
      isFirstCall &&
      isOtherNodeAllowed(this.sentAttempts, this.classEntry.idempotent)
    ) {
      this.pinnedMember = undefined;
    }
    return delayMs;
  }

  /**
   * Returns the delay before an unanswered send is repeated to learn its
   * outcome, or undefined when the time or the resends are used up.
   */
  private decideJoinDelayMs(): number | undefined {
    const remainingMs = this.deadlineMs - this.dependencies.clock.readMs();
    if (this.joinCount >= MAX_JOINS || remainingMs <= JOIN_DELAY_MS) {
      return undefined;
    }
    this.joinCount += 1;
    return JOIN_DELAY_MS;
  }

  private decideRetryDelayMs(): number | undefined {
    const {answer, retryAfterMs} = this.lastResult;
    const decision = decideRetry(
      {
        outcome: mergeOutcomes(this.sentAttempts).outcome,
        isIdempotent: this.classEntry.idempotent,
        attempt: this.sentAttempts.length - 1,
        allowance: this.ledger.readFreeRetries(),
        nowMs: this.dependencies.clock.readMs(),
        deadline: this.deadlineMs,
        serviceMs: 1,
        ...(answer?.reason === undefined ? {} : {reason: answer.reason}),
        ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
      },
      {
        baseMs: this.classEntry.backoffBaseMs,
        maxMs: this.classEntry.backoffMaxMs,
      },
      this.dependencies.random,
    );
    return decision.isRetried ? decision.delayMs : undefined;
  }

  private buildResult(): CallResult {
    const mergedAnswer =
      this.sentAttempts.length > 0
        ? mergeOutcomes(this.sentAttempts)
        : createRefusalAnswer(RefusalReason.NO_MEMBER);
    const {status, headers, body} = this.lastResult;
    const resume = this.buildToken();
    return {
      ...(resume === undefined ? {} : {resume}),
      requestId: this.requestId,
      outcome: mergedAnswer.outcome,
      ...(mergedAnswer.reason === undefined
        ? {}
        : {reason: mergedAnswer.reason}),
      status,
      headers,
      body,
      sends: this.sentAttempts.length,
      retries: this.ledger.close(),
    };
  }
}
