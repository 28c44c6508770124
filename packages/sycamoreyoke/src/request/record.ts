/** One record of a non-idempotent request, and the store of a node's records. */
import type {RequestIdentity} from '../types.js';
import {RefusalReason, formatIdentity} from '../types.js';
import type {SendAnswer} from './outcome.js';
import {createRefusalAnswer} from './outcome.js';
import type {CallResponse, Pin} from './types.js';

/** An epoch of a node; records of the two latest epochs are kept. */
export const EPOCH_MS = 60_000;
/** Memory for a record beside its key and response. */
export const RECORD_BYTES = 512;
/** Memory set aside for the response of a running request. */
export const RESERVED_RESPONSE_BYTES = 16 * 1024;
/** Share of the memory that only records of refused requests may use. */
export const REFUSAL_SHARE = 0.1;

/** State of a record. */
export enum RecordState {
  /** Admitted: waits for its claim or the gate, or is on the upstream. */
  RUNNING = 'running',
  DONE = 'done',
  NOT_RUN = 'not-run',
  UNKNOWN = 'unknown',
}

export enum RecordDecisionKind {
  /** The caller of the table proceeds with the request. */
  RUN = 'run',
  /** The ticket gets its answer when the running send ends. */
  JOIN = 'join',
  ANSWER = 'answer',
}

/** What happens to a send. */
export type RecordDecision =
  | {readonly kind: RecordDecisionKind.RUN; readonly key: string}
  | {readonly kind: RecordDecisionKind.JOIN; readonly key: string}
  | {readonly kind: RecordDecisionKind.ANSWER; readonly answer: SendAnswer};

/** The answer of a record that has ended, and the sends that wait for it. */
export interface Settlement {
  readonly tickets: readonly string[];
  readonly answer: SendAnswer;
}

/** A send of a pinned request. */
export interface PinnedSend {
  readonly identity: RequestIdentity;
  readonly pin: Pin;
  readonly attempt: number;
  /** Unique for each send at this node. */
  readonly ticket: string;
}

/** A send of a claimed request, with the nonce for a claim of its own. */
export interface ClaimedSend {
  readonly identity: RequestIdentity;
  readonly nonce: string;
  readonly attempt: number;
  readonly ticket: string;
}

export interface ExecutionRecord {
  readonly state: RecordState;
  readonly epoch: number;
  readonly isDispatched: boolean;
  /** Highest attempt among the sends that run or have joined. */
  readonly highestAttempt: number;
  /** Highest attempt answered NOT_RUN; -1 for none. */
  readonly highestRefused: number;
  readonly tickets: readonly string[];
  readonly bytes: number;
  readonly answer?: SendAnswer;
}

/** Key of the record of a claimed request. */
export function formatClaimedKey(
  identity: RequestIdentity,
  nonce: string,
): string {
  return `${formatIdentity(identity)}#${nonce}`;
}

/** Memory of a response that a record keeps. */
export function computeResponseBytes(response: CallResponse): number {
  return Object.entries(response.headers).reduce(
    (sum, [name, value]) => sum + 2 * (name.length + value.length),
    response.body.length,
  );
}

/** Creates the decision to answer at once. */
export function createAnswer(answer: SendAnswer): RecordDecision {
  return {kind: RecordDecisionKind.ANSWER, answer};
}

/** Memory of a record without a response. */
export function computeBaseBytes(key: string): number {
  return RECORD_BYTES + 2 * key.length;
}

/** True when the record lets an attempt start an execution. */
export function isOpenTo(record: ExecutionRecord, attempt: number): boolean {
  return (
    record.state === RecordState.NOT_RUN && attempt > record.highestRefused
  );
}

/** The answer that an ended record keeps. */
export function readAnswer(record: ExecutionRecord): SendAnswer {
  return record.answer ?? createRefusalAnswer(RefusalReason.CLAIM_OWNER_GONE);
}

/** Records by key, with their memory and the epochs that they belong to. */
export class RecordStore {
  private readonly records = new Map<string, ExecutionRecord>();
  private readonly keysByEpoch = new Map<number, Set<string>>();
  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  get(key: string): ExecutionRecord | undefined {
    return this.records.get(key);
  }

  set(key: string, record: ExecutionRecord): void {
    const before = this.records.get(key);
    this.usedBytes += record.bytes - (before?.bytes ?? 0);
    if (before && before.epoch !== record.epoch) {
      this.removeFromEpoch(key, before.epoch);
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

  /** Keys of ended records whose epoch lies before the given one. */
  collectExpired(firstKeptEpoch: number): string[] {
    return [...this.keysByEpoch]
      .filter(([epoch]) => epoch < firstKeptEpoch)
      .flatMap(([, keys]) => [...keys])
      .filter((key) => this.get(key)?.state !== RecordState.RUNNING);
  }

  /** True when the record of the key may grow to these bytes. */
  hasRoom(key: string, bytes: number, share = 1): boolean {
    const added = bytes - (this.get(key)?.bytes ?? 0);
    return added <= 0 || this.usedBytes + added <= this.limitBytes * share;
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
