/** Seeded schedule of faults, alone and two at a time. */
import type {Random} from 'sycamoreyoke/random';
import {takeInteger} from 'sycamoreyoke/random';

export enum FaultKind {
  KILL_NODE = 'kill-node',
  KILL_UPSTREAM = 'kill-upstream',
  PAUSE_NODE = 'pause-node',
  PAUSE_UPSTREAM = 'pause-upstream',
  TABLE_OUTAGE = 'table-outage',
  SLOW_PLATFORM = 'slow-platform',
  LOST_ANSWERS = 'lost-answers',
  STOP_NODE = 'stop-node',
  TWO_PUBLISHES = 'two-publishes',
}

/** One fault; `target` is the index of the seat, where it has one. */
export interface Fault {
  readonly kind: FaultKind;
  readonly target: number;
  readonly durationMs: number;
}

const MIN_DURATION_MS = 1_500;
const MAX_DURATION_MS = 4_000;
const PAIR_SHARE = 0.5;

function createFault(kind: FaultKind, target: number, random: Random): Fault {
  const spanMs = MAX_DURATION_MS - MIN_DURATION_MS;
  return {
    kind,
    target,
    durationMs: MIN_DURATION_MS + takeInteger(random, spanMs + 1),
  };
}

/**
 * Builds steps of one or two faults. Kinds come in shuffled rounds, so that a
 * short run has each kind; the two faults of a step have different targets.
 */
export function buildSchedule(
  random: Random,
  steps: number,
  seats: number,
): Fault[][] {
  let kinds: FaultKind[] = [];
  const takeKind = (): FaultKind => {
    if (kinds.length === 0) kinds = Object.values(FaultKind);
    const index = takeInteger(random, kinds.length);
    return kinds.splice(index, 1)[0] ?? FaultKind.KILL_NODE;
  };
  return Array.from({length: steps}, () => {
    const first = takeInteger(random, seats);
    const faults = [createFault(takeKind(), first, random)];
    if (random() >= PAIR_SHARE) return faults;
    const second = (first + 1 + takeInteger(random, seats - 1)) % seats;
    return [...faults, createFault(takeKind(), second, random)];
  });
}
