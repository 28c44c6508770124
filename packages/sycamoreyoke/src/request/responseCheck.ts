/** Checks that a response is complete and belongs to its request. */
import {createHash} from 'node:crypto';
import type {Finding} from '../findings.js';
import {MAX_BODY_BYTES} from './constants.js';

/** Computes the SHA-256 of a body. */
export type BodyHash = (body: Uint8Array) => Uint8Array;

/** SHA-256 of node:crypto. */
export const hashBody: BodyHash = (body) =>
  createHash('sha256').update(body).digest();

/** What is checked of a response before its first byte is sent on. */
export interface ReceivedResponse {
  readonly requestId: string;
  /** Value of `content-length`; absent for a chunked response. */
  readonly contentLength?: string;
  readonly contentDigest?: string;
  /** Request ID that the peer echoed; an upstream need not echo it. */
  readonly echoedRequestId?: string;
  /** False when the connection closed before the end of the body. */
  readonly isEnded: boolean;
  readonly body: Uint8Array;
}

const DIGEST = /^sha-256=:([A-Za-z0-9+/]{43}=):$/;
const LENGTH = /^\d{1,10}$/;

/** Renders the value of `content-digest` for a body. */
export function formatContentDigest(
  body: Uint8Array,
  hash: BodyHash = hashBody,
): string {
  return `sha-256=:${Buffer.from(hash(body)).toString('base64')}:`;
}

/** Reports every fault of a response; without findings it is complete. */
export function checkResponse(
  response: ReceivedResponse,
  hash: BodyHash = hashBody,
): Finding[] {
  return [
    ...checkLength(response),
    ...checkDigest(response, hash),
    ...checkEcho(response),
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
  if (!LENGTH.test(contentLength) || Number(contentLength) !== body.length) {
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
  if (!DIGEST.test(contentDigest)) {
    return [{place, message: 'must be sha-256=:<base64>:'}];
  }
  return contentDigest === formatContentDigest(body, hash)
    ? []
    : [{place, message: 'does not match the body'}];
}

function checkEcho(response: ReceivedResponse): Finding[] {
  const {requestId, echoedRequestId} = response;
  if (echoedRequestId === undefined || echoedRequestId === requestId) return [];
  return [
    {
      place: 'header sycamoreyoke-request-id',
      message: `is "${echoedRequestId}" but the request is "${requestId}"`,
    },
  ];
}

/** What becomes of a response that has arrived. */
export enum ResponseVerdict {
  ACCEPTED = 'accepted',
  /** Its exchange was given up before. */
  LATE = 'late',
  /** Its exchange already has a response. */
  DUPLICATE = 'duplicate',
  /** No exchange with this ticket was opened, or it was long ago. */
  UNEXPECTED = 'unexpected',
}

enum ExchangeState {
  OPEN,
  ANSWERED,
  GIVEN_UP,
}

/** Closed exchanges remembered, to tell late from duplicate responses. */
export const CLOSED_EXCHANGES_KEPT = 10_000;

/** Lets one response through for each exchange and counts the dropped ones. */
export class ResponseLedger {
  private readonly exchanges = new Map<string, ExchangeState>();
  private readonly closed: string[] = [];
  private readonly counts = new Map<ResponseVerdict, number>();
  private nextSlot = 0;

  constructor(private readonly keptCount = CLOSED_EXCHANGES_KEPT) {}

  /** Expects a response; the ticket is unique to the exchange. */
  open(ticket: string): void {
    this.exchanges.set(ticket, ExchangeState.OPEN);
  }

  /** Gives the exchange up; its response is late from now on. */
  close(ticket: string): void {
    if (this.exchanges.get(ticket) === ExchangeState.OPEN) {
      this.finish(ticket, ExchangeState.GIVEN_UP);
    }
  }

  /** Decides on a response; only an accepted one may be sent on. */
  admit(ticket: string): ResponseVerdict {
    const verdict = this.decide(ticket);
    this.counts.set(verdict, this.count(verdict) + 1);
    if (verdict === ResponseVerdict.ACCEPTED) {
      this.finish(ticket, ExchangeState.ANSWERED);
    }
    return verdict;
  }

  /** Responses with this verdict so far. */
  count(verdict: ResponseVerdict): number {
    return this.counts.get(verdict) ?? 0;
  }

  private decide(ticket: string): ResponseVerdict {
    switch (this.exchanges.get(ticket)) {
      case ExchangeState.OPEN:
        return ResponseVerdict.ACCEPTED;
      case ExchangeState.ANSWERED:
        return ResponseVerdict.DUPLICATE;
      case ExchangeState.GIVEN_UP:
        return ResponseVerdict.LATE;
      case undefined:
        return ResponseVerdict.UNEXPECTED;
    }
  }

  /** Keeps the latest closed exchanges in a ring. */
  private finish(ticket: string, state: ExchangeState): void {
    this.exchanges.set(ticket, state);
    const oldest = this.closed[this.nextSlot];
    if (oldest !== undefined) this.exchanges.delete(oldest);
    this.closed[this.nextSlot] = ticket;
    this.nextSlot = (this.nextSlot + 1) % this.keptCount;
  }
}
