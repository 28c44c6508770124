import type {RetryLedger} from 'sycamoreyoke/request/allowance';
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
