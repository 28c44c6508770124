import type {Clock} from '../clock.js';
import type {Random} from '../random.js';
import {Importance} from '../types.js';
import type {AdmissionLevel} from './types.js';

/** A level is not used for longer than this. */
export const LEVEL_EXPIRY_MS = 1_000;
/** Share of the requests above which a level that refuses them is tested. */
export const PROBE_SHARE = 0.02;
/** Levels kept at once; the oldest is dropped first. */
const LEVEL_CAPACITY = 4_096;

const LEVEL_PATTERN = /^([0-3]);(\d{1,4})$/;

/** Writes a level for the header, as `<lowest importance>;<valid ms>`. */
export function formatLevel(level: AdmissionLevel): string {
  return `${level.lowestAdmitted};${Math.ceil(level.validMs)}`;
}

/** Reads a level from the header; undefined when it is malformed. */
export function parseLevel(text: string): AdmissionLevel | undefined {
  const match = LEVEL_PATTERN.exec(text);
  if (!match) return undefined;
  return {lowestAdmitted: Number(match[1]), validMs: Number(match[2])};
}

interface CachedLevel {
  readonly lowestAdmitted: Importance;
  readonly expiresMs: number;
}

/** Levels of the gates that an egress calls, by incarnation. */
export class LevelCache {
  private readonly levels = new Map<string, CachedLevel>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Takes note of the level that a response carried. */
  observe(incarnation: string, level: AdmissionLevel): void {
    this.levels.delete(incarnation);
    // A gate that admits everything needs no entry.
    if (level.lowestAdmitted === Importance.LOW) return;
    this.removeOldest();
    this.levels.set(incarnation, {
      lowestAdmitted: level.lowestAdmitted,
      expiresMs: this.clock.readMs() + Math.min(level.validMs, LEVEL_EXPIRY_MS),
    });
  }

  /** Whether the gate admits the importance, as far as is known. */
  isAdmitted(incarnation: string, importance: Importance): boolean {
    if (importance === Importance.CRITICAL) return true;
    const level = this.levels.get(incarnation);
    if (!level || importance >= level.lowestAdmitted) return true;
    if (this.clock.readMs() < level.expiresMs) return false;
    this.levels.delete(incarnation);
    return true;
  }

  /** Whether a request that all gates would refuse is sent nevertheless. */
  isProbe(): boolean {
    return this.random() < PROBE_SHARE;
  }

  count(): number {
    return this.levels.size;
  }

  private removeOldest(): void {
    if (this.levels.size < LEVEL_CAPACITY) return;
    const oldest = this.levels.keys().next();
    if (!oldest.done) this.levels.delete(oldest.value);
  }
}
