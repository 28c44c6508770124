/** Converts members and member updates to and from the wire format. */
import {create} from '@bufbuild/protobuf';
import type {MemberUpdate} from 'sycamoreyoke/process/membershipMessages';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {
  Member as WireMember,
  MemberUpdate as WireUpdate,
} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import {
  MemberSchema,
  MemberState as WireState,
  MemberUpdateSchema,
} from '../gen/sycamoreyoke/control/v1/control_pb.js';

const STATE_TO_WIRE: Readonly<Record<MemberState, WireState>> = {
  [MemberState.JOINING]: WireState.JOINING,
  [MemberState.ACTIVE]: WireState.ACTIVE,
  [MemberState.SUSPECT]: WireState.SUSPECT,
  [MemberState.LEAVING]: WireState.LEAVING,
  [MemberState.DEAD]: WireState.DEAD,
};

const STATE_FROM_WIRE: ReadonlyMap<WireState, MemberState> = new Map(
  Object.values(MemberState).map((state) => [STATE_TO_WIRE[state], state]),
);

/** Encodes a member state. */
export function encodeState(state: MemberState): WireState {
  return STATE_TO_WIRE[state];
}

/** Decodes a member state; undefined when this build does not know it. */
export function decodeState(state: WireState): MemberState | undefined {
  return STATE_FROM_WIRE.get(state);
}

/** Encodes an incarnation: 16 bytes on the wire, hexadecimal elsewhere. */
export function encodeIncarnation(incarnation: string): Uint8Array {
  return Buffer.from(incarnation, 'hex');
}

export function decodeIncarnation(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

/**
 * Encodes a member. The start time is sent as an age in ms, because each
 * process has its own monotonic clock.
 */
export function encodeMember(member: Member, nowMs: number): WireMember {
  const {startedMs, state, ...fields} = member;
  return create(MemberSchema, {
    ...fields,
    state: STATE_TO_WIRE[state],
    ageMs:
      startedMs === undefined
        ? 0n
        : BigInt(Math.max(1, Math.round(nowMs - startedMs))),
  });
}

/** Decodes a member; undefined when its state is unknown. */
export function decodeMember(
  member: WireMember,
  nowMs: number,
): Member | undefined {
  const state = STATE_FROM_WIRE.get(member.state);
  if (state === undefined) return undefined;
  return {
    service: member.service,
    incarnation: member.incarnation,
    counter: member.counter,
    address: member.address,
    peerPort: member.peerPort,
    controlPort: member.controlPort,
    adminPort: member.adminPort,
    publicPort: member.publicPort,
    dataCentre: member.dataCentre,
    region: member.region,
    state,
    weight: member.weight,
    epoch: member.epoch,
    ...(member.ageMs === 0n ? {} : {startedMs: nowMs - Number(member.ageMs)}),
  };
}

/** Encodes member updates. */
export function encodeUpdates(
  updates: readonly MemberUpdate[],
  nowMs: number,
): WireUpdate[] {
  return updates.map(({incarnation, counter, state, observer, record}) =>
    create(MemberUpdateSchema, {
      incarnation: encodeIncarnation(incarnation),
      counter,
      state: STATE_TO_WIRE[state],
      observer,
      ...(record === undefined ? {} : {record: encodeMember(record, nowMs)}),
    }),
  );
}

/** Decodes member updates; those with an unknown state are skipped. */
export function decodeUpdates(
  updates: readonly WireUpdate[],
  nowMs: number,
): MemberUpdate[] {
  return updates.flatMap((update) => {
    const state = STATE_FROM_WIRE.get(update.state);
    if (state === undefined) return [];
    const record = update.record && decodeMember(update.record, nowMs);
    return [
      {
        incarnation: decodeIncarnation(update.incarnation),
        counter: update.counter,
        state,
        observer: update.observer,
        ...(record === undefined ? {} : {record}),
      },
    ];
  });
}
