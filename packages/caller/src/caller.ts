/** Caller library: sends requests straight to the members of a service. */
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
import type {SendEnd} from './request/send.js';
import {sendOnce} from './request/send.js';
import {ResumeMemory} from './process/resumeMemory.js';
import type {
  CallRequest,
  CallResult,
  CallerOptions,
  ResumeToken,
} from './types.js';

const CONNECTIONS_PER_NODE = 200;
const CONNECT_TIMEOUT_MS = 1_000;
/** Resends that join a pinned execution; nothing new runs by them. */
const MAX_JOINS = 20;
const JOIN_DELAY_MS = 50;
/** Longest wait for a new list of members when those known have gone. */
const REFRESH_WAIT_MS = 1_000;
/** Share of the remaining time after which a pinned send is sent again. */
const JOIN_TIME_SHARE = 0.5;

/** What a caller is built from. */
export interface CallerParts {
  readonly clock: Clock;
  readonly random: Random;
}

const systemParts: CallerParts = {
  clock: {readMs: () => performance.now(), readDate: () => new Date()},
  random: Math.random,
};

/** Sends requests within one retry allowance and combines their outcomes. */
export class SycamoreyokeCaller {
  private readonly dispatcher: Dispatcher;
  private readonly router: Router;
  private readonly directory: Directory;
  private readonly memory = new ResumeMemory();

  constructor(
    private readonly options: CallerOptions,
    private readonly parts: CallerParts = systemParts,
  ) {
    this.dispatcher = new Agent({
      connections: CONNECTIONS_PER_NODE,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
    this.router = new TwoChoiceRouter({
      ...parts,
      dataCentre: options.dataCentre,
    });
    this.directory = new Directory(
      options,
      this.dispatcher,
      this.router,
      parts.clock,
      parts.random,
    );
  }

  /** Sends a request; resolves with its outcome and never rejects for it. */
  async send(request: CallRequest): Promise<CallResult> {
    const requestId = request.requestId ?? randomUUID();
    const entry = await this.directory.find(request.requestClass);
    const call = new CallRun(
      this.options,
      this.parts,
      this.dispatcher,
      this.router,
      entry,
      request,
      requestId,
      request.resume ?? this.memory.get(request.requestClass, requestId),
    );
    const result = await call.run(
      (token) => this.memory.set(request.requestClass, requestId, token),
      () => this.directory.refresh(request.requestClass),
    );
    if (result.reason === RefusalReason.WRONG_INCARNATION) {
      void this.directory.refresh(request.requestClass).catch(() => undefined);
    }
    return result;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.dispatcher.close();
  }
}

const NO_RESPONSE: SendEnd = {
  status: 0,
  headers: {},
  body: new Uint8Array(0),
};

/** The sends of one request. */
class CallRun {
  private readonly ledger: RetryLedger;
  private readonly deadline: number;
  private readonly sends: SentAttempt[] = [];
  private readonly tried = new Set<string>();
  private readonly idempotencyKey: string | undefined;
  private pinned: Member | undefined;
  private joins = 0;
  private last = NO_RESPONSE;

  constructor(
    private readonly options: CallerOptions,
    private readonly parts: CallerParts,
    private readonly dispatcher: Dispatcher,
    private readonly router: Router,
    private readonly entry: ClassEntry,
    private readonly request: CallRequest,
    private readonly requestId: string,
    private readonly resume: ResumeToken | undefined,
  ) {
    const timeoutMs = request.timeoutMs ?? entry.timeoutMs;
    this.deadline = parts.clock.readMs() + timeoutMs;
    this.ledger = new RetryLedger(entry.retries, reportByThrowing);
    const isClaimed = entry.guard === RepeatGuard.CLAIM;
    this.idempotencyKey = isClaimed
      ? (resume?.idempotencyKey ?? createUuid())
      : undefined;
    this.pinned = entry.guard === RepeatGuard.PIN ? resume?.pinned : undefined;
  }

  /**
   * `keep` takes the token before each send of a guarded request; `refresh`
   * reads the members again.
   */
  async run(
    keep: (token: ResumeToken) => void,
    refresh: () => Promise<unknown>,
  ): Promise<CallResult> {
    for (;;) {
      if (this.hasNoneLeft()) await this.waitForMembers(refresh);
      const member = this.chooseMember();
      if (!member) break;
      const token = this.buildToken();
      if (token) keep(token);
      this.last = await this.sendTo(member);
      const delayMs = this.decideDelay();
      if (delayMs === undefined) break;
      await wait(delayMs);
    }
    return this.buildResult();
  }

  /** Whether the known members refuse connections; the list may be old. */
  private hasNoneLeft(): boolean {
    if (this.pinned || this.tried.size === 0) return false;
    if (this.last.answer?.reason !== RefusalReason.CONNECTION_LOST)
      return false;
    return this.router.choose(this.entry.service, this.tried) === undefined;
  }

  private async waitForMembers(refresh: () => Promise<unknown>): Promise<void> {
    const remainingMs = this.deadline - this.parts.clock.readMs();
    const waitMs = Math.max(0, Math.min(remainingMs, REFRESH_WAIT_MS));
    const end = new AbortController();
    await Promise.race([
      refresh().catch(() => undefined),
      wait(waitMs, undefined, {signal: end.signal}).catch(() => undefined),
    ]);
    end.abort();
  }

  /** A pinned request stays with its node until no send of it can run. */
  private chooseMember(): Member | undefined {
    if (this.pinned) return this.pinned;
    const {service, guard} = this.entry;
    const chosen =
      this.router.choose(service, this.tried) ??
      this.router.choose(service, new Set());
    if (guard === RepeatGuard.PIN) this.pinned = chosen;
    return chosen;
  }

  private async sendTo(member: Member): Promise<SendEnd> {
    const {clock} = this.parts;
    const attempt = this.computeAttempt();
    const share = this.ledger.reserveAttempt();
    const startMs = clock.readMs();
    const remainingMs = this.deadline - startMs;
    this.tried.add(member.incarnation);
    this.router.start(member.incarnation);
    const end = await sendOnce(this.dispatcher, {
      options: this.options,
      request: this.request,
      requestId: this.requestId,
      member,
      attempt,
      timeoutMs: this.pinned ? remainingMs * JOIN_TIME_SHARE : remainingMs,
      share,
      ...this.buildGuard(),
    });
    const failed = end.answer?.outcome !== Outcome.DONE;
    this.router.finish(member.incarnation, clock.readMs() - startMs, failed);
    if (end.retries === undefined) this.ledger.recordLostResponse(share);
    else this.ledger.finishCall(share, end.retries);
    const {answer} = end;
    this.sends.push(answer ? {attempt, answer} : {attempt});
    return end;
  }

  private computeAttempt(): number {
    const {nextAttempt = 0} = this.resume ?? {};
    return Math.max(nextAttempt, computeNextAttempt(this.sends));
  }

  private buildToken(): ResumeToken | undefined {
    if (this.entry.guard === RepeatGuard.NONE) return undefined;
    return {...this.buildResume(), nextAttempt: this.computeAttempt() + 1};
  }

  private buildResume(): Omit<ResumeToken, 'nextAttempt'> {
    const {pinned, idempotencyKey} = this;
    return {
      ...(pinned === undefined ? {} : {pinned}),
      ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
    };
  }

  private buildGuard(): {pin?: Pin; idempotencyKey?: string} {
    const {pinned, idempotencyKey} = this;
    if (pinned) {
      const {incarnation, epoch} = pinned;
      return {pin: {incarnation, epoch}};
    }
    return idempotencyKey === undefined ? {} : {idempotencyKey};
  }

  /** Wait before the next send; undefined when there is none. */
  private decideDelay(): number | undefined {
    const outcome = this.last.answer?.outcome;
    if (outcome === Outcome.DONE) return undefined;
    if (outcome === undefined && this.entry.guard !== RepeatGuard.NONE) {
      return this.decideJoin();
    }
    const delayMs = this.decideRetryDelay();
    if (delayMs === undefined || !this.ledger.takeRetry()) return undefined;
    // Earlier calls of the same request may have left sends without an answer.
    const isFirstCall = this.resume === undefined;
    if (isFirstCall && isOtherNodeAllowed(this.sends, this.entry.idempotent)) {
      this.pinned = undefined;
    }
    return delayMs;
  }

  /** A send without an answer is repeated to learn what became of it. */
  private decideJoin(): number | undefined {
    const remainingMs = this.deadline - this.parts.clock.readMs();
    if (this.joins >= MAX_JOINS || remainingMs <= JOIN_DELAY_MS) {
      return undefined;
    }
    this.joins += 1;
    return JOIN_DELAY_MS;
  }

  private decideRetryDelay(): number | undefined {
    const {answer, retryAfterMs} = this.last;
    const decision = decideRetry(
      {
        outcome: mergeOutcomes(this.sends).outcome,
        isIdempotent: this.entry.idempotent,
        attempt: this.sends.length - 1,
        allowance: this.ledger.readFreeRetries(),
        nowMs: this.parts.clock.readMs(),
        deadline: this.deadline,
        serviceMs: 1,
        ...(answer?.reason === undefined ? {} : {reason: answer.reason}),
        ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
      },
      {baseMs: this.entry.backoffBaseMs, maxMs: this.entry.backoffMaxMs},
      this.parts.random,
    );
    return decision.isRetried ? decision.delayMs : undefined;
  }

  private buildResult(): CallResult {
    const merged =
      this.sends.length > 0
        ? mergeOutcomes(this.sends)
        : createRefusalAnswer(RefusalReason.NO_MEMBER);
    const {status, headers, body} = this.last;
    const resume = this.buildToken();
    return {
      ...(resume === undefined ? {} : {resume}),
      requestId: this.requestId,
      outcome: merged.outcome,
      ...(merged.reason === undefined ? {} : {reason: merged.reason}),
      status,
      headers,
      body,
      sends: this.sends.length,
      retries: this.ledger.close(),
    };
  }
}
