/** Encodes frames: a length prefix and a MessagePack array. */
import type {Socket} from 'node:net';
import {Packr} from 'msgpackr';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import {SendEnd} from 'sycamoreyoke/request/resend';
import type {
  CallResult,
  GateReason,
  HeaderList,
  LeavingNotice,
  NodeRecord,
  NodeReport,
} from '../types.js';
import {isAddress} from '../types.js';
import type {Frame} from './frame.js';
import {FrameKind} from './frame.js';
import {countBytes} from './bodyBytes.js';
import {buildCall, readCall} from './callFields.js';
import type {LargeBody} from './frameParts.js';
import {buildBody, encodeParts} from './frameParts.js';
import {
  FrameError,
  readAmount,
  readBytes,
  readCount,
  readDelay,
  readFlag,
  readHeaders,
  readInteger,
  readList,
  readMember,
  readName,
} from './frameFields.js';
import {buildAsks, buildGrants, readAsks, readGrants} from './tokenFrames.js';

/** Size of the length prefix of a frame, big-endian. */
export const LENGTH_BYTES = 4;
const packr = new Packr({useRecords: false});
const SEND_ENDS: ReadonlySet<SendEnd> = new Set(Object.values(SendEnd));

/** Encodes a frame with its length prefix. */
export function encodeFrame(frame: Frame): Buffer {
  return Buffer.concat(encodeFrameParts(frame));
}

/** Encodes a frame as buffers that follow one another. */
function encodeFrameParts(frame: Frame): readonly Uint8Array[] {
  const parts = encodeParts(packr, buildFields(frame));
  const prefix = Buffer.allocUnsafe(LENGTH_BYTES);
  prefix.writeUInt32BE(countBytes(parts), 0);
  return [prefix, ...parts];
}

/** Writes a frame unless the socket is closed. */
export function sendFrame(socket: Socket, frame: Frame): void {
  if (!socket.writable) return;
  const parts = encodeFrameParts(frame);
  // The length and the content of a small frame are written at once.
  if (parts.length <= 2) {
    socket.write(Buffer.concat(parts));
    return;
  }
  socket.cork();
  for (const part of parts) socket.write(part);
  socket.uncork();
}

/**
 * Fields are identified by their position, which saves bytes: traffic between
 * data centres is paid for.
 */
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

type ResultFields = readonly [
  end: SendEnd,
  reason: GateReason | null,
  retryAfterMs: number,
  status: number,
  headers: HeaderList,
  body: Uint8Array | LargeBody,
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
        ...buildSession(frame.session, frame.epoch),
      ];
    case FrameKind.CALL:
      return [
        kind,
        frame.id,
        buildCall(frame.call),
        ...(frame.sentMs === undefined ? [] : [frame.sentMs]),
        ...(frame.acknowledgedIds?.length ? [frame.acknowledgedIds] : []),
      ];
    case FrameKind.RESUME:
      return [kind, frame.pendingIds];
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
      return [
        kind,
        buildReport(frame.report),
        ...(frame.sentMs === undefined ? [] : [frame.sentMs]),
      ];
    case FrameKind.REPORT:
      return [kind, buildReport(frame.report)];
    case FrameKind.CONFIGURATION:
      return [kind, frame.content];
    case FrameKind.NODES:
      return [kind, frame.nodes.map(buildNode)];
    case FrameKind.SUSPECTS:
      return [kind, buildCrashes(frame.suspects)];
    case FrameKind.LEAVINGS:
      return [kind, frame.notice.node, buildLeavings(frame.notice)];
    case FrameKind.TOKENS_ASK:
      return [kind, ...buildAsks(frame.message)];
    case FrameKind.TOKENS_GRANT:
      return [kind, ...buildGrants(frame.message)];
    case FrameKind.GET_CONFIGURATION:
    case FrameKind.GET_NODES:
    case FrameKind.GOODBYE:
    case FrameKind.RESUMED:
      return [kind];
  }
}

/**
 * Decodes a frame without its length prefix. Returns undefined for an unknown
 * kind, which a newer version may send. Throws an error, mostly a FrameError,
 * if the content is malformed.
 */
export function decodeFrame(content: Buffer): Frame | undefined {
  const fields: unknown = packr.unpack(content);
  if (!Array.isArray(fields)) throw new FrameError('frame is not a list');
  const [kind, first, second, third, fourth, fifth] = fields as [
    FrameKind,
    ...unknown[],
  ];
  switch (kind) {
    case FrameKind.HELLO:
      return {
        kind,
        node: readNode(first),
        report: readReport(second),
        revision: readCount(third ?? 0),
        ...(fourth ? {session: readName(fourth)} : {}),
        ...(fifth === undefined ? {} : {epoch: readCount(fifth)}),
      };
    case FrameKind.CALL:
      return {
        kind,
        id: readCount(first),
        call: readCall(second),
        sentMs: third === undefined ? undefined : readAmount(third),
        ...(fourth === undefined ? {} : {acknowledgedIds: readIds(fourth)}),
      };
    case FrameKind.RESUME:
      return {kind, pendingIds: readIds(first)};
    case FrameKind.CANCEL:
      return {kind, id: readCount(first)};
    case FrameKind.RESULT:
      return {
        kind,
        id: readCount(first),
        result: readResult(second),
        report: readReport(third),
      };
    case FrameKind.PING:
      return {
        kind,
        report: readReport(first),
        ...(second === undefined ? {} : {sentMs: readAmount(second)}),
      };
    case FrameKind.REPORT:
      return {kind, report: readReport(first)};
    case FrameKind.CONFIGURATION:
      return {kind, content: readBytes(first)};
    case FrameKind.NODES:
      return {kind, nodes: readNodes(first)};
    case FrameKind.SUSPECTS:
      return {kind, suspects: readCrashes(first)};
    case FrameKind.TOKENS_ASK:
      return {kind, message: readAsks(first, second)};
    case FrameKind.TOKENS_GRANT:
      return {kind, message: readGrants(first, second, third)};
    case FrameKind.LEAVINGS: {
      const node = readName(first);
      return {kind, notice: {node, leavings: readLeavings(second)}};
    }
    case FrameKind.GET_CONFIGURATION:
    case FrameKind.GET_NODES:
    case FrameKind.GOODBYE:
    case FrameKind.RESUMED:
      return {kind};
    default:
      return undefined;
  }
}

function buildSession(session?: string, epoch?: number): Fields {
  if (epoch !== undefined) return [session ?? null, epoch];
  return session === undefined ? [] : [session];
}

function readIds(value: unknown): readonly number[] {
  return readList(value).map(readCount);
}

function buildNode(node: NodeRecord): NodeFields {
  const {host, port} = node.address;
  const {incarnation, service, dataCentre} = node;
  return [node.node, incarnation, service, dataCentre, host, port];
}

function readNode(value: unknown): NodeRecord {
  const [node, incarnation, service, dataCentre, host, port] = readList(value);
  const address = {host: readName(host), port: readCount(port)};
  if (!isAddress(address)) throw new FrameError('node has no valid address');
  return {
    node: readName(node),
    incarnation: readName(incarnation),
    service: readName(service),
    dataCentre: readName(dataCentre),
    address,
  };
}

/** Reads a list of nodes and skips the malformed ones. */
function readNodes(value: unknown): readonly NodeRecord[] {
  return readList(value).flatMap((fields) => {
    try {
      return [readNode(fields)];
    } catch (error) {
      if (error instanceof FrameError) return [];
      throw error;
    }
  });
}

/** Groups suspects by their crash, whose id is sent once. */
function buildCrashes(suspects: readonly CrashSuspect[]): CrashFields[] {
  const crashes = new Map<string, [string, number, string[]]>();
  for (const {crashId, inFlight, identity} of suspects) {
    const crash = crashes.get(crashId) ?? [crashId, inFlight, []];
    crash[2].push(identity);
    crashes.set(crashId, crash);
  }
  return [...crashes.values()];
}

function readCrashes(value: unknown): CrashSuspect[] {
  return readList(value).flatMap((crash) => {
    const [crashId, inFlight, identities] = readList(crash);
    const shared = {crashId: readName(crashId), inFlight: readCount(inFlight)};
    return readList(identities).map((identity) => ({
      ...shared,
      identity: readName(identity),
    }));
  });
}

function buildLeavings({leavings}: LeavingNotice): Fields {
  return leavings.map(({instance, bornMs, announcedMs}) => [
    instance,
    bornMs ?? null,
    announcedMs ?? null,
  ]);
}

function readLeavings(value: unknown): UpstreamLeaving[] {
  return readList(value).map((fields) => {
    const [instance, bornMs, announcedMs] = readList(fields);
    return {
      instance: readName(instance),
      bornMs: bornMs === null ? undefined : readInteger(bornMs),
      announcedMs: announcedMs === null ? undefined : readInteger(announcedMs),
    };
  });
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

function readReport(value: unknown): NodeReport {
  const [version, isAvailable, isDraining, ...numbers] = readList(value);
  const [limit, running, waiting, meanServiceMs] = numbers;
  return {
    configurationVersion: readCount(version),
    load: {
      isAvailable: readFlag(isAvailable),
      isDraining: readFlag(isDraining),
      limit: readAmount(limit),
      running: readAmount(running),
      waiting: readAmount(waiting),
      meanServiceMs: readAmount(meanServiceMs),
    },
  };
}

function buildResult(result: CallResult): ResultFields {
  const {end, reason, retryAfterMs, status, headers, body} = result;
  return [end, reason ?? null, retryAfterMs, status, headers, buildBody(body)];
}

function readResult(value: unknown): CallResult {
  const [end, reason, retryAfterMs, status, headers, body] = readList(value);
  return {
    end: readMember(SEND_ENDS, end),
    // A node of a newer version may send other reasons.
    reason: typeof reason === 'string' ? (reason as GateReason) : undefined,
    retryAfterMs: readDelay(retryAfterMs),
    status: readCount(status),
    headers: readHeaders(headers),
    body: readBytes(body),
  };
}
