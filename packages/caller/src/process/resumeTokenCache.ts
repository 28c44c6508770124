import type {ResumeToken} from '../types.js';

/** The least recently stored token is evicted first. */
const MAX_TOKENS = 100_000;

/** Keeps the resume tokens of guarded requests sent by this caller. */
export class ResumeTokenCache {
  private readonly tokens = new Map<string, ResumeToken>();

  get(requestClass: string, requestId: string): ResumeToken | undefined {
    return this.tokens.get(`${requestClass}/${requestId}`);
  }

  set(requestClass: string, requestId: string, token: ResumeToken): void {
    const key = `${requestClass}/${requestId}`;
    this.tokens.delete(key);
    this.tokens.set(key, token);
    if (this.tokens.size <= MAX_TOKENS) return;
    const oldest = this.tokens.keys().next();
    if (!oldest.done) this.tokens.delete(oldest.value);
  }
}
