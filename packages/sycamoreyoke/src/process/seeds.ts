/** Seed rows in the table and their mirror objects, for peer discovery. */
import type {TableRow, TableTransaction} from '../platform.js';
import {
  MIRROR_REFRESH_MS,
  SEED_REFRESH_MS,
  SEED_RETENTION_MS,
  SEED_SLOTS,
} from './constants.js';
import type {MemberUpdate} from './membershipMessages.js';
import {hashText} from './memberTable.js';
import {createUpdate} from './tableSync.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/** Maximum number of members in the mirror of a service. */
const MIRROR_MEMBERS = 16;

/** Times at which this node last wrote its seed slots and the mirror, ms. */
export interface SeedState {
  readonly writtenMs: readonly (number | undefined)[];
  readonly mirroredMs: number | undefined;
}

export const EMPTY_SEED_STATE: SeedState = {
  writtenMs: [],
  mirroredMs: undefined,
};

/** Returns the key prefix of the seed rows of a service. */
export function formatSeedPrefix(service: string): string {
  return `seeds/${service}/`;
}

/** Returns the name of the object that mirrors the rows of a service. */
export function formatMirrorName(service: string): string {
  return `seeds/${service}.json`;
}

/**
 * Returns the owner of each slot by rendezvous hashing of slot and incarnation,
 * so that few slots change owner when a member joins or leaves.
 */
export function computeSeedOwners(
  members: readonly Member[],
): Array<Member | undefined> {
  const active = members.filter(({state}) => state === MemberState.ACTIVE);
  const owners: Member[] = [];
  for (let slot = 0; slot < SEED_SLOTS; slot += 1) {
    const free = active.filter((member) => !owners.includes(member));
    const [first, ...rest] = free;
    if (!first) break;
    const compute = ({incarnation}: Member) =>
      hashText(`${slot}/${incarnation}`);
    owners.push(
      rest.reduce((a, b) => (compute(b) > compute(a) ? b : a), first),
    );
  }
  return owners;
}

/** Returns the slots that this node has to write now. */
export function decideSeedSlots(
  owners: ReadonlyArray<Member | undefined>,
  self: string,
  state: SeedState,
  nowMs: number,
): number[] {
  return owners.flatMap((owner, slot) => {
    if (owner?.incarnation !== self) return [];
    const writtenMs = state.writtenMs[slot] ?? -Infinity;
    return nowMs - writtenMs >= SEED_REFRESH_MS ? [slot] : [];
  });
}

/** Records written slots and drops those that this node does not own. */
export function recordSeedSlots(
  owners: ReadonlyArray<Member | undefined>,
  self: string,
  state: SeedState,
  slots: readonly number[],
  nowMs: number,
): SeedState {
  const writtenMs = owners.map((owner, slot) => {
    if (owner?.incarnation !== self) return undefined;
    return slots.includes(slot) ? nowMs : state.writtenMs[slot];
  });
  return {...state, writtenMs};
}

/** Creates unconditional writes of slots, since any live member is a seed. */
export function createSeedTransaction(
  self: Member,
  slots: readonly number[],
): TableTransaction {
  const writes = slots.map((slot) => ({
    key: `${formatSeedPrefix(self.service)}${slot}`,
    value: formatRecord(self),
    retentionMs: SEED_RETENTION_MS,
  }));
  return {checks: [], writes};
}

/** Omits the start time, which is relative to the writer's clock. */
function formatRecord({startedMs: _startedMs, ...record}: Member): string {
  return JSON.stringify(record);
}

/** Returns true if this node owns the first slot and the mirror is due. */
export function isMirrorDue(
  owners: ReadonlyArray<Member | undefined>,
  self: string,
  state: SeedState,
  nowMs: number,
): boolean {
  const isOwner = owners[0]?.incarnation === self;
  const mirroredMs = state.mirroredMs ?? -Infinity;
  return isOwner && nowMs - mirroredMs >= MIRROR_REFRESH_MS;
}

/** Formats up to MIRROR_MEMBERS members, alternating between data centres. */
export function formatMirror(members: readonly Member[]): string {
  const active = members.filter(({state}) => state === MemberState.ACTIVE);
  const byDataCentre = new Map<string, Member[]>();
  for (const member of active) {
    const list = byDataCentre.get(member.dataCentre) ?? [];
    byDataCentre.set(member.dataCentre, [...list, member]);
  }
  const chosen: Member[] = [];
  for (let position = 0; position < MIRROR_MEMBERS; position += 1) {
    for (const list of byDataCentre.values())
      chosen.push(...list.slice(position, position + 1));
  }
  return `[${chosen.slice(0, MIRROR_MEMBERS).map(formatRecord).join(',')}]`;
}

/** Parses seed rows, ignoring malformed ones. */
export function parseSeedRows(rows: readonly TableRow[]): MemberUpdate[] {
  return rows.flatMap(({value}) => parseMembers(`[${value}]`));
}

/** Parses the content of a mirror; returns no contacts if it is malformed. */
export function parseMirror(content: string): MemberUpdate[] {
  return parseMembers(content);
}

function parseMembers(text: string): MemberUpdate[] {
  try {
    const members = JSON.parse(text) as Member[];
    return members.filter(isRecord).map(createUpdate);
  } catch {
    return [];
  }
}

function isRecord(member: Partial<Member> | null): boolean {
  return (
    typeof member?.service === 'string' &&
    typeof member.incarnation === 'string' &&
    typeof member.address === 'string' &&
    typeof member.controlPort === 'number' &&
    typeof member.counter === 'number' &&
    Object.values(MemberState).some((state) => state === member.state)
  );
}
