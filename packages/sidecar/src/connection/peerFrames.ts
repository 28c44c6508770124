/** Frames between nodes: a length and a MessagePack array. */
import type {Socket} from 'node:net';
import {Packr} from 'msgpackr';
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import {MAX_FRAME_BYTES} from '../constants.js';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {SendEnd} from 'sycamoreyoke/request/resend';
import type {Importance} from 'sycamoreyoke/types';
import type {
  CallResult,
  GateReason,
  HeaderList,
  NodeRecord,
  NodeReport,
  OutgoingCall,
} from '../types.js';
import type {ByteBudget} from './byteBudget.js';
import {ByteList} from './byteList.js';

export enum FrameKind {
  HELLO = 1,
  CALL = 2,
  CANCEL = 3,
  RESULT = 4,
  PING = 5,
  REPORT = 6,
  GET_CONFIGURATION = 7,
  CONFIGURATION = 8,
  GET_NODES = 9,
  NODES = 10,
  /** Calls without a result by now have not run and will not. */
  GOODBYE = 11,
  /** Requests that were in flight at crashes of upstreams of the service. */
  SUSPECTS = 12,
}

/**
 * Revision of the frames that a node reads, told in its HELLO. Nodes that tell
 * none (0) take a kind that they do not know for a fault and end the link.
 */
export const FRAME_REVISION = 1;
/** First revision with GOODBYE. */
export const GOODBYE_REVISION = 1;
/** First revision that passes over kinds which it does not know. */
export const TOLERANT_REVISION = 1;

/** A message between two nodes. */
export type Frame =
  | {
      readonly kind: FrameKind.HELLO;
      readonly node: NodeRecord;
      readonly report: NodeReport;
      readonly revision: number;
    }
  | {
      readonly kind: FrameKind.CALL;
      readonly id: number;
      readonly call: OutgoingCall;
    }
  | {readonly kind: FrameKind.CANCEL; readonly id: number}
  | {
      readonly kind: FrameKind.RESULT;
      readonly id: number;
      readonly result: CallResult;
      readonly report: NodeReport;
    }
  | {readonly kind: FrameKind.PING; readonly report: NodeReport}
  | {readonly kind: FrameKind.REPORT; readonly report: NodeReport}
  | {readonly kind: FrameKind.GET_CONFIGURATION}
  | {readonly kind: FrameKind.CONFIGURATION; readonly content: Uint8Array}
  | {readonly kind: FrameKind.GET_NODES}
  | {readonly kind: FrameKind.NODES; readonly nodes: readonly NodeRecord[]}
  | {readonly kind: FrameKind.GOODBYE}
  | {
      readonly kind: FrameKind.SUSPECTS;
      readonly suspects: readonly CrashSuspect[];
    };

const LENGTH_BYTES = 4;
const packr = new Packr({useRecords: false});

/** Renders a frame. */
export function encodeFrame(frame: Frame): Buffer {
  const content = packr.pack(buildFields(frame));
  const message = Buffer.allocUnsafe(LENGTH_BYTES + content.length);
  message.writeUInt32BE(content.length, 0);
  content.copy(message, LENGTH_BYTES);
  return message;
}

/** A peer that does not speak the protocol. */
export class FrameError extends SycamoreyokeError {}

/** What a reader of frames needs of its link. */
export interface FrameReaderParts {
  readonly handle: (frame: Frame) => void;
  /** Bytes of unfinished frames, of all links together. */
  readonly budget: ByteBudget<FrameReader>;
  /** Called when the link has to close for the sake of the others. */
  readonly handleExcess: (message: string) => void;
}

/** Cuts a stream of bytes into frames. */
export class FrameReader {
  private bytes = new ByteList();
  private wanted = LENGTH_BYTES;
  private isInContent = false;
  private isClosed = false;

  constructor(private readonly parts: FrameReaderParts) {}

  /** Takes bytes in and hands on each frame that is complete. */
  add(chunk: Buffer): void {
    if (this.isClosed) return;
    this.bytes.add(chunk);
    while (this.bytes.readLength() >= this.wanted) {
      const part = this.take(this.wanted);
      if (this.isInContent) {
        this.isInContent = false;
        this.wanted = LENGTH_BYTES;
        const frame = decodeFrame(part);
        if (frame) this.parts.handle(frame);
      } else {
        this.wanted = part.readUInt32BE(0);
        this.isInContent = true;
        if (this.wanted > MAX_FRAME_BYTES) {
          throw new FrameError(`frame of ${this.wanted} bytes is too large`);
        }
      }
    }
    this.reserveBytes();
  }

  /** Gives the bytes of an unfinished frame up. */
  close(): void {
    this.isClosed = true;
    this.bytes = new ByteList();
    this.parts.budget.release(this);
  }

  private reserveBytes(): void {
    const {budget} = this.parts;
    budget.release(this);
    const length = this.bytes.readLength();
    if (length === 0 || this.isClosed) return;
    budget.reserve(this, length)?.closeForOthers();
  }

  private closeForOthers(): void {
    this.close();
    this.parts.handleExcess('unfinished frames are too large together');
  }

  private take(length: number): Buffer {
    const whole = this.bytes.join();
    this.bytes = new ByteList();
    if (whole.length > length) this.bytes.add(whole.subarray(length));
    return whole.subarray(0, length);
  }
}

/** Writes a frame unless the socket is gone. */
export function sendFrame(socket: Socket, frame: Frame): void {
  if (socket.writable) socket.write(encodeFrame(frame));
}

/** Fields go by their position: links between data centres are paid for. */
type Fields = readonly unknown[];

type NodeFields = readonly [string, string, string, string, string, number];

type ReportFields = readonly [
  version: number,
  isAvailable: boolean,
  isDraining: boolean,
  limit: number,
  running: number,
  waiting: number,
  meanServiceMs: number,
];

type CallFields = readonly [
  requestId: string,
  service: string,
  callerService: string,
  kind: string,
  method: string,
  path: string,
  headers: HeaderList,
  body: Uint8Array,
  leftMs: number,
  usefulMs: number,
  importance: Importance,
  isIdempotent: boolean,
];

type ResultFields = readonly [
  end: SendEnd,
  reason: GateReason | null,
  retryAfterMs: number,
  status: number,
  headers: HeaderList,
  body: Uint8Array,
];

type CrashFields = readonly [
  crashId: string,
  inFlight: number,
  identities: readonly string[],
];

function buildFields(frame: Frame): Fields {
  const {kind} = frame;
  switch (kind) {
    case FrameKind.HELLO:
      return [
        kind,
        buildNode(frame.node),
        buildReport(frame.report),
        frame.revision,
      ];
    case FrameKind.CALL:
      return [kind, frame.id, buildCall(frame.call)];
    case FrameKind.CANCEL:
      return [kind, frame.id];
    case FrameKind.RESULT:
      return [
        kind,
        frame.id,
        buildResult(frame.result),
        buildReport(frame.report),
      ];
    case FrameKind.PING:
    case FrameKind.REPORT:
      return [kind, buildReport(frame.report)];
    case FrameKind.CONFIGURATION:
      return [kind, frame.content];
    case FrameKind.NODES:
      return [kind, frame.nodes.map(buildNode)];
    case FrameKind.SUSPECTS:
      return [kind, buildCrashes(frame.suspects)];
    case FrameKind.GET_CONFIGURATION:
    case FrameKind.GET_NODES:
    case FrameKind.GOODBYE:
      return [kind];
  }
}

/** Gives nothing for a kind that only nodes of a later version know. */
function decodeFrame(content: Buffer): Frame | undefined {
  const fields: unknown = packr.unpack(content);
  if (!Array.isArray(fields)) throw new FrameError('frame is not a list');
  const [kind, first, second, third] = fields as [FrameKind, ...unknown[]];
  switch (kind) {
    case FrameKind.HELLO:
      return {
        kind,
        node: readNode(first as NodeFields),
        report: readReport(second as ReportFields),
        revision: Number(third ?? 0),
      };
    case FrameKind.CALL:
      return {
        kind,
        id: first as number,
        call: readCall(second as CallFields),
      };
    case FrameKind.CANCEL:
      return {kind, id: first as number};
    case FrameKind.RESULT:
      return {
        kind,
        id: first as number,
        result: readResult(second as ResultFields),
        report: readReport(third as ReportFields),
      };
    case FrameKind.PING:
    case FrameKind.REPORT:
      return {kind, report: readReport(first as ReportFields)};
    case FrameKind.CONFIGURATION:
      return {kind, content: first as Uint8Array};
    case FrameKind.NODES:
      return {kind, nodes: (first as readonly NodeFields[]).map(readNode)};
    case FrameKind.SUSPECTS:
      return {kind, suspects: readCrashes(first as readonly CrashFields[])};
    case FrameKind.GET_CONFIGURATION:
    case FrameKind.GET_NODES:
    case FrameKind.GOODBYE:
      return {kind};
    default:
      return undefined;
  }
}

function buildNode(node: NodeRecord): NodeFields {
  const {host, port} = node.address;
  const {incarnation, service, dataCentre} = node;
  return [node.node, incarnation, service, dataCentre, host, port];
}

function readNode(fields: NodeFields): NodeRecord {
  const [node, incarnation, service, dataCentre, host, port] = fields;
  return {node, incarnation, service, dataCentre, address: {host, port}};
}

/** Suspects of one crash share its id. */
function buildCrashes(suspects: readonly CrashSuspect[]): CrashFields[] {
  const crashes = new Map<string, [string, number, string[]]>();
  for (const {crashId, inFlight, identity} of suspects) {
    const crash = crashes.get(crashId) ?? [crashId, inFlight, []];
    crash[2].push(identity);
    crashes.set(crashId, crash);
  }
  return [...crashes.values()];
}

function readCrashes(crashes: readonly CrashFields[]): CrashSuspect[] {
  return crashes.flatMap(([crashId, inFlight, identities]) =>
    identities.map((identity) => ({crashId, inFlight, identity})),
  );
}

function buildReport({configurationVersion, load}: NodeReport): ReportFields {
  return [
    configurationVersion,
    load.isAvailable,
    load.isDraining,
    load.limit,
    load.running,
    load.waiting,
    load.meanServiceMs,
  ];
}

function readReport(fields: ReportFields): NodeReport {
  const [configurationVersion, isAvailable, isDraining, ...numbers] = fields;
  const [limit, running, waiting, meanServiceMs] = numbers;
  return {
    configurationVersion,
    load: {isAvailable, isDraining, limit, running, waiting, meanServiceMs},
  };
}

function buildCall(call: OutgoingCall): CallFields {
  return [
    call.requestId,
    call.service,
    call.callerService,
    call.kind,
    call.method,
    call.path,
    call.headers,
    call.body,
    Math.round(call.leftMs),
    Math.round(call.usefulMs),
    call.importance,
    call.isIdempotent,
  ];
}

function readCall(fields: CallFields): OutgoingCall {
  const [requestId, service, callerService, kind, method, path, ...rest] =
    fields;
  const [headers, body, leftMs, usefulMs, importance, isIdempotent] = rest;
  return {
    requestId,
    service,
    callerService,
    kind,
    method,
    path,
    headers,
    body,
    leftMs,
    usefulMs,
    importance,
    isIdempotent,
  };
}

function buildResult(result: CallResult): ResultFields {
  const {end, reason, retryAfterMs, status, headers, body} = result;
  return [end, reason ?? null, retryAfterMs, status, headers, body];
}

function readResult(fields: ResultFields): CallResult {
  const [end, reason, retryAfterMs, status, headers, body] = fields;
  return {
    end,
    reason: reason ?? undefined,
    retryAfterMs,
    status,
    headers,
    body,
  };
}
