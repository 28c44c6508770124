/**
 * Claims non-idempotent requests in the platform's table. Only the node that
 * holds the claim of a request may run it.
 */
import {z} from 'zod';
import type {Clock} from '../clock.js';
import type {TableRow, TableService} from '../platform.js';
import type {ClaimWrite, ClaimWriteResult} from '../process/claimBatcher.js';
import {ClaimWriteState} from '../process/claimBatcher.js';
import type {RequestIdentity} from '../types.js';
import {Outcome, RefusalReason, formatIdentity} from '../types.js';
import type {SendAnswer} from './outcome.js';
import {SendPhase, createRefusalAnswer} from './outcome.js';
import type {RecordTable} from './recordTable.js';
import type {RecordDecision, Settlement} from './record.js';
import {RecordDecisionKind} from './record.js';

/** The table keeps a claim for this long after it was last written. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1_000;
/** An idempotency key expires this long before its claim may be purged. */
export const KEY_EXPIRY_MARGIN_MS = 5 * 60 * 1_000;
/**
 * The time in a key may be this far in the future. This uses up a part of
 * KEY_EXPIRY_MARGIN_MS; the clocks of two nodes may differ by the rest.
 */
export const MAX_FUTURE_KEY_MS = 60 * 1_000;
/** Number of unanswered writes after which a claim is abandoned. */
export const MAX_UNANSWERED_WRITES = 2;
/** Maximum number of writes for one claim; each conflict causes another. */
export const MAX_CLAIM_WRITES = 8;

export enum ClaimState {
  HELD = 'held',
  RELEASED = 'released',
}

/** The node process that holds a claim, and its control address. */
export interface ClaimOwner {
  readonly incarnation: string;
  readonly address: string;
  readonly controlPort: number;
}

/** Value of a claim's row in the table. */
export interface ClaimRow {
  readonly nonce: string;
  readonly owner: ClaimOwner;
  /** Highest attempt number that the owner knew when it wrote the row. */
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

/** Formats the row key of a claim. The request ID is the idempotency key. */
export function formatClaimKey(identity: RequestIdentity): string {
  return `claim/${formatIdentity(identity)}`;
}

/** Parses the value of a row. Returns undefined if it is not understood. */
export function parseClaimRow(value: string): ClaimRow | undefined {
  try {
    return rowSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** Reads the time of a version 7 UUID, in milliseconds since 1970. */
export function readKeyTimeMs(key: string): number {
  return Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16);
}

/**
 * Returns true if a claim of the key may be purged soon, or if the time in the
 * key is too far in the future.
 */
export function isKeyExpired(key: string, now: Date): boolean {
  const ageMs = now.getTime() - readKeyTimeMs(key);
  const isPlausible = ageMs >= -MAX_FUTURE_KEY_MS;
  return !(isPlausible && ageMs < CLAIM_RETENTION_MS - KEY_EXPIRY_MARGIN_MS);
}

/** Writes one row through a batcher. */
export type ClaimSubmitter = (write: ClaimWrite) => Promise<ClaimWriteResult>;

/**
 * Queries the holder of a claim for the outcome of the request. Resolves to
 * undefined if the holder is gone, was restarted or does not answer. A NOT_RUN
 * answer contains the next attempt.
 */
export type OwnerQuery = (
  owner: ClaimOwner,
  identity: RequestIdentity,
  nonce: string,
) => Promise<SendAnswer | undefined>;

/** Dependencies of ClaimProcedure. */
export interface ClaimDependencies {
  readonly clock: Clock;
  readonly owner: ClaimOwner;
  readonly records: RecordTable;
  readonly submit: ClaimSubmitter;
  readonly read: TableService['read'];
  readonly askOwner: OwnerQuery;
  /** Creates a nonce that is unique among the claims of all nodes. */
  readonly createNonce: () => string;
}

/** A send of a claimed request. */
export interface ClaimSend {
  readonly identity: RequestIdentity;
  readonly attempt: number;
  readonly ticket: string;
  /** On the monotonic clock of the node. */
  readonly deadlineMs: number;
}

/** A claim that this node holds. */
export interface HeldClaim {
  readonly identity: RequestIdentity;
  readonly nonce: string;
  /** Key of the record in the node's RecordTable. */
  readonly key: string;
}

export enum ClaimDecisionKind {
  /** Offer it to the gate; dispatch it only if `records.start` allows it. */
  RUN = 'run',
  /** Wait for the running send with the same record. */
  JOIN = 'join',
  /** Answer the send and those that have joined it. */
  ANSWER = 'answer',
}

export type ClaimDecision =
  | {readonly kind: ClaimDecisionKind.RUN; readonly claim: HeldClaim}
  | {readonly kind: ClaimDecisionKind.JOIN; readonly key: string}
  | ({readonly kind: ClaimDecisionKind.ANSWER} & Settlement);

/** Result of an attempt to claim a request. */
interface ClaimAttemptResult {
  /** Absent if the claim is held. */
  readonly answer?: SendAnswer;
  /** The row may be in the table now, or may appear there later. */
  readonly canRowExist: boolean;
}

/** Claims requests for one node and releases the claims. */
export class ClaimProcedure {
  constructor(private readonly dependencies: ClaimDependencies) {}

  /** Claims the request and decides on the send. */
  async offer(send: ClaimSend): Promise<ClaimDecision> {
    const {identity, attempt, ticket} = send;
    const {clock, records} = this.dependencies;
    if (isKeyExpired(identity.requestId, clock.readDate())) {
      const answer = createRefusalAnswer(RefusalReason.EXPIRED_KEY);
      return createClaimAnswer({tickets: [ticket], answer});
    }
    const nonce = this.dependencies.createNonce();
    const decision = records.offerClaimed({identity, nonce, attempt, ticket});
    if (decision.kind !== RecordDecisionKind.RUN) {
      return buildClaimDecision(decision, ticket);
    }
    const claim: HeldClaim = {identity, nonce, key: decision.key};
    const result = await this.write(send, claim);
    if (!result.answer) return {kind: ClaimDecisionKind.RUN, claim};
    return createClaimAnswer(
      this.finishFailedClaim(claim, result.answer, result.canRowExist),
    );
  }

  /**
   * Refuses a claimed request that did not run. The answer is final
   * immediately. `released` resolves to whether the row was marked as released;
   * until then, other nodes learn of the refusal by querying this node.
   */
  refuse(
    claim: HeldClaim,
    reason: RefusalReason,
    isRefusedByUpstream = false,
  ): {readonly settlement: Settlement; readonly released: Promise<boolean>} {
    const {records} = this.dependencies;
    const settlement = records.refuse(claim.key, reason, isRefusedByUpstream);
    const isRefused = settlement.answer.outcome === Outcome.NOT_RUN;
    const released = isRefused ? this.release(claim) : Promise.resolve(false);
    return {settlement, released};
  }

  /**
   * Writes the row, at most MAX_CLAIM_WRITES times, until the claim is held or
   * cannot be obtained.
   */
  private async write(
    send: ClaimSend,
    claim: HeldClaim,
  ): Promise<ClaimAttemptResult> {
    let expectedVersion = 0;
    let unansweredWrites = 0;
    for (let writeCount = 0; writeCount < MAX_CLAIM_WRITES; writeCount += 1) {
      const refusal = this.checkExpiry(send);
      if (refusal) return {answer: refusal, canRowExist: unansweredWrites > 0};
      const row = this.buildRow(claim, send.attempt, ClaimState.HELD);
      const result = await this.submit(
        createClaimWrite(claim.identity, expectedVersion, row),
      );
      switch (result.state) {
        case ClaimWriteState.COMMITTED:
          return this.checkKeyAge(claim);
        case ClaimWriteState.NOT_SUBMITTED:
          return createUnavailableResult(unansweredWrites > 0);
        case ClaimWriteState.UNKNOWN:
          // Repeat the write. If the first one took effect, the repetition
          // conflicts with a row that has the nonce of this claim.
          unansweredWrites += 1;
          if (unansweredWrites >= MAX_UNANSWERED_WRITES) {
            return createUnavailableResult(true);
          }
          break;
        case ClaimWriteState.CONFLICT: {
          const holder = parseClaimRow(result.row.value);
          if (holder?.nonce === claim.nonce) return this.checkKeyAge(claim);
          // Unanswered writes of this claim can no longer take effect: the row
          // version that they expect has changed.
          unansweredWrites = 0;
          const refusal = await this.checkHolder(send, result.row, holder);
          if (refusal) return {answer: refusal, canRowExist: false};
          expectedVersion = result.row.version;
        }
      }
    }
    return createUnavailableResult(unansweredWrites > 0);
  }

  /**
   * Returns the answer if the conflicting claim must be respected, or undefined
   * if it may be taken over.
   */
  private async checkHolder(
    send: ClaimSend,
    row: TableRow,
    holder: ClaimRow | undefined,
  ): Promise<SendAnswer | undefined> {
    // The row existed and was purged since, so the key has expired.
    if (row.version === 0) {
      return createRefusalAnswer(RefusalReason.EXPIRED_KEY);
    }
    if (!holder) return createRefusalAnswer(RefusalReason.CLAIM_HELD);
    if (holder.state === ClaimState.RELEASED) {
      return checkAttempt(send.attempt, holder.attempt + 1);
    }
    const answer = await this.askHolder(holder, send.identity);
    if (!answer) return createRefusalAnswer(RefusalReason.CLAIM_OWNER_GONE);
    if (answer.outcome !== Outcome.NOT_RUN) return answer;
    if (answer.nextAttempt === undefined) {
      return createRefusalAnswer(RefusalReason.CLAIM_HELD);
    }
    return checkAttempt(send.attempt, answer.nextAttempt);
  }

  /** If the batcher fails, it is unknown whether the row was written. */
  private async submit(write: ClaimWrite): Promise<ClaimWriteResult> {
    try {
      return await this.dependencies.submit(write);
    } catch {
      return {state: ClaimWriteState.UNKNOWN};
    }
  }

  private async askHolder(
    holder: ClaimRow,
    identity: RequestIdentity,
  ): Promise<SendAnswer | undefined> {
    try {
      return await this.dependencies.askOwner(
        holder.owner,
        identity,
        holder.nonce,
      );
    } catch {
      return undefined;
    }
  }

  private checkExpiry(send: ClaimSend): SendAnswer | undefined {
    const {clock} = this.dependencies;
    if (isKeyExpired(send.identity.requestId, clock.readDate())) {
      return createRefusalAnswer(RefusalReason.EXPIRED_KEY);
    }
    return clock.readMs() >= send.deadlineMs
      ? createRefusalAnswer(RefusalReason.DEADLINE)
      : undefined;
  }

  /**
   * Checks the age of the key again after the write: a process that was paused
   * may have inserted its row after an earlier claim of the key was purged.
   */
  private checkKeyAge(claim: HeldClaim): ClaimAttemptResult {
    const now = this.dependencies.clock.readDate();
    return isKeyExpired(claim.identity.requestId, now)
      ? {
          answer: createRefusalAnswer(RefusalReason.EXPIRED_KEY),
          canRowExist: true,
        }
      : {canRowExist: true};
  }

  /**
   * Finishes a claim that was not obtained. If its row may be in the table, the
   * record is kept, so that a node that finds the row can query this node and
   * take the claim over.
   */
  private finishFailedClaim(
    claim: HeldClaim,
    answer: SendAnswer,
    canRowExist: boolean,
  ): Settlement {
    const {records} = this.dependencies;
    const reason = answer.reason ?? RefusalReason.CLAIM_UNAVAILABLE;
    if (!canRowExist) return records.close(claim.key, answer);
    return answer.outcome === Outcome.NOT_RUN
      ? records.refuse(claim.key, reason)
      : records.markUnknown(claim.key, reason);
  }

  private async release(claim: HeldClaim): Promise<boolean> {
    const attempt = this.dependencies.records.readHighestRefusedAttempt(
      claim.key,
    );
    const row = this.buildRow(claim, attempt, ClaimState.RELEASED);
    try {
      const currentRow = await this.dependencies.read(
        formatClaimKey(claim.identity),
      );
      if (
        !currentRow ||
        parseClaimRow(currentRow.value)?.nonce !== claim.nonce
      ) {
        return false;
      }
      const result = await this.submit(
        createClaimWrite(claim.identity, currentRow.version, row),
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
    return {nonce: claim.nonce, owner: this.dependencies.owner, attempt, state};
  }
}

function createClaimWrite(
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

function createUnavailableResult(canRowExist: boolean): ClaimAttemptResult {
  const answer = createRefusalAnswer(RefusalReason.CLAIM_UNAVAILABLE);
  return {answer, canRowExist};
}

function createClaimAnswer(settlement: Settlement): ClaimDecision {
  return {kind: ClaimDecisionKind.ANSWER, ...settlement};
}

function buildClaimDecision(
  decision: Exclude<RecordDecision, {kind: RecordDecisionKind.RUN}>,
  ticket: string,
): ClaimDecision {
  return decision.kind === RecordDecisionKind.JOIN
    ? {kind: ClaimDecisionKind.JOIN, key: decision.key}
    : createClaimAnswer({tickets: [ticket], answer: decision.answer});
}
