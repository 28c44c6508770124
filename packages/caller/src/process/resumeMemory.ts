import type {ResumeToken} from '../types.js';

/** Requests whose tokens are remembered; the oldest is dropped first. */
const CAPACITY = 100_000;

/** Tokens of the guarded requests that this caller has sent. */
export class ResumeMemory {
  private readonly tokens = new Map<string, ResumeToken>();

  get(requestClass: string, requestId: string): ResumeToken | undefined {
    return this.tokens.get(`${requestClass}/${requestId}`);
  }

  set(requestClass: string, requestId: string, token: ResumeToken): void {
    const key = `${requestClass}/${requestId}`;
    this.tokens.delete(key);
    this.tokens.set(key, token);
    if (this.tokens.size <= CAPACITY) return;
    const oldest = this.tokens.keys().next();
    if (!oldest.done) this.tokens.delete(oldest.value);
  }
}
