/** Open-loop load: arrivals do not wait for responses. */
import {randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import type {Random} from 'sycamoreyoke/random';
import {takeInteger} from 'sycamoreyoke/random';
import {Outcome} from 'sycamoreyoke/types';
import {Agent} from 'undici';
import {v7 as createUuid} from 'uuid';
import type {ClassLoad, LoadOptions} from './options.js';
import {SendMode} from './options.js';
import type {SendResult} from './plainSender.js';
import {sendPlain} from './plainSender.js';
import type {RequestRecord} from './records.js';

/** Period in which due arrivals are sent. */
const TICK_MS = 5;
const MS_PER_SECOND = 1_000;
const CONNECTIONS_PER_NODE = 200;

/** A request that is about to be sent. */
export interface PlannedRequest {
  readonly requestId: string;
  readonly load: ClassLoad;
}

/** Sends a request through the caller library. */
export type LibrarySender = (
  planned: PlannedRequest,
) => Promise<SendResult & {readonly sends: number}>;

/** Called about once a second with the records so far. */
export type ProgressReporter = (records: readonly RequestRecord[]) => void;

/** Runs the load and returns the record of every request. */
export async function runLoad(
  options: LoadOptions,
  random: Random,
  sendByLibrary: LibrarySender,
  report: ProgressReporter,
): Promise<RequestRecord[]> {
  const run = new LoadRun(options, random, sendByLibrary);
  return run.run(report);
}

class LoadRun {
  private readonly agent = new Agent({connections: CONNECTIONS_PER_NODE});
  private readonly records: RequestRecord[] = [];
  private readonly startMs = performance.now();
  private inFlight = 0;

  constructor(
    private readonly options: LoadOptions,
    private readonly random: Random,
    private readonly sendByLibrary: LibrarySender,
  ) {}

  async run(report: ProgressReporter): Promise<RequestRecord[]> {
    const due = this.options.classes.map(() => 0);
    let previousMs = 0;
    let reportedMs = 0;
    for (;;) {
      const nowMs = this.readMs();
      if (nowMs >= this.options.durationMs) break;
      for (const [index, load] of this.options.classes.entries()) {
        const perMs = this.computeRate(load, nowMs) / MS_PER_SECOND;
        const total = (due[index] ?? 0) + perMs * (nowMs - previousMs);
        due[index] = total % 1;
        for (let count = 0; count < Math.floor(total); count += 1) {
          this.start(load);
        }
      }
      previousMs = nowMs;
      if (nowMs - reportedMs >= MS_PER_SECOND) {
        reportedMs = nowMs;
        report(this.records);
      }
      await wait(TICK_MS);
    }
    while (this.inFlight > 0) await wait(TICK_MS);
    await this.agent.close();
    return this.records;
  }

  private readMs(): number {
    return performance.now() - this.startMs;
  }

  private computeRate(load: ClassLoad, nowMs: number): number {
    const {surge} = this.options;
    const isSurge =
      surge !== undefined &&
      load.surges &&
      nowMs >= surge.startMs &&
      nowMs < surge.startMs + surge.durationMs;
    return load.perSecond * (isSurge ? surge.factor : 1);
  }

  private start(load: ClassLoad): void {
    if (this.inFlight >= this.options.maxInFlight) return;
    this.inFlight += 1;
    void this.sendRequest({requestId: randomUUID(), load}).then((record) => {
      this.inFlight -= 1;
      this.records.push(record);
    });
  }

  private async sendRequest(planned: PlannedRequest): Promise<RequestRecord> {
    const startMs = this.readMs();
    const {load, requestId} = planned;
    const result =
      load.mode === SendMode.LIBRARY
        ? await this.sendByLibrary(planned)
        : await this.sendHard(planned);
    return {
      ...result,
      requestId,
      requestClass: load.requestClass,
      startMs,
      latencyMs: this.readMs() - startMs,
    };
  }

  /** Sends again at once after each failure until the time is used up. */
  private async sendHard(planned: PlannedRequest) {
    const {load, requestId} = planned;
    const deadlineMs = this.readMs() + load.timeoutMs;
    const key = load.idempotencyKey ? createUuid() : undefined;
    const results: SendResult[] = [];
    while (results.length <= load.resends) {
      const timeoutMs = deadlineMs - this.readMs();
      if (timeoutMs < 1) break;
      const result = await sendPlain(this.agent, {
        url: this.chooseEntry(load.requestClass),
        headers: this.buildHeaders(load, results.length, key),
        requestId,
        timeoutMs,
      });
      results.push(result);
      if (result.outcome === Outcome.DONE) break;
    }
    return {...combineResults(results), sends: results.length};
  }

  private buildHeaders(
    load: ClassLoad,
    attempt: number,
    key: string | undefined,
  ): Record<string, string> {
    return {
      'sycamoreyoke-class': load.requestClass,
      'sycamoreyoke-attempt': String(attempt),
      'sycamoreyoke-caller': this.options.caller,
      authorization: `Bearer ${this.options.token}`,
      ...(key === undefined ? {} : {'idempotency-key': key}),
    };
  }

  private chooseEntry(requestClass: string): string {
    const service = this.options.serviceOfClass[requestClass] ?? '';
    const entries = this.options.entries[service] ?? [];
    return entries[takeInteger(this.random, entries.length)] ?? '';
  }
}

/** The last result decides, but an unknown send makes a refusal unknown. */
function combineResults(results: readonly SendResult[]): SendResult {
  const last = results.at(-1);
  if (!last) {
    return {
      outcome: Outcome.NOT_RUN,
      status: 0,
      retries: 0,
      isWhole: false,
      isForeign: false,
    };
  }
  const isUnknown = results.some(({outcome}) => outcome === Outcome.UNKNOWN);
  const outcome =
    last.outcome === Outcome.NOT_RUN && isUnknown
      ? Outcome.UNKNOWN
      : last.outcome;
  const retries = results.reduce((sum, result) => sum + result.retries, 0);
  return {...last, outcome, retries};
}
