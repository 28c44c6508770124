/** Identifies a request by its content, independently of its request ID. */
import {createHash} from 'node:crypto';

/** Attempts with equal content are the same request for an upstream. */
export interface RequestContent {
  readonly service: string;
  readonly method: string;
  /** Path including the query. */
  readonly path: string;
  /** In one piece or several, which makes no difference. */
  readonly body: Uint8Array | readonly Uint8Array[];
}

/** 128 bits make a collision between different requests negligible. */
const IDENTITY_BYTES = 16;

/** Computes a short text that is equal for attempts with equal content. */
export function identifyContent(content: RequestContent): string {
  const {service, method, path, body} = content;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([service, method, path]));
  for (const piece of body instanceof Uint8Array ? [body] : body)
    hash.update(piece);
  return hash.digest().subarray(0, IDENTITY_BYTES).toString('base64url');
}
