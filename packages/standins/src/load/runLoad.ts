/** Open-loop load generator: arrivals do not wait for responses. */
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

/** Interval at which due arrivals are sent. */
const TICK_MS = 5;
const MS_PER_SECOND = 1_000;
const CONNECTIONS_PER_NODE = 200;

/** A request to be sent, with the load settings of its class. */
export interface PlannedRequest {
  readonly requestId: string;
  readonly classLoad: ClassLoad;
}

/** Sends a request through the caller library. */
export type LibrarySender = (
  planned: PlannedRequest,
) => Promise<SendResult & {readonly sends: number}>;

/** Called about once per second with the records so far. */
export type ProgressReporter = (records: readonly RequestRecord[]) => void;

/**
 * Sends the load of a plan, waits for the requests in flight and returns the
 * records of all requests. Arrivals above `maxInFlight` have no record.
 */
export async function runLoad(
  options: LoadOptions,
  random: Random,
  sendByLibrary: LibrarySender,
  reportProgress: ProgressReporter,
): Promise<RequestRecord[]> {
  const run = new LoadRun(options, random, sendByLibrary);
  return run.run(reportProgress);
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

  async run(reportProgress: ProgressReporter): Promise<RequestRecord[]> {
    // Fraction of an arrival that is carried over to the next tick, by class.
    const dueFractions = this.options.classes.map(() => 0);
    let previousMs = 0;
    let reportedMs = 0;
    for (;;) {
      const nowMs = this.readMs();
      if (nowMs >= this.options.durationMs) break;
      for (const [index, classLoad] of this.options.classes.entries()) {
        const arrivalsPerMs =
          this.computeArrivalsPerSecond(classLoad, nowMs) / MS_PER_SECOND;
        const dueArrivals =
          (dueFractions[index] ?? 0) + arrivalsPerMs * (nowMs - previousMs);
        dueFractions[index] = dueArrivals % 1;
        for (let count = 0; count < Math.floor(dueArrivals); count += 1) {
          this.start(classLoad);
        }
      }
      previousMs = nowMs;
      if (nowMs - reportedMs >= MS_PER_SECOND) {
        reportedMs = nowMs;
        reportProgress(this.records);
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

  private computeArrivalsPerSecond(
    classLoad: ClassLoad,
    nowMs: number,
  ): number {
    const {surge} = this.options;
    const isSurge =
      surge !== undefined &&
      classLoad.surges &&
      nowMs >= surge.startMs &&
      nowMs < surge.startMs + surge.durationMs;
    return classLoad.perSecond * (isSurge ? surge.factor : 1);
  }

  private start(classLoad: ClassLoad): void {
    if (this.inFlight >= this.options.maxInFlight) return;
    this.inFlight += 1;
    void this.sendRequest({requestId: randomUUID(), classLoad}).then(
      (record) => {
        this.inFlight -= 1;
        this.records.push(record);
      },
    );
  }

  private async sendRequest(planned: PlannedRequest): Promise<RequestRecord> {
    const startMs = this.readMs();
    const {classLoad, requestId} = planned;
    const result =
      classLoad.mode === SendMode.LIBRARY
        ? await this.sendByLibrary(planned)
        : await this.sendWithResends(planned);
    return {
      ...result,
      requestId,
      requestClass: classLoad.requestClass,
      startMs,
      latencyMs: this.readMs() - startMs,
    };
  }

  /**
   * Resends without delay after each failure, until the resends or the time are
   * used up.
   */
  private async sendWithResends(planned: PlannedRequest) {
    const {classLoad, requestId} = planned;
    const deadlineMs = this.readMs() + classLoad.timeoutMs;
    const idempotencyKey = classLoad.idempotencyKey ? createUuid() : undefined;
    const results: SendResult[] = [];
    while (results.length <= classLoad.resends) {
      const timeoutMs = deadlineMs - this.readMs();
      if (timeoutMs < 1) break;
      const result = await sendPlain(this.agent, {
        url: this.chooseNodeUrl(classLoad.requestClass),
        headers: this.buildHeaders(classLoad, results.length, idempotencyKey),
        requestId,
        timeoutMs,
      });
      results.push(result);
      if (result.outcome === Outcome.DONE) break;
    }
    return {...combineResults(results), sends: results.length};
  }

  private buildHeaders(
    classLoad: ClassLoad,
    attempt: number,
    idempotencyKey: string | undefined,
  ): Record<string, string> {
    return {
      'sycamoreyoke-class': classLoad.requestClass,
      'sycamoreyoke-attempt': String(attempt),
      'sycamoreyoke-caller': this.options.caller,
      authorization: `Bearer ${this.options.token}`,
      ...(idempotencyKey === undefined
        ? {}
        : {'idempotency-key': idempotencyKey}),
    };
  }

  private chooseNodeUrl(requestClass: string): string {
    const service = this.options.serviceOfClass[requestClass] ?? '';
    const nodeUrls = this.options.entries[service] ?? [];
    return nodeUrls[takeInteger(this.random, nodeUrls.length)] ?? '';
  }
}

/**
 * Merges the results of all sends: that of the last one, except that a refusal
 * becomes unknown when the outcome of any send is unknown.
 */
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
