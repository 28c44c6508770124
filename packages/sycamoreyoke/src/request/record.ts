/** Records of non-idempotent requests, and the store of a node's records. */
import type {RequestIdentity} from '../types.js';
import {RefusalReason, formatIdentity} from '../types.js';
import type {SendAnswer} from './outcome.js';
import {createRefusalAnswer} from './outcome.js';
import type {CallResponse, Pin} from './types.js';

/**
 * Length of an epoch of a node. Records of the current and the previous epoch
 * are kept.
 */
export const EPOCH_MS = 60_000;
/** Memory accounted for a record besides its key and response. */
export const RECORD_OVERHEAD_BYTES = 512;
/** Memory reserved for the response of a running request. */
export const RESERVED_RESPONSE_BYTES = 16 * 1024;
/** Share of the memory that is reserved for records of refused requests. */
export const REFUSAL_MEMORY_SHARE = 0.1;

/** State of a record. */
export enum RecordState {
  /** Waiting for its claim or for the gate, or running on the upstream. */
  RUNNING = 'running',
  DONE = 'done',
  NOT_RUN = 'not-run',
  UNKNOWN = 'unknown',
}

export enum RecordDecisionKind {
  /** Proceed with the request. */
  RUN = 'run',
  /** Wait; the ticket is answered when the running send ends. */
  JOIN = 'join',
  /** Answer the send immediately. */
  ANSWER = 'answer',
}

/** Decision on a send. */
export type RecordDecision =
  | {readonly kind: RecordDecisionKind.RUN; readonly key: string}
  | {readonly kind: RecordDecisionKind.JOIN; readonly key: string}
  | {readonly kind: RecordDecisionKind.ANSWER; readonly answer: SendAnswer};

/** The answer of a finished record, and the tickets that wait for it. */
export interface Settlement {
  readonly tickets: readonly string[];
  readonly answer: SendAnswer;
}

/** A send of a pinned request. */
export interface PinnedSend {
  readonly identity: RequestIdentity;
  readonly pin: Pin;
  readonly attempt: number;
  /** Identifies the send within this node. */
  readonly ticket: string;
}

/** A send of a claimed request. */
export interface ClaimedSend {
  readonly identity: RequestIdentity;
  /** Nonce to use if this send makes a new claim. */
  readonly nonce: string;
  readonly attempt: number;
  readonly ticket: string;
}

export interface ExecutionRecord {
  readonly state: RecordState;
  readonly epoch: number;
  readonly isDispatched: boolean;
  /** Highest attempt number of the running send and those that joined it. */
  readonly highestAttempt: number;
  /** Highest attempt number answered NOT_RUN; -1 if none was. */
  readonly highestRefusedAttempt: number;
  readonly tickets: readonly string[];
  readonly bytes: number;
  readonly answer?: SendAnswer;
}

/** Formats the key of the record of a claimed request. */
export function formatClaimedKey(
  identity: RequestIdentity,
  nonce: string,
): string {
  return `${formatIdentity(identity)}#${nonce}`;
}

/** Computes the memory that a stored response takes, in bytes. */
export function computeResponseBytes(response: CallResponse): number {
  return Object.entries(response.headers).reduce(
    (sum, [name, value]) => sum + 2 * (name.length + value.length),
    response.body.length,
  );
}

/** Creates the decision to answer a send immediately. */
export function createAnswerDecision(answer: SendAnswer): RecordDecision {
  return {kind: RecordDecisionKind.ANSWER, answer};
}

/** Computes the memory that a record without a response takes, in bytes. */
export function computeBaseBytes(key: string): number {
  return RECORD_OVERHEAD_BYTES + 2 * key.length;
}

/** Returns true if the attempt may start a new execution. */
export function isStartAllowed(
  record: ExecutionRecord,
  attempt: number,
): boolean {
  return (
    record.state === RecordState.NOT_RUN &&
    attempt > record.highestRefusedAttempt
  );
}

/** Returns the answer stored in a finished record. */
export function readRecordedAnswer(record: ExecutionRecord): SendAnswer {
  return record.answer ?? createRefusalAnswer(RefusalReason.CLAIM_OWNER_GONE);
}

/** Stores records by key, indexed by epoch, and tracks their memory. */
export class RecordStore {
  private readonly records = new Map<string, ExecutionRecord>();
  private readonly keysByEpoch = new Map<number, Set<string>>();
  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  get(key: string): ExecutionRecord | undefined {
    return this.records.get(key);
  }

  set(key: string, record: ExecutionRecord): void {
    const previous = this.records.get(key);
    this.usedBytes += record.bytes - (previous?.bytes ?? 0);
    if (previous && previous.epoch !== record.epoch) {
      this.removeFromEpoch(key, previous.epoch);
    }
    this.records.set(key, record);
    const keys = this.keysByEpoch.get(record.epoch) ?? new Set();
    this.keysByEpoch.set(record.epoch, keys.add(key));
  }

  remove(key: string): void {
    const record = this.records.get(key);
    if (!record) return;
    this.usedBytes -= record.bytes;
    this.records.delete(key);
    this.removeFromEpoch(key, record.epoch);
  }

  /** Returns the keys of finished records of epochs before the given one. */
  collectExpiredKeys(firstKeptEpoch: number): string[] {
    return [...this.keysByEpoch]
      .filter(([epoch]) => epoch < firstKeptEpoch)
      .flatMap(([, keys]) => [...keys])
      .filter((key) => this.get(key)?.state !== RecordState.RUNNING);
  }

  /**
   * Returns true if the record of the key may grow to `bytes` without all
   * records together exceeding the given share of the memory limit.
   */
  hasRoom(key: string, bytes: number, memoryShare = 1): boolean {
    const addedBytes = bytes - (this.get(key)?.bytes ?? 0);
    return (
      addedBytes <= 0 ||
      this.usedBytes + addedBytes <= this.limitBytes * memoryShare
    );
  }

  readUsedBytes(): number {
    return this.usedBytes;
  }

  count(): number {
    return this.records.size;
  }

  private removeFromEpoch(key: string, epoch: number): void {
    const keys = this.keysByEpoch.get(epoch);
    keys?.delete(key);
    if (keys?.size === 0) this.keysByEpoch.delete(epoch);
  }
}
