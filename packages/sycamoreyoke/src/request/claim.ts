/** Claims a request in the platform's table before it may run. */
import {z} from 'zod';
import type {Clock} from '../clock.js';
import type {TableRow, TableService} from '../platform.js';
import type {ClaimWrite, ClaimWriteResult} from '../process/claimCombiner.js';
import {ClaimWriteState} from '../process/claimCombiner.js';
import type {RequestIdentity} from '../types.js';
import {Outcome, RefusalReason, formatIdentity} from '../types.js';
import type {SendAnswer} from './outcome.js';
import {SendPhase, createRefusalAnswer} from './outcome.js';
import type {RecordTable} from './pin.js';
import type {RecordDecision, Settlement} from './record.js';
import {RecordDecisionKind} from './record.js';

/** The table keeps a claim for this long after its latest write. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Keys are refused this long before their claim may be purged. */
export const KEY_SAFETY_MS = 5 * 60 * 1_000;
/**
 * A key may lie this far in the future. It counts against the clock skew that
 * KEY_SAFETY_MS covers: the clocks of two nodes may differ by the rest.
 */
export const MAX_FUTURE_KEY_MS = 60 * 1_000;
/** Writes of one claim without an answer before it is given up. */
export const MAX_UNANSWERED_WRITES = 2;
/** Writes of one claim in all; each conflict leads to another. */
export const MAX_CLAIM_WRITES = 8;

export enum ClaimState {
  HELD = 'held',
  RELEASED = 'released',
}

/** The node process that holds a claim. */
export interface ClaimOwner {
  readonly incarnation: string;
  readonly address: string;
  readonly controlPort: number;
}

/** A row of the table. */
export interface ClaimRow {
  readonly nonce: string;
  readonly owner: ClaimOwner;
  /** Highest attempt that the owner had seen when it wrote the row. */
  readonly attempt: number;
  readonly state: ClaimState;
}

const rowSchema = z.object({
  nonce: z.string(),
  owner: z.object({
    incarnation: z.string(),
    address: z.string(),
    controlPort: z.int(),
  }),
  attempt: z.int(),
  state: z.enum(ClaimState),
});

/** Key of the row; the identity holds the idempotency key as request ID. */
export function formatClaimKey(identity: RequestIdentity): string {
  return `claim/${formatIdentity(identity)}`;
}

/** Reads the value of a row; undefined when this version cannot read it. */
export function parseClaimRow(value: string): ClaimRow | undefined {
  try {
    return rowSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** Milliseconds since 1970 in a UUID of version 7. */
export function readKeyTime(key: string): number {
  return Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16);
}

/** True when a claim of the key may be purged soon, or its time is implausible. */
export function isKeyExpired(key: string, now: Date): boolean {
  const ageMs = now.getTime() - readKeyTime(key);
  const isPlausible = ageMs >= -MAX_FUTURE_KEY_MS;
  return !(isPlausible && ageMs < CLAIM_RETENTION_MS - KEY_SAFETY_MS);
}

/** Writes one row, through a combiner. */
export type ClaimSubmitter = (write: ClaimWrite) => Promise<ClaimWriteResult>;

/**
 * Asks the holder of a claim for the outcome. Undefined when it is gone, was
 * started again or does not answer. NOT_RUN carries the next attempt.
 */
export type OwnerAsker = (
  owner: ClaimOwner,
  identity: RequestIdentity,
  nonce: string,
) => Promise<SendAnswer | undefined>;

/** What claims are made with. */
export interface ClaimParts {
  readonly clock: Clock;
  readonly owner: ClaimOwner;
  readonly records: RecordTable;
  readonly submit: ClaimSubmitter;
  readonly read: TableService['read'];
  readonly askOwner: OwnerAsker;
  /** Unique for each claim of all nodes. */
  readonly createNonce: () => string;
}

/** A send of a claimed request. */
export interface ClaimSend {
  readonly identity: RequestIdentity;
  readonly attempt: number;
  readonly ticket: string;
  /** On the clock of the node. */
  readonly deadlineMs: number;
}

/** A claim that this node holds. */
export interface HeldClaim {
  readonly identity: RequestIdentity;
  readonly nonce: string;
  /** Key of its record. */
  readonly key: string;
}

export enum ClaimDecisionKind {
  /** Offer it to the gate; `records.start` must allow the dispatch. */
  RUN = 'run',
  JOIN = 'join',
  /** The answer of the send and of those that have joined it. */
  ANSWER = 'answer',
}

export type ClaimDecision =
  | {readonly kind: ClaimDecisionKind.RUN; readonly claim: HeldClaim}
  | {readonly kind: ClaimDecisionKind.JOIN; readonly key: string}
  | ({readonly kind: ClaimDecisionKind.ANSWER} & Settlement);

/** How an attempt to claim ended. */
interface ClaimEnd {
  /** Absent when the claim is held. */
  readonly answer?: SendAnswer;
  /** The row may stand in the table, or come to stand there later. */
  readonly mayStand: boolean;
}

/** Claims requests for one node and releases them. */
export class ClaimProcedure {
  constructor(private readonly parts: ClaimParts) {}

  /** Decides on a send, after at most MAX_CLAIM_WRITES writes. */
  async offer(send: ClaimSend): Promise<ClaimDecision> {
    const {identity, attempt, ticket} = send;
    const {clock, records} = this.parts;
    if (isKeyExpired(identity.requestId, clock.readDate())) {
      const answer = createRefusalAnswer(RefusalReason.EXPIRED_KEY);
      return createClaimAnswer({tickets: [ticket], answer});
    }
    const nonce = this.parts.createNonce();
    const decision = records.offerClaimed({identity, nonce, attempt, ticket});
    if (decision.kind !== RecordDecisionKind.RUN) {
      return buildDecision(decision, ticket);
    }
    const claim: HeldClaim = {identity, nonce, key: decision.key};
    const end = await this.write(send, claim);
    if (!end.answer) return {kind: ClaimDecisionKind.RUN, claim};
    return createClaimAnswer(this.finish(claim, end.answer, end.mayStand));
  }

  /**
   * Refuses a held claim that was not dispatched. The answer is final at once;
   * the promise tells whether the row was marked as released. Until then
   * another node learns of the refusal by asking this one.
   */
  refuse(
    claim: HeldClaim,
    reason: RefusalReason,
    isRefusedByUpstream = false,
  ): {readonly settlement: Settlement; readonly released: Promise<boolean>} {
    const {records} = this.parts;
    const settlement = records.refuse(claim.key, reason, isRefusedByUpstream);
    const isRefused = settlement.answer.outcome === Outcome.NOT_RUN;
    const released = isRefused ? this.release(claim) : Promise.resolve(false);
    return {settlement, released};
  }

  /** Writes until the claim is held or known not to be obtainable. */
  private async write(send: ClaimSend, claim: HeldClaim): Promise<ClaimEnd> {
    let expectedVersion = 0;
    let unanswered = 0;
    for (let count = 0; count < MAX_CLAIM_WRITES; count += 1) {
      const refusal = this.checkTime(send);
      if (refusal) return {answer: refusal, mayStand: unanswered > 0};
      const row = this.buildRow(claim, send.attempt, ClaimState.HELD);
      const result = await this.submit(
        createWrite(claim.identity, expectedVersion, row),
      );
      switch (result.state) {
        case ClaimWriteState.COMMITTED:
          return this.checkHeld(claim);
        case ClaimWriteState.NOT_SUBMITTED:
          return createUnavailable(unanswered > 0);
        case ClaimWriteState.UNKNOWN:
          // The same write again: if the first took effect, the row that is in
          // the way has the own nonce.
          unanswered += 1;
          if (unanswered >= MAX_UNANSWERED_WRITES) {
            return createUnavailable(true);
          }
          break;
        case ClaimWriteState.CONFLICT: {
          const holder = parseClaimRow(result.row.value);
          if (holder?.nonce === claim.nonce) return this.checkHeld(claim);
          // An earlier write of this claim that had no answer cannot take
          // effect any more: its condition on the row no longer holds.
          unanswered = 0;
          const refusal = await this.checkHolder(send, result.row, holder);
          if (refusal) return {answer: refusal, mayStand: false};
          expectedVersion = result.row.version;
        }
      }
    }
    return createUnavailable(unanswered > 0);
  }

  /** The answer when the row in the way must stay; undefined to take it over. */
  private async checkHolder(
    send: ClaimSend,
    row: TableRow,
    holder: ClaimRow | undefined,
  ): Promise<SendAnswer | undefined> {
    // A row that was there and is gone was purged, so its key has expired.
    if (row.version === 0) {
      return createRefusalAnswer(RefusalReason.EXPIRED_KEY);
    }
    if (!holder) return createRefusalAnswer(RefusalReason.CLAIM_HELD);
    if (holder.state === ClaimState.RELEASED) {
      return checkAttempt(send.attempt, holder.attempt + 1);
    }
    const answer = await this.ask(holder, send.identity);
    if (!answer) return createRefusalAnswer(RefusalReason.CLAIM_OWNER_GONE);
    if (answer.outcome !== Outcome.NOT_RUN) return answer;
    if (answer.nextAttempt === undefined) {
      return createRefusalAnswer(RefusalReason.CLAIM_HELD);
    }
    return checkAttempt(send.attempt, answer.nextAttempt);
  }

  /** A combiner that does not answer leaves open whether it wrote. */
  private async submit(write: ClaimWrite): Promise<ClaimWriteResult> {
    try {
      return await this.parts.submit(write);
    } catch {
      return {state: ClaimWriteState.UNKNOWN};
    }
  }

  private async ask(
    holder: ClaimRow,
    identity: RequestIdentity,
  ): Promise<SendAnswer | undefined> {
    try {
      return await this.parts.askOwner(holder.owner, identity, holder.nonce);
    } catch {
      return undefined;
    }
  }

  private checkTime(send: ClaimSend): SendAnswer | undefined {
    const {clock} = this.parts;
    if (isKeyExpired(send.identity.requestId, clock.readDate())) {
      return createRefusalAnswer(RefusalReason.EXPIRED_KEY);
    }
    return clock.readMs() >= send.deadlineMs
      ? createRefusalAnswer(RefusalReason.DEADLINE)
      : undefined;
  }

  /**
   * Checks the age of the key once more: a process that was paused may have
   * inserted its row after an earlier one had been purged.
   */
  private checkHeld(claim: HeldClaim): ClaimEnd {
    const now = this.parts.clock.readDate();
    return isKeyExpired(claim.identity.requestId, now)
      ? {
          answer: createRefusalAnswer(RefusalReason.EXPIRED_KEY),
          mayStand: true,
        }
      : {mayStand: true};
  }

  /**
   * Ends a claim that was not obtained. Where its row may stand, the record is
   * kept, so that whoever finds the row can ask and take it over.
   */
  private finish(
    claim: HeldClaim,
    answer: SendAnswer,
    mayStand: boolean,
  ): Settlement {
    const {records} = this.parts;
    const reason = answer.reason ?? RefusalReason.CLAIM_UNAVAILABLE;
    if (!mayStand) return records.close(claim.key, answer);
    return answer.outcome === Outcome.NOT_RUN
      ? records.refuse(claim.key, reason)
      : records.markUnknown(claim.key, reason);
  }

  private async release(claim: HeldClaim): Promise<boolean> {
    const attempt = this.parts.records.readHighestRefused(claim.key);
    const row = this.buildRow(claim, attempt, ClaimState.RELEASED);
    try {
      const held = await this.parts.read(formatClaimKey(claim.identity));
      if (!held || parseClaimRow(held.value)?.nonce !== claim.nonce) {
        return false;
      }
      const result = await this.submit(
        createWrite(claim.identity, held.version, row),
      );
      return result.state === ClaimWriteState.COMMITTED;
    } catch {
      return false;
    }
  }

  private buildRow(
    claim: HeldClaim,
    attempt: number,
    state: ClaimState,
  ): ClaimRow {
    return {nonce: claim.nonce, owner: this.parts.owner, attempt, state};
  }
}

function createWrite(
  identity: RequestIdentity,
  expectedVersion: number,
  row: ClaimRow,
): ClaimWrite {
  return {
    key: formatClaimKey(identity),
    expectedVersion,
    value: JSON.stringify(row),
    retentionMs: CLAIM_RETENTION_MS,
  };
}

function checkAttempt(
  attempt: number,
  nextAttempt: number,
): SendAnswer | undefined {
  if (attempt >= nextAttempt) return undefined;
  return createRefusalAnswer(
    RefusalReason.SUPERSEDED,
    SendPhase.BEFORE_DISPATCH,
    nextAttempt,
  );
}

function createUnavailable(mayStand: boolean): ClaimEnd {
  const answer = createRefusalAnswer(RefusalReason.CLAIM_UNAVAILABLE);
  return {answer, mayStand};
}

function createClaimAnswer(settlement: Settlement): ClaimDecision {
  return {kind: ClaimDecisionKind.ANSWER, ...settlement};
}

function buildDecision(
  decision: Exclude<RecordDecision, {kind: RecordDecisionKind.RUN}>,
  ticket: string,
): ClaimDecision {
  return decision.kind === RecordDecisionKind.JOIN
    ? {kind: ClaimDecisionKind.JOIN, key: decision.key}
    : createClaimAnswer({tickets: [ticket], answer: decision.answer});
}
