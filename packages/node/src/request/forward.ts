/** Sends a buffered call to an origin and takes the complete response. */
import type {CallResponse} from 'sycamoreyoke/request/types';
import {HEADER_PREFIX} from 'sycamoreyoke/request/constants';
import {Outcome, RefusalReason} from 'sycamoreyoke/types';
import type {CallConnections} from '../connection/callConnections.js';
import {
  RefusedRequest,
  collectForwardedHeaders,
  getRefusalStatus,
} from './exchange.js';

/** A call as it goes out on a connection. */
export interface ForwardedCall {
  readonly origin: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly added: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
}

const PRIVATE_HEADERS = new Set(['authorization', 'idempotency-key']);

function isReplaced(name: string): boolean {
  return name.startsWith(HEADER_PREFIX) || PRIVATE_HEADERS.has(name);
}

/** Resolves with the complete response or rejects with a RefusedRequest. */
export async function forwardCall(
  connections: CallConnections,
  call: ForwardedCall,
): Promise<CallResponse> {
  try {
    const response = await connections.find(call.origin).request({
      method: call.method,
      path: call.path,
      headers: {
        ...collectForwardedHeaders(call.headers, isReplaced),
        ...call.added,
      },
      body: call.body.length > 0 ? call.body : null,
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(call.timeoutMs))),
    });
    const body = new Uint8Array(await response.body.arrayBuffer());
    return {
      status: response.statusCode,
      headers: collectForwardedHeaders(response.headers, () => false),
      body,
    };
  } catch (error) {
    throw new RefusedRequest(
      getRefusalStatus(RefusalReason.CONNECTION_LOST),
      Outcome.UNKNOWN,
      RefusalReason.CONNECTION_LOST,
      `call to ${call.origin} failed: ${(error as Error).message}`,
    );
  }
}
