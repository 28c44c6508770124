/** Authenticates callers and checks which request classes they may call. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {CallHeaders} from 'sycamoreyoke/request/types';
import {RefusalReason} from 'sycamoreyoke/types';
import type {CompiledConfiguration} from 'sycamoreyoke/version/compile';
import type {CallerObject} from 'sycamoreyoke/version/types';
import {createRefusal} from './refusal.js';

/** Caches the SHA-256 digests of tokens, to avoid hashing on every call. */
export class TokenDigests {
  private readonly digests = new Map<string, Buffer>();

  constructor(private readonly capacity = 10_000) {}

  compute(token: string): Buffer {
    const cached = this.digests.get(token);
    if (cached) return cached;
    if (this.digests.size >= this.capacity) this.digests.clear();
    const digest = createHash('sha256').update(token).digest();
    this.digests.set(token, digest);
    return digest;
  }
}

/**
 * Returns the authenticated caller. Throws a refusal when the caller is unknown
 * or its token is wrong (UNAUTHENTICATED), or when it may not call the request
 * class (FORBIDDEN).
 */
export function checkCaller(
  configuration: CompiledConfiguration,
  headers: CallHeaders,
  digests: TokenDigests,
): CallerObject {
  const caller = configuration.callers.get(headers.caller ?? '');
  const expectedDigest = Buffer.from(caller?.tokenSha256 ?? '', 'hex');
  const actualDigest = digests.compute(headers.token ?? '');
  if (
    !caller ||
    expectedDigest.length !== actualDigest.length ||
    !timingSafeEqual(expectedDigest, actualDigest)
  ) {
    throw createRefusal(
      RefusalReason.UNAUTHENTICATED,
      `caller "${headers.caller ?? ''}" is unknown or its token is wrong`,
    );
  }
  if (!caller.classes.includes(headers.requestClass)) {
    throw createRefusal(
      RefusalReason.FORBIDDEN,
      `caller "${caller.name}" may not call class "${headers.requestClass}"`,
    );
  }
  return caller;
}
