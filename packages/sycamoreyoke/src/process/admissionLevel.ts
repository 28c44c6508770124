import type {Clock} from '../clock.js';
import type {Random} from '../random.js';
import {Importance} from '../types.js';
import type {AdmissionLevel} from './types.js';

/** Maximum time for which a cached admission level applies. */
export const MAX_LEVEL_AGE_MS = 1_000;
/**
 * Share of the requests that are sent although the cached level refuses them,
 * to find out whether the gate admits them again.
 */
export const PROBE_SHARE = 0.02;
/** Maximum number of cached levels; the oldest is evicted first. */
const MAX_CACHED_LEVELS = 4_096;

const LEVEL_PATTERN = /^([0-3]);(\d{1,4})$/;

/**
 * Formats an admission level for the header, as
 * `<lowest admitted importance>;<validity in ms>`.
 */
export function formatLevel(level: AdmissionLevel): string {
  return `${level.lowestAdmitted};${Math.ceil(level.validMs)}`;
}

/** Parses the header of an admission level; undefined if malformed. */
export function parseLevel(text: string): AdmissionLevel | undefined {
  const match = LEVEL_PATTERN.exec(text);
  if (!match) return undefined;
  return {lowestAdmitted: Number(match[1]), validMs: Number(match[2])};
}

interface CachedLevel {
  readonly lowestAdmitted: Importance;
  readonly expiresMs: number;
}

/**
 * Caches the admission levels that the called members reported, by incarnation,
 * so that requests they would refuse are not sent.
 */
export class AdmissionLevelCache {
  private readonly levels = new Map<string, CachedLevel>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Records the level that a response carried. */
  observe(incarnation: string, level: AdmissionLevel): void {
    this.levels.delete(incarnation);
    // A gate that admits everything needs no entry.
    if (level.lowestAdmitted === Importance.LOW) return;
    this.removeOldest();
    this.levels.set(incarnation, {
      lowestAdmitted: level.lowestAdmitted,
      expiresMs:
        this.clock.readMs() + Math.min(level.validMs, MAX_LEVEL_AGE_MS),
    });
  }

  /**
   * Whether the member admits requests of this importance. True if no valid
   * level is cached, and always for CRITICAL.
   */
  isAdmitted(incarnation: string, importance: Importance): boolean {
    if (importance === Importance.CRITICAL) return true;
    const level = this.levels.get(incarnation);
    if (!level || importance >= level.lowestAdmitted) return true;
    if (this.clock.readMs() < level.expiresMs) return false;
    this.levels.delete(incarnation);
    return true;
  }

  /**
   * Decides at random whether to send a request although the cached levels of
   * all members refuse it.
   */
  isProbe(): boolean {
    return this.random() < PROBE_SHARE;
  }

  count(): number {
    return this.levels.size;
  }

  private removeOldest(): void {
    if (this.levels.size < MAX_CACHED_LEVELS) return;
    const oldest = this.levels.keys().next();
    if (!oldest.done) this.levels.delete(oldest.value);
  }
}
