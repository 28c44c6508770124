/** Identity of a request by what it asks for, whatever id its attempt has. */
import {createHash} from 'node:crypto';

/** What makes two attempts the same request for an upstream. */
export interface RequestContent {
  readonly service: string;
  readonly method: string;
  /** With the query. */
  readonly path: string;
  readonly body: Uint8Array;
}

/** 128 bits: attempts of different requests do not meet by chance. */
const IDENTITY_BYTES = 16;

/** A short text that is the same for attempts with the same content. */
export function identifyContent(content: RequestContent): string {
  const {service, method, path, body} = content;
  return createHash('sha256')
    .update(JSON.stringify([service, method, path]))
    .update(body)
    .digest()
    .subarray(0, IDENTITY_BYTES)
    .toString('base64url');
}
