import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import type {Member, MemberFilter} from './types.js';
import {MemberState} from './types.js';

/** Random draws before the members are scanned. */
const DRAWS = 4;
/** Members that a scan looks at, which bounds the time of a choice. */
const SCANNED = 64;

/** Draws a random member that passes; undefined when none was found. */
export function chooseRandomMember(
  random: Random,
  members: readonly Member[],
  isAllowed: MemberFilter,
): Member | undefined {
  if (members.length === 0) return undefined;
  let index = 0;
  for (let draw = 0; draw < DRAWS; draw += 1) {
    index = takeInteger(random, members.length);
    const member = members[index];
    if (member && isAllowed(member)) return member;
  }
  const scanned = Math.min(SCANNED, members.length);
  for (let step = 1; step <= scanned; step += 1) {
    const member = members[(index + step) % members.length];
    if (member && isAllowed(member)) return member;
  }
  return undefined;
}

/** Members of one service that may get work, by nearness. */
export interface MemberGroups {
  readonly all: readonly Member[];
  readonly near: readonly Member[];
  readonly far: readonly Member[];
}

/** Keeps the ACTIVE members, and apart those of the own data centre. */
export function splitMembers(
  members: readonly Member[],
  dataCentre: string,
): MemberGroups {
  const active = members.filter(({state}) => state === MemberState.ACTIVE);
  return {
    all: members,
    near: active.filter((member) => member.dataCentre === dataCentre),
    far: active.filter((member) => member.dataCentre !== dataCentre),
  };
}
