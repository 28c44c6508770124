import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import type {Member, MemberFilter} from './types.js';
import {MemberState} from './types.js';

/** Random draws before falling back to a scan. */
const MAX_RANDOM_DRAWS = 4;
/** Maximum members to scan, which bounds the time of a choice. */
const MAX_SCANNED_MEMBERS = 64;

/**
 * Returns a random allowed member: a few random draws, then a scan. Returns
 * undefined if neither finds one.
 */
export function chooseRandomMember(
  random: Random,
  members: readonly Member[],
  isAllowed: MemberFilter,
): Member | undefined {
  if (members.length === 0) return undefined;
  let index = 0;
  for (let draw = 0; draw < MAX_RANDOM_DRAWS; draw += 1) {
    index = takeInteger(random, members.length);
    const member = members[index];
    if (member && isAllowed(member)) return member;
  }
  const scanned = Math.min(MAX_SCANNED_MEMBERS, members.length);
  for (let step = 1; step <= scanned; step += 1) {
    const member = members[(index + step) % members.length];
    if (member && isAllowed(member)) return member;
  }
  return undefined;
}

/** Members of one service; local and remote hold only the ACTIVE ones. */
export interface MemberGroups {
  readonly all: readonly Member[];
  readonly local: readonly Member[];
  readonly remote: readonly Member[];
}

/** Splits the ACTIVE members into those of the data centre and others. */
export function splitMembers(
  members: readonly Member[],
  dataCentre: string,
): MemberGroups {
  const active = members.filter(({state}) => state === MemberState.ACTIVE);
  return {
    all: members,
    local: active.filter((member) => member.dataCentre === dataCentre),
    remote: active.filter((member) => member.dataCentre !== dataCentre),
  };
}
