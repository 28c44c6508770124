import type {Clock} from 'sycamoreyoke/clock';
import type {RetryLedger} from 'sycamoreyoke/request/retryLedger';
import type {Importance, RequestIdentity} from 'sycamoreyoke/types';

/** A request that is running on the upstream beside the node. */
export interface RunningRequest {
  readonly executionId: string;
  readonly identity: RequestIdentity;
  /** `<caller>/<request id>` of the request that entered the system. */
  readonly rootId: string;
  readonly importance: Importance;
  /** Deadline in ms on the monotonic clock of the node. */
  readonly deadline: number;
  readonly ledger: RetryLedger;
  readonly childCalls: ChildCalls;
}

/** Tracks the outgoing calls that the upstream makes to serve a request. */
export class ChildCalls {
  private openCalls = 0;
  private busySinceMs = 0;
  private totalMs = 0;
  private hasShed = false;

  constructor(private readonly clock: Clock) {}

  start(): void {
    if (this.openCalls === 0) this.busySinceMs = this.clock.readMs();
    this.openCalls += 1;
  }

  finish(isShed: boolean): void {
    this.openCalls -= 1;
    this.hasShed ||= isShed;
    if (this.openCalls > 0) return;
    this.totalMs += this.clock.readMs() - this.busySinceMs;
  }

  /** Time in ms during which at least one call was in flight. */
  readBusyMs(): number {
    return this.totalMs;
  }

  /** Whether a call was refused because of overload further down the chain. */
  hasShedCall(): boolean {
    return this.hasShed;
  }
}

/** The running requests by the execution id that outgoing calls refer to. */
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
