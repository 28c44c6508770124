/** Response payload that is derived from the request id, for verification. */
import {createHash} from 'node:crypto';

/** Creates a payload: the digest of the request id, repeated to `bytes`. */
export function createPayload(requestId: string, bytes: number): string {
  const digest = createHash('sha256').update(requestId).digest('hex');
  return digest.repeat(Math.ceil(bytes / digest.length)).slice(0, bytes);
}

/** Body of a response of the upstream stand-in. */
export interface UpstreamBody {
  /** Name of the upstream. */
  readonly by: string;
  readonly requestId: string;
  readonly payload: string;
  /** Names of the upstreams that served the calls of the request. */
  readonly below: readonly string[];
}

/** True when the id and the payload of a body belong to the request. */
export function isBodyOfRequest(
  body: UpstreamBody,
  requestId: string,
): boolean {
  return (
    body.requestId === requestId &&
    body.payload === createPayload(requestId, body.payload.length)
  );
}
