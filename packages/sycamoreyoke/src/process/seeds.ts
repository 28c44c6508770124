/** Rows of the table and objects of the store that lead new nodes to peers. */
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

/** Members in the mirror of a service, at most. */
const MIRROR_MEMBERS = 16;

/** When this node last wrote each of the slots that it owns. */
export interface SeedState {
  readonly writtenMs: readonly (number | undefined)[];
  readonly mirroredMs: number | undefined;
}

export const EMPTY_SEED_STATE: SeedState = {
  writtenMs: [],
  mirroredMs: undefined,
};

/** Prefix of the rows of a service. */
export function formatSeedPrefix(service: string): string {
  return `seeds/${service}/`;
}

/** Name of the object that mirrors the rows of a service. */
export function formatMirrorName(service: string): string {
  return `seeds/${service}.json`;
}

/**
 * The member that keeps each slot: the highest hash of slot and incarnation,
 * so that a change of one member moves few slots.
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

/** Slots that this node has to write now. */
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

/** Takes note of written slots; slots of others are forgotten. */
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

/** The write of slots; the last writer wins, since any live row will do. */
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

/** The start is left out: it is on the clock of the writer. */
function formatRecord({startedMs: _startedMs, ...record}: Member): string {
  return JSON.stringify(record);
}

/** The owner of the first slot keeps the mirror. */
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

/** Members for the mirror, those of all data centres in turn. */
export function formatMirror(members: readonly Member[]): string {
  const active = members.filter(({state}) => state === MemberState.ACTIVE);
  const byDataCentre = new Map<string, Member[]>();
  for (const member of active) {
    const list = byDataCentre.get(member.dataCentre) ?? [];
    byDataCentre.set(member.dataCentre, [...list, member]);
  }
  const chosen: Member[] = [];
  for (let turn = 0; turn < MIRROR_MEMBERS; turn += 1) {
    for (const list of byDataCentre.values())
      chosen.push(...list.slice(turn, turn + 1));
  }
  return `[${chosen.slice(0, MIRROR_MEMBERS).map(formatRecord).join(',')}]`;
}

/** Contacts of rows read; rows that cannot be read are left out. */
export function parseSeedRows(rows: readonly TableRow[]): MemberUpdate[] {
  return rows.flatMap(({value}) => parseMembers(`[${value}]`));
}

/** Contacts of a mirror read. */
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
