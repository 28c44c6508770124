/** Payload that identifies the request that it answers. */
import {createHash} from 'node:crypto';

/** Payload of a response: the request id's digest, repeated to the size. */
export function createPayload(requestId: string, bytes: number): string {
  const digest = createHash('sha256').update(requestId).digest('hex');
  return digest.repeat(Math.ceil(bytes / digest.length)).slice(0, bytes);
}

/** Body of a response of the upstream stand-in. */
export interface UpstreamBody {
  readonly by: string;
  readonly requestId: string;
  readonly payload: string;
  readonly below: readonly string[];
}

/** True when the body is complete and belongs to the request. */
export function isOwnBody(body: UpstreamBody, requestId: string): boolean {
  return (
    body.requestId === requestId &&
    body.payload === createPayload(requestId, body.payload.length)
  );
}
