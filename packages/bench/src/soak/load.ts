/** Load of the soak: pinned, claimed and idempotent requests. */
import {randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import type {SycamoreyokeCaller} from '@sycamoreyoke/caller/caller';
import {isWholeBody, sendPlain} from '@sycamoreyoke/standins/load/plainSender';
import {checkPort} from './portCheck.js';
import type {Random} from 'sycamoreyoke/random';
import {takeInteger} from 'sycamoreyoke/random';
import {Outcome} from 'sycamoreyoke/types';
import type {Dispatcher} from 'undici';
import {v7 as createUuid} from 'uuid';

const SEND_PERIOD_MS = 25;
const CLAIMED_TIMEOUT_MS = 6_000;
const CLAIMED_SEND_TIMEOUT_MS = 1_500;
const CLAIMED_SENDS = 5;
const RESEND_DELAY_MS = 100;
const MAX_IN_FLIGHT = 1_000;

/** What became of a request, as its caller saw it. */
export interface SoakRecord {
  readonly requestId: string;
  readonly requestClass: string;
  /** Since the start of the load. */
  readonly startMs: number;
  readonly endMs: number;
  readonly outcome: Outcome;
  readonly reason: string;
  readonly isWhole: boolean;
  readonly isForeign: boolean;
}

type RequestEnd = Pick<
  SoakRecord,
  'outcome' | 'reason' | 'isWhole' | 'isForeign'
>;

/** What the load sends by. */
export interface LoadParts {
  readonly callers: Readonly<Record<string, SycamoreyokeCaller>>;
  readonly dispatcher: Dispatcher;
  readonly claimEntries: readonly string[];
  readonly claimHeaders: Readonly<Record<string, string>>;
  readonly random: Random;
}

/** Sends requests at a fixed rate until it is stopped. */
export class SoakLoad {
  readonly records: SoakRecord[] = [];
  private readonly startMs = performance.now();
  private readonly pending = new Set<Promise<void>>();
  private isStopped = false;

  constructor(private readonly parts: LoadParts) {}

  readMs(): number {
    return performance.now() - this.startMs;
  }

  async run(): Promise<void> {
    const classes = [
      'book-resole',
      'charge-donation',
      'read-status',
      'read-status',
    ];
    for (let count = 0; !this.isStopped; count += 1) {
      if (this.pending.size < MAX_IN_FLIGHT) {
        this.start(classes[count % classes.length] ?? '');
      }
      await wait(SEND_PERIOD_MS);
    }
    await Promise.all(this.pending);
  }

  stop(): void {
    this.isStopped = true;
  }

  private start(requestClass: string): void {
    const running = this.sendRequest(requestClass).then(() => {
      this.pending.delete(running);
    });
    this.pending.add(running);
  }

  private async sendRequest(requestClass: string): Promise<void> {
    const requestId = randomUUID();
    const startMs = this.readMs();
    const caller = this.parts.callers[requestClass];
    const end = caller
      ? await sendByLibrary(caller, requestClass, requestId)
      : await this.sendClaimed(requestClass, requestId);
    const endMs = this.readMs();
    this.records.push({requestId, requestClass, startMs, endMs, ...end});
  }

  /** Sends through any node with one key and a higher number each time. */
  private async sendClaimed(
    requestClass: string,
    requestId: string,
  ): Promise<RequestEnd> {
    const {claimEntries, claimHeaders, dispatcher, random} = this.parts;
    const deadlineMs = this.readMs() + CLAIMED_TIMEOUT_MS;
    const key = createUuid();
    const outcomes: Outcome[] = [];
    while (outcomes.length < CLAIMED_SENDS) {
      const leftMs = deadlineMs - this.readMs();
      if (leftMs < 1) break;
      const url = claimEntries[takeInteger(random, claimEntries.length)] ?? '';
      if (!(await checkPort(url))) {
        await wait(RESEND_DELAY_MS);
        continue;
      }
      const result = await sendPlain(dispatcher, {
        url,
        requestId,
        timeoutMs: Math.min(leftMs, CLAIMED_SEND_TIMEOUT_MS),
        headers: {
          ...claimHeaders,
          'sycamoreyoke-class': requestClass,
          'sycamoreyoke-attempt': String(outcomes.length),
          'idempotency-key': key,
        },
      });
      outcomes.push(result.outcome);
      const {isWhole, isForeign} = result;
      const reason = `sends=${outcomes.join('+')}`;
      if (result.outcome === Outcome.DONE) {
        return {outcome: Outcome.DONE, reason, isWhole, isForeign};
      }
      await wait(RESEND_DELAY_MS);
    }
    // Without any send nothing ran, so no send leaves the outcome open.
    const isNotRun = outcomes.every((outcome) => outcome === Outcome.NOT_RUN);
    return {
      outcome: isNotRun ? Outcome.NOT_RUN : Outcome.UNKNOWN,
      reason: `sends=${outcomes.join('+')}`,
      isWhole: false,
      isForeign: false,
    };
  }
}

async function sendByLibrary(
  caller: SycamoreyokeCaller,
  requestClass: string,
  requestId: string,
): Promise<RequestEnd> {
  try {
    const result = await caller.send({requestClass, requestId});
    const {outcome, status, body, headers} = result;
    const isSuccess = outcome === Outcome.DONE && status === 200;
    const isWhole =
      isSuccess && isWholeBody(Buffer.from(body), headers, requestId);
    const reason = `${result.reason ?? ''} sends=${result.sends}`;
    return {outcome, reason, isWhole, isForeign: isSuccess && !isWhole};
  } catch (error) {
    const reason = `error: ${String(error)}`;
    const outcome = Outcome.UNKNOWN;
    return {outcome, reason, isWhole: false, isForeign: false};
  }
}
