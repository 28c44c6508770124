/** Runs guarded requests at most once and answers their resends. */
import {randomUUID} from 'node:crypto';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {ClaimProcedure, HeldClaim} from 'sycamoreyoke/request/claim';
import {ClaimDecisionKind} from 'sycamoreyoke/request/claim';
import type {SendAnswer} from 'sycamoreyoke/request/outcome';
import {SendPhase, createRefusalAnswer} from 'sycamoreyoke/request/outcome';
import type {RecordTable} from 'sycamoreyoke/request/recordTable';
import type {Settlement} from 'sycamoreyoke/request/record';
import {RecordDecisionKind} from 'sycamoreyoke/request/record';
import type {Pin} from 'sycamoreyoke/request/types';
import type {RequestIdentity} from 'sycamoreyoke/types';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';

/** How an execution on the upstream ended. */
export interface ExecutionEnd {
  readonly answer: SendAnswer;
  /**
   * NOT_RUN is certain although the dispatch was allowed: the upstream said
   * so, or no byte was written.
   */
  readonly isProvenNotRun: boolean;
}

/**
 * Runs a request. `mayDispatch` must be asked right before the first byte is
 * written to the upstream; when it says no, nothing may be written.
 */
export type Execution = (mayDispatch: () => boolean) => Promise<ExecutionEnd>;

/** A send of a guarded request. */
export interface GuardedSend {
  readonly identity: RequestIdentity;
  readonly attempt: number;
  readonly deadline: number;
}

/** Owns the records of guarded requests and the sends that wait for them. */
export class ExecutorTask {
  private readonly waiting = new Map<string, (answer: SendAnswer) => void>();

  constructor(
    private readonly records: RecordTable,
    private readonly claims: ClaimProcedure,
    private readonly record: EventRecorder,
  ) {}

  /** Runs a pinned request, or answers a resend of it. */
  async runPinned(
    send: GuardedSend,
    pin: Pin,
    execute: Execution,
  ): Promise<SendAnswer> {
    const ticket = randomUUID();
    const decision = this.records.offerPinned({...send, pin, ticket});
    switch (decision.kind) {
      case RecordDecisionKind.ANSWER:
        this.recordReplay(send, decision.answer);
        return decision.answer;
      case RecordDecisionKind.JOIN:
        return this.join(send, ticket);
      case RecordDecisionKind.RUN:
        return this.execute(decision.key, ticket, execute, (end) =>
          this.finish(decision.key, end),
        );
    }
  }

  /** Claims and runs a request, or answers a resend of it. */
  async runClaimed(send: GuardedSend, execute: Execution): Promise<SendAnswer> {
    const ticket = randomUUID();
    const requestId = send.identity.requestId;
    const answer = this.wait(ticket);
    const decision = await this.claims.offer({
      ...send,
      ticket,
      deadlineMs: send.deadline,
    });
    switch (decision.kind) {
      case ClaimDecisionKind.ANSWER:
        this.recordClaimAnswer(send, decision.answer);
        this.resolve(decision);
        return answer;
      case ClaimDecisionKind.JOIN:
        this.recordJoin(send);
        return answer;
      case ClaimDecisionKind.RUN:
        this.record(EventCode.CLAIM_MADE, {}, requestId);
        return this.execute(decision.claim.key, ticket, execute, (end) =>
          this.finishClaim(decision.claim, end),
        );
    }
  }

  /** Answers another node that found a claim of this one. */
  async ask(identity: RequestIdentity, nonce: string): Promise<SendAnswer> {
    const ticket = randomUUID();
    const decision = this.records.answerOwnerQuery(identity, nonce, ticket);
    return decision.kind === RecordDecisionKind.ANSWER
      ? decision.answer
      : this.wait(ticket);
  }

  /** Resends that wait for an execution. */
  countWaiting(): number {
    return this.waiting.size;
  }

  private join(send: GuardedSend, ticket: string): Promise<SendAnswer> {
    this.recordJoin(send);
    return this.wait(ticket);
  }

  private wait(ticket: string): Promise<SendAnswer> {
    const known = this.waiting.get(ticket);
    if (known) throw new Error(`ticket ${ticket} is waited for twice`);
    return new Promise((resolve) => this.waiting.set(ticket, resolve));
  }

  private async execute(
    key: string,
    ticket: string,
    execute: Execution,
    settle: (end: ExecutionEnd) => Settlement,
  ): Promise<SendAnswer> {
    const end = await this.runExecution(key, execute);
    const settlement = settle(end);
    this.waiting.delete(ticket);
    this.resolve(settlement);
    return settlement.answer;
  }

  /** An unforeseen error must not leave the record running for ever. */
  private async runExecution(
    key: string,
    execute: Execution,
  ): Promise<ExecutionEnd> {
    try {
      return await execute(() => this.records.start(key));
    } catch {
      const answer = createRefusalAnswer(
        RefusalReason.CONNECTION_LOST,
        SendPhase.AFTER_DISPATCH,
      );
      return {answer, isProvenNotRun: false};
    }
  }

  private finish(key: string, end: ExecutionEnd): Settlement {
    const {answer, isProvenNotRun} = end;
    if (answer.response) return this.records.finish(key, answer.response);
    const reason = answer.reason ?? RefusalReason.CONNECTION_LOST;
    return answer.outcome === Outcome.NOT_RUN
      ? this.records.refuse(key, reason, isProvenNotRun)
      : this.records.markUnknown(key, reason);
  }

  private finishClaim(claim: HeldClaim, end: ExecutionEnd): Settlement {
    const {answer, isProvenNotRun} = end;
    if (answer.outcome !== Outcome.NOT_RUN) return this.finish(claim.key, end);
    const reason = answer.reason ?? RefusalReason.OVERLOADED;
    const refused = this.claims.refuse(claim, reason, isProvenNotRun);
    void refused.released.then((isReleased) => {
      if (!isReleased) return;
      const {requestId} = claim.identity;
      this.record(EventCode.CLAIM_RELEASED, {}, requestId);
    });
    return refused.settlement;
  }

  private resolve(settlement: Settlement): void {
    for (const ticket of settlement.tickets) {
      this.waiting.get(ticket)?.(settlement.answer);
      this.waiting.delete(ticket);
    }
  }

  private recordJoin({attempt, identity}: GuardedSend): void {
    this.record(EventCode.REQUEST_JOINED, {attempt}, identity.requestId);
  }

  private recordClaimAnswer(send: GuardedSend, answer: SendAnswer): void {
    if (answer.response) {
      this.recordReplay(send, answer);
      return;
    }
    const {reason = '', outcome} = answer;
    const details = {reason, outcome};
    this.record(EventCode.CLAIM_REFUSED, details, send.identity.requestId);
  }

  private recordReplay(send: GuardedSend, answer: SendAnswer): void {
    const details = {attempt: send.attempt, outcome: answer.outcome};
    this.record(EventCode.REQUEST_REPLAYED, details, send.identity.requestId);
  }
}
