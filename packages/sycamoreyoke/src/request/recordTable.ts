/**
 * Table of the non-idempotent requests of a node. The key of a pinned request
 * is its identity; the key of a claimed request also contains the nonce of its
 * claim.
 */
import type {Clock} from '../clock.js';
import type {InvariantReporter} from '../invariants.js';
import {Invariant} from '../invariants.js';
import type {RequestIdentity} from '../types.js';
import {Outcome, RefusalReason, formatIdentity} from '../types.js';
import type {SendAnswer} from './outcome.js';
import {SendPhase, createRefusalAnswer} from './outcome.js';
import type {
  ClaimedSend,
  ExecutionRecord,
  PinnedSend,
  RecordDecision,
  Settlement,
} from './record.js';
import {
  EPOCH_MS,
  REFUSAL_MEMORY_SHARE,
  RESERVED_RESPONSE_BYTES,
  RecordDecisionKind,
  RecordState,
  RecordStore,
  computeBaseBytes,
  computeResponseBytes,
  createAnswerDecision,
  formatClaimedKey,
  isStartAllowed,
  readRecordedAnswer,
} from './record.js';
import type {CallResponse} from './types.js';

/** Dependencies and limits of a RecordTable. */
export interface RecordTableOptions {
  readonly clock: Clock;
  readonly incarnation: string;
  readonly limitBytes: number;
  readonly report: InvariantReporter;
}

interface Send {
  readonly attempt: number;
  readonly ticket: string;
}

/** Records of the non-idempotent requests of one node process. */
export class RecordTable {
  private readonly store: RecordStore;
  /** Key of the latest record by claimed identity. */
  private readonly latestKeyByIdentity = new Map<string, string>();
  private readonly startedMs: number;
  private currentEpoch = 0;
  /** A pin of an earlier epoch cannot start a request that has no record. */
  private lowestEpochForNewRecords = 0;

  constructor(private readonly options: RecordTableOptions) {
    this.startedMs = options.clock.readMs();
    this.store = new RecordStore(options.limitBytes);
  }

  /** Returns the current epoch; pins issued now carry it. */
  readEpoch(): number {
    this.tick();
    return this.currentEpoch;
  }

  /** Returns the memory accounted for all records, in bytes. */
  readUsedBytes(): number {
    return this.store.readUsedBytes();
  }

  countRecords(): number {
    return this.store.count();
  }

  /** Decides on a send of a pinned request. */
  offerPinned(send: PinnedSend): RecordDecision {
    const {pin, identity, attempt} = send;
    const epoch = this.readEpoch();
    if (pin.incarnation !== this.options.incarnation) {
      return createAnswerDecision(
        createRefusalAnswer(RefusalReason.WRONG_INCARNATION),
      );
    }
    if (pin.epoch < epoch - 1 || pin.epoch > epoch) {
      return createAnswerDecision(
        createRefusalAnswer(RefusalReason.EXPIRED_PIN),
      );
    }
    const key = formatIdentity(identity);
    const record = this.store.get(key);
    if (!record && pin.epoch < this.lowestEpochForNewRecords) {
      return createAnswerDecision(createMemoryRefusal(attempt));
    }
    if (record && record.epoch < pin.epoch) {
      this.store.set(key, {...record, epoch: pin.epoch});
    }
    return (
      this.offer(key, pin.epoch, send) ??
      this.refusePinnedWithoutMemory(key, pin.epoch, send)
    );
  }

  /**
   * Decides on a send of a claimed request. RUN means that the request must
   * first be claimed with the nonce of the send.
   */
  offerClaimed(send: ClaimedSend): RecordDecision {
    const epoch = this.readEpoch();
    const identity = formatIdentity(send.identity);
    const latestKey = this.latestKeyByIdentity.get(identity);
    const latest = latestKey && this.store.get(latestKey);
    if (latestKey && latest && !isStartAllowed(latest, send.attempt)) {
      return this.join(latestKey, latest, send);
    }
    const key = formatClaimedKey(send.identity, send.nonce);
    const decision = this.offer(key, epoch, send);
    if (!decision)
      return createAnswerDecision(createMemoryRefusal(send.attempt));
    this.latestKeyByIdentity.set(identity, key);
    return decision;
  }

  /** Answers another node that found a claim of this node in the table. */
  answerOwnerQuery(
    identity: RequestIdentity,
    nonce: string,
    ticket: string,
  ): RecordDecision {
    this.tick();
    const key = formatClaimedKey(identity, nonce);
    const record = this.store.get(key);
    if (!record) {
      return createAnswerDecision(
        createRefusalAnswer(RefusalReason.CLAIM_OWNER_GONE),
      );
    }
    if (record.state !== RecordState.RUNNING) {
      return createAnswerDecision(readRecordedAnswer(record));
    }
    this.store.set(key, {...record, tickets: [...record.tickets, ticket]});
    return {kind: RecordDecisionKind.JOIN, key};
  }

  /**
   * Marks a request as dispatched. Nothing may be written to the upstream
   * unless this returns true.
   */
  start(key: string): boolean {
    const record = this.store.get(key);
    if (!record || record.state !== RecordState.RUNNING) return false;
    if (record.isDispatched) {
      this.options.report(
        Invariant.RUNS_AT_MOST_ONCE,
        `${key} was about to be dispatched again`,
      );
      return false;
    }
    this.store.set(key, {...record, isDispatched: true});
    return true;
  }

  /** Stores the complete response of a request that ran. */
  finish(key: string, response: CallResponse): Settlement {
    const answer: SendAnswer = {outcome: Outcome.DONE, response};
    const bytes = computeBaseBytes(key) + computeResponseBytes(response);
    if (this.store.hasRoom(key, bytes)) {
      return this.finishRecord(key, RecordState.DONE, answer, bytes);
    }
    // Waiting sends still get the response, but it cannot be stored for later
    // ones.
    const {tickets} = this.markUnknown(key, RefusalReason.RECORDS_FULL);
    return {tickets, answer};
  }

  /** Marks the outcome of a request as unknown. */
  markUnknown(key: string, reason: RefusalReason): Settlement {
    const answer = createRefusalAnswer(reason, SendPhase.AFTER_DISPATCH);
    return this.finishRecord(key, RecordState.UNKNOWN, answer);
  }

  /**
   * Marks a request as not run, for its own attempt and all that joined it. A
   * dispatched request may be refused only if the upstream itself reported that
   * it did not run.
   */
  refuse(
    key: string,
    reason: RefusalReason,
    isRefusedByUpstream = false,
  ): Settlement {
    const record = this.store.get(key);
    if (record?.isDispatched && !isRefusedByUpstream) {
      this.options.report(
        Invariant.NOT_RUN_IS_TRUE,
        `${key} was about to be answered not-run after its dispatch`,
      );
      return this.markUnknown(key, reason);
    }
    const answer: SendAnswer = {
      outcome: Outcome.NOT_RUN,
      reason,
      ...(record ? {nextAttempt: record.highestAttempt + 1} : {}),
    };
    return this.finishRecord(key, RecordState.NOT_RUN, answer);
  }

  /** Removes the record of a claim whose row cannot appear in the table. */
  close(key: string, answer: SendAnswer): Settlement {
    const tickets = this.store.get(key)?.tickets ?? [];
    this.remove(key);
    return {tickets, answer};
  }

  /** Stops waiting for a send. Its attempt number still counts. */
  cancel(key: string, ticket: string): void {
    const record = this.store.get(key);
    if (!record) return;
    const tickets = record.tickets.filter(
      (waitingTicket) => waitingTicket !== ticket,
    );
    this.store.set(key, {...record, tickets});
  }

  /** Returns the highest attempt number answered NOT_RUN, or -1. */
  readHighestRefusedAttempt(key: string): number {
    return this.store.get(key)?.highestRefusedAttempt ?? -1;
  }

  /**
   * Updates the current epoch and removes finished records that are older than
   * the previous epoch.
   */
  tick(): void {
    const elapsedMs = this.options.clock.readMs() - this.startedMs;
    const epoch = Math.floor(elapsedMs / EPOCH_MS);
    if (epoch === this.currentEpoch) return;
    this.currentEpoch = epoch;
    for (const key of this.store.collectExpiredKeys(epoch - 1))
      this.remove(key);
  }

  /** Returns undefined if there is no memory for another running request. */
  private offer(
    key: string,
    epoch: number,
    send: Send,
  ): RecordDecision | undefined {
    const record = this.store.get(key);
    if (record && !isStartAllowed(record, send.attempt)) {
      return this.join(key, record, send);
    }
    const bytes = computeBaseBytes(key) + RESERVED_RESPONSE_BYTES;
    if (!this.store.hasRoom(key, bytes, 1 - REFUSAL_MEMORY_SHARE))
      return undefined;
    this.store.set(key, {
      state: RecordState.RUNNING,
      epoch: Math.max(epoch, record?.epoch ?? 0),
      isDispatched: false,
      highestAttempt: send.attempt,
      highestRefusedAttempt: record?.highestRefusedAttempt ?? -1,
      tickets: [send.ticket],
      bytes,
    });
    return {kind: RecordDecisionKind.RUN, key};
  }

  /**
   * Answers a send from an existing record, or makes it wait for the running
   * send.
   */
  private join(
    key: string,
    record: ExecutionRecord,
    send: Send,
  ): RecordDecision {
    if (send.attempt <= record.highestRefusedAttempt) {
      return createAnswerDecision(
        createRefusalAnswer(
          RefusalReason.SUPERSEDED,
          SendPhase.BEFORE_DISPATCH,
          record.highestRefusedAttempt + 1,
        ),
      );
    }
    if (record.state !== RecordState.RUNNING) {
      return createAnswerDecision(readRecordedAnswer(record));
    }
    this.store.set(key, {
      ...record,
      highestAttempt: Math.max(record.highestAttempt, send.attempt),
      tickets: [...record.tickets, send.ticket],
    });
    return {kind: RecordDecisionKind.JOIN, key};
  }

  /**
   * Refuses a request for lack of memory and records the refusal. If there is
   * no memory even for that, all requests without a record that are pinned to
   * the epochs so far are refused from now on. This keeps a delayed copy of
   * this request from running once memory is available again.
   */
  private refusePinnedWithoutMemory(
    key: string,
    epoch: number,
    {attempt}: Send,
  ): RecordDecision {
    const answer = createMemoryRefusal(attempt);
    const bytes = computeBaseBytes(key);
    if (this.store.hasRoom(key, bytes)) {
      this.store.set(key, {
        state: RecordState.NOT_RUN,
        epoch: Math.max(epoch, this.store.get(key)?.epoch ?? 0),
        isDispatched: false,
        highestAttempt: attempt,
        highestRefusedAttempt: attempt,
        tickets: [],
        bytes,
        answer,
      });
    } else {
      this.lowestEpochForNewRecords = this.currentEpoch + 1;
    }
    return createAnswerDecision(answer);
  }

  private finishRecord(
    key: string,
    state: RecordState,
    answer: SendAnswer,
    bytes = computeBaseBytes(key),
  ): Settlement {
    const currentEpoch = this.readEpoch();
    const record = this.store.get(key);
    if (record?.state !== RecordState.RUNNING) return {tickets: [], answer};
    const isRefused = state === RecordState.NOT_RUN;
    // No pin limits how long a claimed request may be resent, so its record is
    // kept from the time it finished.
    const epoch = key.includes('#') ? currentEpoch : record.epoch;
    this.store.set(key, {
      ...record,
      state,
      epoch,
      answer,
      bytes,
      tickets: [],
      highestRefusedAttempt: isRefused
        ? record.highestAttempt
        : record.highestRefusedAttempt,
    });
    if (epoch < currentEpoch - 1) this.remove(key);
    return {tickets: record.tickets, answer};
  }

  private remove(key: string): void {
    this.store.remove(key);
    const identity = key.split('#')[0] ?? key;
    if (this.latestKeyByIdentity.get(identity) === key) {
      this.latestKeyByIdentity.delete(identity);
    }
  }
}

function createMemoryRefusal(attempt: number): SendAnswer {
  return createRefusalAnswer(
    RefusalReason.RECORDS_FULL,
    SendPhase.BEFORE_DISPATCH,
    attempt + 1,
  );
}
