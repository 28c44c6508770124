/** Checks that a response is complete and belongs to its request. */
import {createHash} from 'node:crypto';
import type {Finding} from '../findings.js';
import {MAX_BODY_BYTES} from './constants.js';

/** Computes the SHA-256 digest of a body. */
export type BodyHash = (body: Uint8Array) => Uint8Array;

/** Computes the SHA-256 digest of a body with node:crypto. */
export const hashBody: BodyHash = (body) =>
  createHash('sha256').update(body).digest();

/** The parts of a response that are checked before it is forwarded. */
export interface ReceivedResponse {
  readonly requestId: string;
  /** Value of `content-length`; absent for a chunked response. */
  readonly contentLength?: string;
  readonly contentDigest?: string;
  /** Request ID that the peer echoed. Upstreams need not echo it. */
  readonly echoedRequestId?: string;
  /** False if the connection closed before the end of the body. */
  readonly isEnded: boolean;
  readonly body: Uint8Array;
}

const DIGEST_PATTERN = /^sha-256=:([A-Za-z0-9+/]{43}=):$/;
const LENGTH_PATTERN = /^\d{1,10}$/;

/** Formats the value of the `content-digest` header for a body. */
export function formatContentDigest(
  body: Uint8Array,
  hash: BodyHash = hashBody,
): string {
  return `sha-256=:${Buffer.from(hash(body)).toString('base64')}:`;
}

/** Returns all faults of a response; none if it is complete. */
export function checkResponse(
  response: ReceivedResponse,
  hash: BodyHash = hashBody,
): Finding[] {
  return [
    ...checkLength(response),
    ...checkDigest(response, hash),
    ...checkEchoedRequestId(response),
  ];
}

function checkLength(response: ReceivedResponse): Finding[] {
  const {body, contentLength, isEnded} = response;
  const findings: Finding[] = [];
  if (!isEnded) {
    findings.push({place: 'body', message: 'ended before its last byte'});
  }
  if (body.length > MAX_BODY_BYTES) {
    findings.push({
      place: 'body',
      message: `has ${body.length} bytes, more than ${MAX_BODY_BYTES}`,
    });
  }
  if (contentLength === undefined) return findings;
  if (
    !LENGTH_PATTERN.test(contentLength) ||
    Number(contentLength) !== body.length
  ) {
    findings.push({
      place: 'header content-length',
      message: `is "${contentLength}" but the body has ${body.length} bytes`,
    });
  }
  return findings;
}

function checkDigest(response: ReceivedResponse, hash: BodyHash): Finding[] {
  const {body, contentDigest} = response;
  if (contentDigest === undefined) return [];
  const place = 'header content-digest';
  if (!DIGEST_PATTERN.test(contentDigest)) {
    return [{place, message: 'must be sha-256=:<base64>:'}];
  }
  return contentDigest === formatContentDigest(body, hash)
    ? []
    : [{place, message: 'does not match the body'}];
}

function checkEchoedRequestId(response: ReceivedResponse): Finding[] {
  const {requestId, echoedRequestId} = response;
  if (echoedRequestId === undefined || echoedRequestId === requestId) return [];
  return [
    {
      place: 'header sycamoreyoke-request-id',
      message: `is "${echoedRequestId}" but the request is "${requestId}"`,
    },
  ];
}

/** Decision on a response that has arrived. */
export enum ResponseVerdict {
  ACCEPTED = 'accepted',
  /** The exchange was abandoned before the response arrived. */
  LATE = 'late',
  /** The exchange already has a response. */
  DUPLICATE = 'duplicate',
  /** No exchange has this ticket, or it is no longer remembered. */
  UNEXPECTED = 'unexpected',
}

enum ExchangeState {
  OPEN,
  ANSWERED,
  ABANDONED,
}

/**
 * Number of closed exchanges that are remembered, to distinguish late from
 * duplicate responses.
 */
export const MAX_CLOSED_EXCHANGES = 10_000;

/** Accepts one response per exchange and counts responses by verdict. */
export class ResponseLedger {
  private readonly exchanges = new Map<string, ExchangeState>();
  private readonly closedTickets: string[] = [];
  private readonly counts = new Map<ResponseVerdict, number>();
  private nextSlot = 0;

  constructor(private readonly maxClosedExchanges = MAX_CLOSED_EXCHANGES) {}

  /** Opens an exchange, identified by a unique ticket. */
  open(ticket: string): void {
    this.exchanges.set(ticket, ExchangeState.OPEN);
  }

  /** Abandons an exchange. A response that arrives afterwards is late. */
  close(ticket: string): void {
    if (this.exchanges.get(ticket) === ExchangeState.OPEN) {
      this.finish(ticket, ExchangeState.ABANDONED);
    }
  }

  /** Decides on a response. Only an accepted response may be forwarded. */
  admit(ticket: string): ResponseVerdict {
    const verdict = this.decide(ticket);
    this.counts.set(verdict, this.count(verdict) + 1);
    if (verdict === ResponseVerdict.ACCEPTED) {
      this.finish(ticket, ExchangeState.ANSWERED);
    }
    return verdict;
  }

  /** Returns the number of responses with this verdict so far. */
  count(verdict: ResponseVerdict): number {
    return this.counts.get(verdict) ?? 0;
  }

  private decide(ticket: string): ResponseVerdict {
    switch (this.exchanges.get(ticket)) {
      case ExchangeState.OPEN:
        return ResponseVerdict.ACCEPTED;
      case ExchangeState.ANSWERED:
        return ResponseVerdict.DUPLICATE;
      case ExchangeState.ABANDONED:
        return ResponseVerdict.LATE;
      case undefined:
        return ResponseVerdict.UNEXPECTED;
    }
  }

  /** Closes an exchange; a ring buffer holds the most recent closed ones. */
  private finish(ticket: string, state: ExchangeState): void {
    this.exchanges.set(ticket, state);
    const oldest = this.closedTickets[this.nextSlot];
    if (oldest !== undefined) this.exchanges.delete(oldest);
    this.closedTickets[this.nextSlot] = ticket;
    this.nextSlot = (this.nextSlot + 1) % this.maxClosedExchanges;
  }
}
