/** Computes the encoded sizes of membership messages. */
import {create, toBinary} from '@bufbuild/protobuf';
import {
  AnnounceRequestSchema,
  AnnounceResponseSchema,
  IndirectProbeRequestSchema,
  IndirectProbeResponseSchema,
  ListMembersRequestSchema,
  ListMembersResponseSchema,
  MemberState as WireState,
  ProbeRequestSchema,
  ProbeResponseSchema,
} from '@sycamoreyoke/node/gen/sycamoreyoke/control/v1/control_pb';
import type {
  MemberUpdate,
  MembershipRequest,
  MembershipResponse,
  MessageSender,
} from 'sycamoreyoke/process/membershipMessages';
import {MessageKind} from 'sycamoreyoke/process/membershipMessages';
import {MemberState} from 'sycamoreyoke/process/types';

const WIRE_STATES: Readonly<Record<MemberState, WireState>> = {
  [MemberState.JOINING]: WireState.JOINING,
  [MemberState.ACTIVE]: WireState.ACTIVE,
  [MemberState.SUSPECT]: WireState.SUSPECT,
  [MemberState.LEAVING]: WireState.LEAVING,
  [MemberState.DEAD]: WireState.DEAD,
};
const PROTOCOL_FIELDS = {protocolVersion: 1};

/** Returns the encoded size of a request in bytes, without framing. */
export function computeRequestBytes(request: MembershipRequest): number {
  const sender = createSender(request.sender);
  const commonFields = {...PROTOCOL_FIELDS, sender};
  if (request.kind === MessageKind.PROBE) {
    const {target, targetCounter, membersHash} = request;
    const targetState = WIRE_STATES[request.targetState];
    const updates = request.updates.map(createUpdate);
    const fields = {target, targetCounter, targetState, updates, membersHash};
    const message = create(ProbeRequestSchema, {...commonFields, ...fields});
    return toBinary(ProbeRequestSchema, message).length;
  }
  if (request.kind === MessageKind.INDIRECT_PROBE) {
    const state = WIRE_STATES[request.target.state];
    const target = {...request.target, state};
    const message = create(IndirectProbeRequestSchema, {
      ...commonFields,
      target,
    });
    return toBinary(IndirectProbeRequestSchema, message).length;
  }
  if (request.kind === MessageKind.ANNOUNCE) {
    const updates = request.updates.map(createUpdate);
    const message = create(AnnounceRequestSchema, {...commonFields, updates});
    return toBinary(AnnounceRequestSchema, message).length;
  }
  const message = create(ListMembersRequestSchema, {
    ...commonFields,
    service: request.service,
    informant: request.informant,
    sinceSequence: BigInt(request.sinceSequence),
    bucketHashes: [...request.bucketHashes],
    changedWithinMs: BigInt(Math.round(request.changedWithinMs)),
    unreachable: request.unreachable.map(createIncarnation),
  });
  return toBinary(ListMembersRequestSchema, message).length;
}

/** Returns the encoded size of a response in bytes, without framing. */
export function computeResponseBytes(response: MembershipResponse): number {
  const commonFields = {
    ...PROTOCOL_FIELDS,
    sender: createSender(response.sender),
  };
  if (response.kind === MessageKind.PROBE) {
    const updates = response.updates.map(createUpdate);
    const {membersHash} = response;
    const message = create(ProbeResponseSchema, {
      ...commonFields,
      updates,
      membersHash,
    });
    return toBinary(ProbeResponseSchema, message).length;
  }
  if (response.kind === MessageKind.INDIRECT_PROBE) {
    const {reached, refused} = response;
    const fields = {...commonFields, reached, refused};
    const message = create(IndirectProbeResponseSchema, fields);
    return toBinary(IndirectProbeResponseSchema, message).length;
  }
  if (response.kind === MessageKind.ANNOUNCE) {
    const message = create(AnnounceResponseSchema, commonFields);
    return toBinary(AnnounceResponseSchema, message).length;
  }
  const {sequence, isDelta} = response;
  const message = create(ListMembersResponseSchema, {
    ...commonFields,
    sequence: BigInt(sequence),
    isDelta,
    members: response.members.map(createUpdate),
  });
  return toBinary(ListMembersResponseSchema, message).length;
}

function createSender({service, incarnation}: MessageSender) {
  const wallMs = 1_796_000_000_000n;
  return {service, incarnation, configurationVersion: 6_570_000n, wallMs};
}

function createIncarnation(incarnation: string): Uint8Array {
  return Uint8Array.from(Buffer.from(incarnation, 'hex'));
}

function createUpdate(update: MemberUpdate) {
  const {incarnation, counter, state, observer, record} = update;
  const shortUpdate = {
    incarnation: createIncarnation(incarnation),
    counter,
    state: WIRE_STATES[state],
    observer,
  };
  if (!record) return shortUpdate;
  const wireRecord = {
    ...record,
    state: WIRE_STATES[record.state],
    ageMs: 86_400_000n,
  };
  return {...shortUpdate, record: wireRecord};
}
