/** Maps members between the library and the wire. */
import {create} from '@bufbuild/protobuf';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import type {Member as WireMember} from '../gen/sycamoreyoke/control/v1/control_pb.js';
import {
  MemberSchema,
  MemberState as WireState,
} from '../gen/sycamoreyoke/control/v1/control_pb.js';

const TO_WIRE: Readonly<Record<MemberState, WireState>> = {
  [MemberState.JOINING]: WireState.JOINING,
  [MemberState.ACTIVE]: WireState.ACTIVE,
  [MemberState.SUSPECT]: WireState.SUSPECT,
  [MemberState.LEAVING]: WireState.LEAVING,
  [MemberState.DEAD]: WireState.DEAD,
};

const FROM_WIRE: ReadonlyMap<WireState, MemberState> = new Map(
  Object.values(MemberState).map((state) => [TO_WIRE[state], state]),
);

/** Encodes a member. */
export function encodeMember(member: Member): WireMember {
  return create(MemberSchema, {...member, state: TO_WIRE[member.state]});
}

/** Decodes members; those with an unknown state are skipped. */
export function decodeMembers(members: readonly WireMember[]): Member[] {
  return members.flatMap((member) => {
    const state = FROM_WIRE.get(member.state);
    if (state === undefined) return [];
    return [
      {
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
      },
    ];
  });
}
