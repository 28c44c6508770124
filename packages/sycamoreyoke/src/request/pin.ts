/**
 * Table of the non-idempotent requests of a node. A pinned request is keyed by
 * its identity, a claimed one by its identity and the nonce of its claim.
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
  REFUSAL_SHARE,
  RESERVED_RESPONSE_BYTES,
  RecordDecisionKind,
  RecordState,
  RecordStore,
  computeBaseBytes,
  computeResponseBytes,
  createAnswer,
  formatClaimedKey,
  isOpenTo,
  readAnswer,
} from './record.js';
import type {CallResponse} from './types.js';

/** What a table of records is built with. */
export interface RecordTableParts {
  readonly clock: Clock;
  readonly incarnation: string;
  readonly limitBytes: number;
  readonly report: InvariantReporter;
}

interface Send {
  readonly attempt: number;
  readonly ticket: string;
}

/** The records of one node process. */
export class RecordTable {
  private readonly store: RecordStore;
  /** Key of the latest record of each claimed identity. */
  private readonly latestClaims = new Map<string, string>();
  private readonly startedMs: number;
  private latestEpoch = 0;
  /** Pins below this epoch start no request that has no record. */
  private lowestNewEpoch = 0;

  constructor(private readonly parts: RecordTableParts) {
    this.startedMs = parts.clock.readMs();
    this.store = new RecordStore(parts.limitBytes);
  }

  /** Epoch that pins given out now carry. */
  readEpoch(): number {
    this.tick();
    return this.latestEpoch;
  }

  /** Bytes that the records are counted with. */
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
    if (pin.incarnation !== this.parts.incarnation) {
      return createAnswer(createRefusalAnswer(RefusalReason.WRONG_INCARNATION));
    }
    if (pin.epoch < epoch - 1 || pin.epoch > epoch) {
      return createAnswer(createRefusalAnswer(RefusalReason.EXPIRED_PIN));
    }
    const key = formatIdentity(identity);
    const record = this.store.get(key);
    if (!record && pin.epoch < this.lowestNewEpoch) {
      return createAnswer(createMemoryRefusal(attempt));
    }
    if (record && record.epoch < pin.epoch) {
      this.store.set(key, {...record, epoch: pin.epoch});
    }
    return (
      this.offer(key, pin.epoch, send) ??
      this.refusePinnedForMemory(key, pin.epoch, send)
    );
  }

  /**
   * Decides on a send of a claimed request. RUN means that a claim with the
   * nonce of the send has to be made.
   */
  offerClaimed(send: ClaimedSend): RecordDecision {
    const epoch = this.readEpoch();
    const identity = formatIdentity(send.identity);
    const latestKey = this.latestClaims.get(identity);
    const latest = latestKey && this.store.get(latestKey);
    if (latestKey && latest && !isOpenTo(latest, send.attempt)) {
      return this.join(latestKey, latest, send);
    }
    const key = formatClaimedKey(send.identity, send.nonce);
    const decision = this.offer(key, epoch, send);
    if (!decision) return createAnswer(createMemoryRefusal(send.attempt));
    this.latestClaims.set(identity, key);
    return decision;
  }

  /** Answers another node that found a claim of this node in the table. */
  ask(
    identity: RequestIdentity,
    nonce: string,
    ticket: string,
  ): RecordDecision {
    this.tick();
    const key = formatClaimedKey(identity, nonce);
    const record = this.store.get(key);
    if (!record) {
      return createAnswer(createRefusalAnswer(RefusalReason.CLAIM_OWNER_GONE));
    }
    if (record.state !== RecordState.RUNNING) {
      return createAnswer(readAnswer(record));
    }
    this.store.set(key, {...record, tickets: [...record.tickets, ticket]});
    return {kind: RecordDecisionKind.JOIN, key};
  }

  /** Must be true before the first byte is written to the upstream. */
  start(key: string): boolean {
    const record = this.store.get(key);
    if (!record || record.state !== RecordState.RUNNING) return false;
    if (record.isDispatched) {
      this.parts.report(
        Invariant.RUNS_AT_MOST_ONCE,
        `${key} was about to be dispatched again`,
      );
      return false;
    }
    this.store.set(key, {...record, isDispatched: true});
    return true;
  }

  /** Keeps the complete response of a request that ran. */
  finish(key: string, response: CallResponse): Settlement {
    const answer: SendAnswer = {outcome: Outcome.DONE, response};
    const bytes = computeBaseBytes(key) + computeResponseBytes(response);
    if (this.store.hasRoom(key, bytes)) {
      return this.finishRecord(key, RecordState.DONE, answer, bytes);
    }
    // The sends that wait get the response; later ones cannot be told it.
    const {tickets} = this.markUnknown(key, RefusalReason.RECORDS_FULL);
    return {tickets, answer};
  }

  /** Marks a request whose execution has an unknown outcome. */
  markUnknown(key: string, reason: RefusalReason): Settlement {
    const answer = createRefusalAnswer(reason, SendPhase.AFTER_DISPATCH);
    return this.finishRecord(key, RecordState.UNKNOWN, answer);
  }

  /**
   * Marks a request as not run, for its own attempt and all joined ones. A
   * dispatched request may be refused only on the word of the upstream.
   */
  refuse(
    key: string,
    reason: RefusalReason,
    isRefusedByUpstream = false,
  ): Settlement {
    const record = this.store.get(key);
    if (record?.isDispatched && !isRefusedByUpstream) {
      this.parts.report(
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

  /** Drops the record of a claim that cannot come to stand in the table. */
  close(key: string, answer: SendAnswer): Settlement {
    const tickets = this.store.get(key)?.tickets ?? [];
    this.remove(key);
    return {tickets, answer};
  }

  /** Stops waiting for a send; its attempt number stays counted. */
  cancel(key: string, ticket: string): void {
    const record = this.store.get(key);
    if (!record) return;
    const tickets = record.tickets.filter((waiting) => waiting !== ticket);
    this.store.set(key, {...record, tickets});
  }

  /** Highest attempt that was answered NOT_RUN; -1 for none. */
  readHighestRefused(key: string): number {
    return this.store.get(key)?.highestRefused ?? -1;
  }

  /** Advances the epoch and drops the records of epochs before the last two. */
  tick(): void {
    const elapsedMs = this.parts.clock.readMs() - this.startedMs;
    const epoch = Math.floor(elapsedMs / EPOCH_MS);
    if (epoch === this.latestEpoch) return;
    this.latestEpoch = epoch;
    for (const key of this.store.collectExpired(epoch - 1)) this.remove(key);
  }

  /** Undefined when the memory has no room for another running request. */
  private offer(
    key: string,
    epoch: number,
    send: Send,
  ): RecordDecision | undefined {
    const record = this.store.get(key);
    if (record && !isOpenTo(record, send.attempt)) {
      return this.join(key, record, send);
    }
    const bytes = computeBaseBytes(key) + RESERVED_RESPONSE_BYTES;
    if (!this.store.hasRoom(key, bytes, 1 - REFUSAL_SHARE)) return undefined;
    this.store.set(key, {
      state: RecordState.RUNNING,
      epoch: Math.max(epoch, record?.epoch ?? 0),
      isDispatched: false,
      highestAttempt: send.attempt,
      highestRefused: record?.highestRefused ?? -1,
      tickets: [send.ticket],
      bytes,
    });
    return {kind: RecordDecisionKind.RUN, key};
  }

  /** Answers a send from a record that lets no new execution start. */
  private join(
    key: string,
    record: ExecutionRecord,
    send: Send,
  ): RecordDecision {
    if (send.attempt <= record.highestRefused) {
      return createAnswer(
        createRefusalAnswer(
          RefusalReason.SUPERSEDED,
          SendPhase.BEFORE_DISPATCH,
          record.highestRefused + 1,
        ),
      );
    }
    if (record.state !== RecordState.RUNNING) {
      return createAnswer(readAnswer(record));
    }
    this.store.set(key, {
      ...record,
      highestAttempt: Math.max(record.highestAttempt, send.attempt),
      tickets: [...record.tickets, send.ticket],
    });
    return {kind: RecordDecisionKind.JOIN, key};
  }

  /**
   * Records a refusal for lack of memory. One that cannot even be recorded
   * closes the epochs so far to all requests without a record, so that a late
   * copy of it does not run once there is room again.
   */
  private refusePinnedForMemory(
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
        highestRefused: attempt,
        tickets: [],
        bytes,
        answer,
      });
    } else {
      this.lowestNewEpoch = this.latestEpoch + 1;
    }
    return createAnswer(answer);
  }

  private finishRecord(
    key: string,
    state: RecordState,
    answer: SendAnswer,
    bytes = computeBaseBytes(key),
  ): Settlement {
    const latestEpoch = this.readEpoch();
    const record = this.store.get(key);
    if (record?.state !== RecordState.RUNNING) return {tickets: [], answer};
    const isRefused = state === RecordState.NOT_RUN;
    // A claimed record counts from its end, since no pin limits its use.
    const epoch = key.includes('#') ? latestEpoch : record.epoch;
    this.store.set(key, {
      ...record,
      state,
      epoch,
      answer,
      bytes,
      tickets: [],
      highestRefused: isRefused ? record.highestAttempt : record.highestRefused,
    });
    if (epoch < latestEpoch - 1) this.remove(key);
    return {tickets: record.tickets, answer};
  }

  private remove(key: string): void {
    this.store.remove(key);
    const identity = key.split('#')[0] ?? key;
    if (this.latestClaims.get(identity) === key) {
      this.latestClaims.delete(identity);
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
