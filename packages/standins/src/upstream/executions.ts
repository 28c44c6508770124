/** Counts the executions of each request. */

/** Executions of a request, for checking the at-most-once invariant. */
export interface Execution {
  readonly requestId: string;
  readonly requestClass: string;
  readonly started: number;
  readonly finished: number;
}

/** Records the executions of an upstream; evicts the oldest request first. */
export class Executions {
  private readonly byRequest = new Map<string, Execution>();

  constructor(private readonly capacity = 500_000) {}

  start(requestId: string, requestClass: string): void {
    const key = `${requestClass}/${requestId}`;
    const existing = this.byRequest.get(key);
    this.byRequest.set(key, {
      requestId,
      requestClass,
      started: (existing?.started ?? 0) + 1,
      finished: existing?.finished ?? 0,
    });
    if (this.byRequest.size > this.capacity) {
      const oldest = this.byRequest.keys().next();
      if (!oldest.done) this.byRequest.delete(oldest.value);
    }
  }

  finish(requestId: string, requestClass: string): void {
    const key = `${requestClass}/${requestId}`;
    const existing = this.byRequest.get(key);
    if (!existing) return;
    this.byRequest.set(key, {...existing, finished: existing.finished + 1});
  }

  list(requestClass?: string): Execution[] {
    const all = [...this.byRequest.values()];
    return requestClass === undefined
      ? all
      : all.filter((execution) => execution.requestClass === requestClass);
  }
}
