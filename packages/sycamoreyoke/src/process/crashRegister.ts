/** Tracks requests suspected of crashing the upstreams of a service. */
import type {Clock} from '../clock.js';

/** A request is refused for this long after the latest crash it caused. */
export const CRASH_REFUSAL_MS = 5 * 60_000;
/**
 * Crashes are kept for this long. It exceeds the time of a refusal, so that a
 * request that crashes an upstream again after its refusal has ended is
 * refused again at once.
 */
export const CRASH_MEMORY_MS = 2 * CRASH_REFUSAL_MS;
/** Number of crashes after which a request is refused. */
export const CRASHES_UNTIL_REFUSAL = 2;
/**
 * Number of crashes after which requests are refused that were in flight at
 * the same crashes, so that none can be singled out.
 */
export const CRASHES_UNTIL_SHARED_REFUSAL = 3;
/** Maximum number of crashes kept; the oldest is evicted first. */
export const MAX_CRASHES = 256;
/** Maximum number of suspects kept per crash. */
export const MAX_SUSPECTS_PER_CRASH = 512;
/** Maximum number of suspects queued for sending; others stay local. */
export const MAX_OUTGOING_SUSPECTS = 4_096;
/** Bound on the rounding error of sums added up in a different order. */
const ROUNDING_TOLERANCE = 1e-9;
/**
 * Maximum length of an identity in characters: two names, an ID and two
 * separators.
 */
export const MAX_IDENTITY_LENGTH = 192;
/** Maximum length of a crash ID in characters. */
export const MAX_CRASH_ID_LENGTH = 64;

/** A request that was in flight when an upstream crashed. */
export interface CrashSuspect {
  /** The same for each attempt of the request. */
  readonly identity: string;
  /** Unique per crash: the incarnation of the node and a number. */
  readonly crashId: string;
  /** Number of requests that were in flight at the crash. */
  readonly inFlight: number;
}

interface Crash {
  readonly learnedMs: number;
  readonly inFlight: number;
  readonly identities: Set<string>;
}

interface OutgoingSuspect {
  readonly suspect: CrashSuspect;
  readonly sendsLeft: number;
}

/** Whether a request is refused, and for how long. */
export interface CrashVerdict {
  readonly isRefused: boolean;
  /** Remaining time of the refusal, ms; 0 if the request is not refused. */
  readonly retryAfterMs: number;
}

const ACCEPTED: CrashVerdict = {isRefused: false, retryAfterMs: 0};

/**
 * Holds the crashes that a node knows of and the requests suspected of causing
 * them, and decides which requests to refuse.
 */
export class CrashRegister {
  /** Crashes by ID, in the order in which this node learned of them. */
  private readonly crashes = new Map<string, Crash>();
  private readonly crashIdsByIdentity = new Map<string, Set<string>>();
  /** When refusals decided by other nodes end, by identity; oldest first. */
  private readonly remoteRefusalEndsMs = new Map<string, number>();
  private outgoing: OutgoingSuspect[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Records a crash of this node's upstream and returns the suspects. Each
   * suspect is sent `sends` times to other members; the membership derives that
   * number from the size of the service.
   */
  recordCrash(
    crashId: string,
    inFlight: readonly string[],
    sends: number,
  ): readonly CrashSuspect[] {
    const identities = [...new Set(inFlight)];
    const suspects = identities.map((identity) => ({
      identity,
      crashId,
      inFlight: inFlight.length,
    }));
    for (const suspect of suspects) this.add(suspect, sends);
    return suspects;
  }

  /**
   * Merges suspects received from another member and returns the new ones.
   * Known suspects are not sent on.
   */
  merge(
    suspects: readonly CrashSuspect[],
    sends: number,
  ): readonly CrashSuspect[] {
    return suspects.filter(
      (suspect) => isValidSuspect(suspect) && this.add(suspect, sends),
    );
  }

  /** Refuses a request for CRASH_REFUSAL_MS because another node refuses it. */
  refuse(identity: string): void {
    this.remoteRefusalEndsMs.delete(identity);
    const [oldest] = this.remoteRefusalEndsMs.keys();
    if (oldest !== undefined && this.remoteRefusalEndsMs.size >= MAX_CRASHES) {
      this.remoteRefusalEndsMs.delete(oldest);
    }
    this.remoteRefusalEndsMs.set(
      identity,
      this.clock.readMs() + CRASH_REFUSAL_MS,
    );
  }

  /** Clears a request that an upstream has answered: it crashed none. */
  clear(identity: string): void {
    this.remoteRefusalEndsMs.delete(identity);
    // The crashes keep the identity, so that a message about one of them does
    // not make the request a suspect again.
    this.crashIdsByIdentity.delete(identity);
  }

  /** Whether any request is suspected or refused. */
  hasSuspects(): boolean {
    return this.crashIdsByIdentity.size + this.remoteRefusalEndsMs.size > 0;
  }

  /** Lists suspects of the most recent crashes, at most `limit`. */
  listSuspects(limit: number): readonly CrashSuspect[] {
    this.tick();
    const suspects: CrashSuspect[] = [];
    for (const [crashId, {identities, inFlight}] of [
      ...this.crashes,
    ].reverse()) {
      for (const identity of identities) {
        if (suspects.length >= limit) return suspects;
        suspects.push({identity, crashId, inFlight});
      }
    }
    return suspects;
  }

  /** Takes suspects for one message; those with most sends left come first. */
  takeSuspects(limit: number): CrashSuspect[] {
    const byRemainingSends = [...this.outgoing].sort(
      (a, b) => b.sendsLeft - a.sendsLeft,
    );
    const taken = byRemainingSends.slice(0, limit);
    const sentOnce = taken
      .map(({suspect, sendsLeft}) => ({suspect, sendsLeft: sendsLeft - 1}))
      .filter(({sendsLeft}) => sendsLeft > 0);
    this.outgoing = [...byRemainingSends.slice(limit), ...sentOnce];
    return taken.map(({suspect}) => suspect);
  }

  /** Decides whether a request is refused. */
  check(identity: string): CrashVerdict {
    if (!this.hasSuspects()) return ACCEPTED;
    this.tick();
    const refusalEndMs = Math.max(
      this.remoteRefusalEndsMs.get(identity) ?? -Infinity,
      this.findRefusalEnd(identity),
    );
    const remainingMs = refusalEndMs - this.clock.readMs();
    return remainingMs > 0
      ? {isRefused: true, retryAfterMs: remainingMs}
      : ACCEPTED;
  }

  /** Removes expired crashes and refusals. */
  tick(): void {
    const expiryLimitMs = this.clock.readMs() - CRASH_MEMORY_MS;
    for (const [crashId, crash] of this.crashes) {
      if (crash.learnedMs > expiryLimitMs) break;
      this.remove(crashId, crash);
    }
    const nowMs = this.clock.readMs();
    for (const [identity, refusalEndMs] of this.remoteRefusalEndsMs) {
      if (refusalEndMs > nowMs) break;
      this.remoteRefusalEndsMs.delete(identity);
    }
  }

  countCrashes(): number {
    return this.crashes.size;
  }

  /** Number of identities suspected for at least one crash. */
  countIdentities(): number {
    return this.crashIdsByIdentity.size;
  }

  /** Number of suspects that still have to be sent. */
  countOutgoing(): number {
    return this.outgoing.length;
  }

  /**
   * When the refusal based on the crashes known here ends; -Infinity if the
   * request is not refused.
   */
  private findRefusalEnd(identity: string): number {
    const crashes = this.listCrashes(identity);
    if (crashes.length < CRASHES_UNTIL_REFUSAL) return -Infinity;
    const blamed = crashes.filter((crash) => this.isBlamed(identity, crash));
    if (blamed.length < CRASHES_UNTIL_REFUSAL) return -Infinity;
    const latestMs = Math.max(...blamed.map(({learnedMs}) => learnedMs));
    return latestMs + CRASH_REFUSAL_MS;
  }

  /** Adds a suspect. Returns whether it was new and was kept. */
  private add(suspect: CrashSuspect, sends: number): boolean {
    this.tick();
    const {crashId, identity} = suspect;
    const crash = this.crashes.get(crashId) ?? this.createCrash(suspect);
    const isKnown = crash.identities.has(identity);
    if (isKnown || crash.identities.size >= MAX_SUSPECTS_PER_CRASH) {
      return false;
    }
    crash.identities.add(identity);
    const crashIds = this.crashIdsByIdentity.get(identity) ?? new Set();
    this.crashIdsByIdentity.set(identity, crashIds.add(crashId));
    if (sends > 0 && this.outgoing.length < MAX_OUTGOING_SUSPECTS) {
      this.outgoing.push({suspect, sendsLeft: sends});
    }
    return true;
  }

  private createCrash({crashId, inFlight}: CrashSuspect): Crash {
    const oldest = this.crashes.entries().next().value;
    if (oldest && this.crashes.size >= MAX_CRASHES) this.remove(...oldest);
    const learnedMs = this.clock.readMs();
    const crash: Crash = {learnedMs, inFlight, identities: new Set()};
    this.crashes.set(crashId, crash);
    return crash;
  }

  private remove(crashId: string, crash: Crash): void {
    this.crashes.delete(crashId);
    for (const identity of crash.identities) {
      const crashIds = this.crashIdsByIdentity.get(identity);
      crashIds?.delete(crashId);
      if (crashIds?.size === 0) this.crashIdsByIdentity.delete(identity);
    }
    this.outgoing = this.outgoing.filter(
      ({suspect}) => suspect.crashId !== crashId,
    );
  }

  private listCrashes(identity: string): Crash[] {
    return [...(this.crashIdsByIdentity.get(identity) ?? [])]
      .map((crashId) => this.crashes.get(crashId))
      .filter((crash) => crash !== undefined);
  }

  /**
   * Whether a request counts as the cause of a crash: every other request that
   * was in flight at it and at another crash has a lower score. Requests with
   * equal scores are all blamed from their third crash on. Until then each may
   * run again, and all but the actual cause are answered and cleared.
   */
  private isBlamed(identity: string, crash: Crash): boolean {
    const ownScore = this.computeScore(identity);
    const crashes = this.crashIdsByIdentity.get(identity)?.size ?? 0;
    const canBlameEquals = crashes >= CRASHES_UNTIL_SHARED_REFUSAL;
    const limit = canBlameEquals
      ? ownScore + ROUNDING_TOLERANCE
      : ownScore - ROUNDING_TOLERANCE;
    for (const other of crash.identities) {
      const count = this.crashIdsByIdentity.get(other)?.size ?? 0;
      if (other === identity || count < CRASHES_UNTIL_REFUSAL) continue;
      if (this.computeScore(other) > limit) return false;
    }
    return true;
  }

  /**
   * Computes the score of a request: the sum over its crashes of 1 divided by
   * the number of requests in flight.
   */
  private computeScore(identity: string): number {
    return this.listCrashes(identity).reduce(
      (sum, {inFlight}) => sum + 1 / inFlight,
      0,
    );
  }
}

function isValidSuspect({identity, crashId, inFlight}: CrashSuspect): boolean {
  return (
    identity.length > 0 &&
    identity.length <= MAX_IDENTITY_LENGTH &&
    crashId.length > 0 &&
    crashId.length <= MAX_CRASH_ID_LENGTH &&
    Number.isInteger(inFlight) &&
    inFlight > 0
  );
}
