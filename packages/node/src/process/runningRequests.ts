import type {Clock} from 'sycamoreyoke/clock';
import type {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import type {Importance, RequestIdentity} from 'sycamoreyoke/types';

/** A request that runs on the upstream beside the node. */
export interface RunningRequest {
  readonly executionId: string;
  readonly identity: RequestIdentity;
  /** `<caller>/<request id>` where the request entered the system. */
  readonly rootId: string;
  readonly importance: Importance;
  /** On the clock of the node, in milliseconds. */
  readonly deadline: number;
  readonly ledger: RetryLedger;
  readonly calls: ChildCalls;
}

/** The calls that the upstream makes to serve a request. */
export class ChildCalls {
  private open = 0;
  private openedMs = 0;
  private totalMs = 0;
  private isShed = false;

  constructor(private readonly clock: Clock) {}

  start(): void {
    if (this.open === 0) this.openedMs = this.clock.readMs();
    this.open += 1;
  }

  finish(isShed: boolean): void {
    this.open -= 1;
    this.isShed ||= isShed;
    if (this.open > 0) return;
    this.totalMs += this.clock.readMs() - this.openedMs;
  }

  /** Time in which at least one call was in flight. */
  readMs(): number {
    return this.totalMs;
  }

  /** True when a call was refused for load further down. */
  isAnyShed(): boolean {
    return this.isShed;
  }
}

/** Finds the request that an outgoing call of the upstream serves. */
export class RunningRequests {
  private readonly byExecution = new Map<string, RunningRequest>();

  add(request: RunningRequest): void {
    this.byExecution.set(request.executionId, request);
  }

  remove(executionId: string): void {
    this.byExecution.delete(executionId);
  }

  get(executionId: string): RunningRequest | undefined {
    return this.byExecution.get(executionId);
  }

  list(): RunningRequest[] {
    return [...this.byExecution.values()];
  }

  count(): number {
    return this.byExecution.size;
  }
}
