/** Runs guarded requests at most once and answers resends from records. */
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

/** The result of an execution on the upstream. */
export interface ExecutionResult {
  readonly answer: SendAnswer;
  /**
   * True when the request certainly did not run although its dispatch started:
   * the upstream reported it, or no byte was written.
   */
  readonly isProvenNotRun: boolean;
}

/**
 * Runs a request. It must call `startDispatch` right before it writes the first
 * byte to the upstream; when that returns false, it must not write anything.
 */
export type ExecuteRequest = (
  startDispatch: () => boolean,
) => Promise<ExecutionResult>;

/** One attempt of a guarded request, as sent by the caller. */
export interface GuardedSend {
  readonly identity: RequestIdentity;
  readonly attempt: number;
  readonly deadline: number;
}

/**
 * Executes guarded requests and holds the resends that wait for the answer of
 * an execution.
 */
export class ExecutorTask {
  private readonly pendingAnswers = new Map<
    string,
    (answer: SendAnswer) => void
  >();

  constructor(
    private readonly records: RecordTable,
    private readonly claimProcedure: ClaimProcedure,
    private readonly record: EventRecorder,
  ) {}

  /** Runs a pinned request, or answers its resend from the record. */
  async runPinned(
    send: GuardedSend,
    pin: Pin,
    execute: ExecuteRequest,
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

  /** Claims and runs a request, or answers its resend from the record. */
  async runClaimed(
    send: GuardedSend,
    execute: ExecuteRequest,
  ): Promise<SendAnswer> {
    const ticket = randomUUID();
    const requestId = send.identity.requestId;
    const answer = this.wait(ticket);
    const decision = await this.claimProcedure.offer({
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

  /** Answers another node that found a claim owned by this one. */
  async askOutcome(
    identity: RequestIdentity,
    nonce: string,
  ): Promise<SendAnswer> {
    const ticket = randomUUID();
    const decision = this.records.answerOwnerQuery(identity, nonce, ticket);
    return decision.kind === RecordDecisionKind.ANSWER
      ? decision.answer
      : this.wait(ticket);
  }

  /** Number of sends that wait for the answer of an execution. */
  countWaiting(): number {
    return this.pendingAnswers.size;
  }

  private join(send: GuardedSend, ticket: string): Promise<SendAnswer> {
    this.recordJoin(send);
    return this.wait(ticket);
  }

  private wait(ticket: string): Promise<SendAnswer> {
    const pending = this.pendingAnswers.get(ticket);
    if (pending) throw new Error(`ticket ${ticket} is already waiting`);
    return new Promise((resolve) => this.pendingAnswers.set(ticket, resolve));
  }

  private async execute(
    key: string,
    ticket: string,
    execute: ExecuteRequest,
    settle: (result: ExecutionResult) => Settlement,
  ): Promise<SendAnswer> {
    const result = await this.runExecution(key, execute);
    const settlement = settle(result);
    this.pendingAnswers.delete(ticket);
    this.resolve(settlement);
    return settlement.answer;
  }

  /** Turns an unexpected error into a result, so that the record is settled. */
  private async runExecution(
    key: string,
    execute: ExecuteRequest,
  ): Promise<ExecutionResult> {
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

  private finish(key: string, result: ExecutionResult): Settlement {
    const {answer, isProvenNotRun} = result;
    if (answer.response) return this.records.finish(key, answer.response);
    const reason = answer.reason ?? RefusalReason.CONNECTION_LOST;
    return answer.outcome === Outcome.NOT_RUN
      ? this.records.refuse(key, reason, isProvenNotRun)
      : this.records.markUnknown(key, reason);
  }

  private finishClaim(claim: HeldClaim, result: ExecutionResult): Settlement {
    const {answer, isProvenNotRun} = result;
    if (answer.outcome !== Outcome.NOT_RUN) {
      return this.finish(claim.key, result);
    }
    const reason = answer.reason ?? RefusalReason.OVERLOADED;
    const claimRefusal = this.claimProcedure.refuse(
      claim,
      reason,
      isProvenNotRun,
    );
    void claimRefusal.released.then((isReleased) => {
      if (!isReleased) return;
      const {requestId} = claim.identity;
      this.record(EventCode.CLAIM_RELEASED, {}, requestId);
    });
    return claimRefusal.settlement;
  }

  private resolve(settlement: Settlement): void {
    for (const ticket of settlement.tickets) {
      this.pendingAnswers.get(ticket)?.(settlement.answer);
      this.pendingAnswers.delete(ticket);
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
