/** Converts membership messages to and from the wire format. */
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {
  MembershipRequest,
  MembershipResponse,
} from 'sycamoreyoke/process/membershipMessages';
import {MessageKind} from 'sycamoreyoke/process/membershipMessages';
import type {MessageSender} from 'sycamoreyoke/process/membershipMessages';
import {MemberState} from 'sycamoreyoke/process/types';
import type {
  AnnounceRequest,
  IndirectProbeRequest,
  ListMembersRequest,
  ListMembersResponse,
  ProbeRequest,
  ProbeResponse,
  Sender,
} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import type {ControlClient} from './controlClients.js';
import {
  decodeIncarnation,
  decodeMember,
  decodeState,
  decodeUpdates,
  encodeIncarnation,
  encodeMember,
  encodeState,
  encodeUpdates,
} from './memberCodec.js';

/** Protocol version of the messages that this build sends. */
export const PROTOCOL_VERSION = 1;

/** Fields about the sender that every message carries. */
export interface SenderHeader {
  readonly service: string;
  readonly incarnation: string;
  readonly configurationVersion: bigint;
  readonly wallMs: bigint;
  readonly tick: number;
}

const UNKNOWN_SENDER: MessageSender = {service: '', incarnation: ''};

/** Decodes the sender of a message; empty strings when it is missing. */
export function decodeSender(sender: Sender | undefined): MessageSender {
  if (!sender) return UNKNOWN_SENDER;
  return {service: sender.service, incarnation: sender.incarnation};
}

/** Fields of every request; crash suspects are piggybacked on probes. */
export interface RequestHeader {
  readonly protocolVersion: number;
  readonly sender: SenderHeader;
  readonly suspects: readonly CrashSuspect[];
}

/** A decoded response with its sender and piggybacked crash suspects. */
export interface ReceivedResponse {
  readonly response: MembershipResponse;
  readonly sender: Sender | undefined;
  readonly suspects: readonly CrashSuspect[];
}

/** Sends a membership request and decodes its response. */
export async function sendMembershipRequest(
  client: ControlClient,
  request: MembershipRequest,
  {suspects, ...header}: RequestHeader,
  nowMs: () => number,
): Promise<ReceivedResponse> {
  switch (request.kind) {
    case MessageKind.PROBE: {
      const wire = await client.probe({
        ...header,
        target: request.target,
        targetCounter: request.targetCounter,
        targetState: encodeState(request.targetState),
        updates: encodeUpdates(request.updates, nowMs()),
        membersHash: request.membersHash,
        suspects: [...suspects],
      });
      return {
        suspects: wire.suspects,
        response: decodeProbeResponse(wire, nowMs()),
        sender: wire.sender,
      };
    }
    case MessageKind.INDIRECT_PROBE: {
      const wire = await client.indirectProbe({
        ...header,
        target: encodeMember(request.target, nowMs()),
      });
      const response: MembershipResponse = {
        kind: MessageKind.INDIRECT_PROBE,
        sender: decodeSender(wire.sender),
        reached: wire.reached,
        refused: wire.refused,
      };
      return {response, sender: wire.sender, suspects: []};
    }
    case MessageKind.LIST_MEMBERS: {
      const wire = await client.listMembers({
        ...header,
        service: request.service,
        informant: request.informant,
        sinceSequence: BigInt(request.sinceSequence),
        bucketHashes: [...request.bucketHashes],
        changedWithinMs: BigInt(Math.round(request.changedWithinMs)),
        unreachable: request.unreachable.map(encodeIncarnation),
      });
      const response = decodeList(wire, nowMs());
      return {response, sender: wire.sender, suspects: []};
    }
    case MessageKind.ANNOUNCE: {
      const wire = await client.announce({
        ...header,
        updates: encodeUpdates(request.updates, nowMs()),
      });
      const response: MembershipResponse = {
        kind: MessageKind.ANNOUNCE,
        sender: decodeSender(wire.sender),
      };
      return {response, sender: wire.sender, suspects: []};
    }
  }
}

function decodeProbeResponse(
  wire: ProbeResponse,
  nowMs: number,
): MembershipResponse {
  return {
    kind: MessageKind.PROBE,
    sender: decodeSender(wire.sender),
    updates: decodeUpdates(wire.updates, nowMs),
    membersHash: wire.membersHash,
  };
}

function decodeList(
  wire: ListMembersResponse,
  nowMs: number,
): MembershipResponse {
  return {
    kind: MessageKind.LIST_MEMBERS,
    sender: decodeSender(wire.sender),
    sequence: Number(wire.sequence),
    isDelta: wire.isDelta,
    members: decodeUpdates(wire.members, nowMs),
  };
}

/** Decodes a probe; an unknown target state is read as ACTIVE. */
export function decodeProbe(
  wire: ProbeRequest,
  nowMs: number,
): MembershipRequest {
  return {
    kind: MessageKind.PROBE,
    sender: decodeSender(wire.sender),
    target: wire.target,
    targetCounter: wire.targetCounter,
    targetState: decodeState(wire.targetState) ?? MemberState.ACTIVE,
    updates: decodeUpdates(wire.updates, nowMs),
    membersHash: wire.membersHash,
  };
}

/** Decodes an indirect probe; undefined without a decodable target. */
export function decodeIndirectProbe(
  wire: IndirectProbeRequest,
  nowMs: number,
): MembershipRequest | undefined {
  const target = wire.target && decodeMember(wire.target, nowMs);
  if (!target) return undefined;
  const sender = decodeSender(wire.sender);
  return {kind: MessageKind.INDIRECT_PROBE, sender, target};
}

/** Decodes a request for the list of members. */
export function decodeListRequest(wire: ListMembersRequest): MembershipRequest {
  return {
    kind: MessageKind.LIST_MEMBERS,
    sender: decodeSender(wire.sender),
    service: wire.service,
    informant: wire.informant,
    sinceSequence: Number(wire.sinceSequence),
    bucketHashes: wire.bucketHashes,
    changedWithinMs: Number(wire.changedWithinMs),
    unreachable: wire.unreachable.map(decodeIncarnation),
  };
}

/** Decodes an announcement. */
export function decodeAnnounce(
  wire: AnnounceRequest,
  nowMs: number,
): MembershipRequest {
  return {
    kind: MessageKind.ANNOUNCE,
    sender: decodeSender(wire.sender),
    updates: decodeUpdates(wire.updates, nowMs),
  };
}

/** Encodes a membership response. */
export function encodeMembershipResponse(
  response: MembershipResponse,
  nowMs: number,
) {
  switch (response.kind) {
    case MessageKind.PROBE:
      return {
        updates: encodeUpdates(response.updates, nowMs),
        membersHash: response.membersHash,
      };
    case MessageKind.INDIRECT_PROBE:
      return {reached: response.reached, refused: response.refused};
    case MessageKind.LIST_MEMBERS:
      return {
        sequence: BigInt(response.sequence),
        isDelta: response.isDelta,
        members: encodeUpdates(response.members, nowMs),
      };
    case MessageKind.ANNOUNCE:
      return {};
  }
}
