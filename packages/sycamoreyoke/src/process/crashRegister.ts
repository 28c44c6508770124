/** Requests suspected of crashing the upstreams of a service. */
import type {Clock} from '../clock.js';

/** A request stays refused this long after its latest crash. */
export const CRASH_REFUSAL_MS = 5 * 60_000;
/**
 * A crash is remembered this long, so that a request which crashes an upstream
 * again after its refusal has ended is refused again at once.
 */
export const CRASH_MEMORY_MS = 2 * CRASH_REFUSAL_MS;
/** Crashes of one request until it is refused. */
export const CRASHES_UNTIL_REFUSAL = 2;
/** The same for requests that crashes do not tell from each other. */
export const CRASHES_UNTIL_SHARED_REFUSAL = 3;
/** Crashes remembered; the oldest is forgotten first. */
export const MAX_CRASHES = 256;
/** Suspects remembered for one crash. */
export const MAX_SUSPECTS_PER_CRASH = 512;
/** Suspects waiting to be sent; more are kept but not spread. */
export const MAX_OUTGOING_SUSPECTS = 4_096;
/** Sums of the same parts in another order differ by less than this. */
const ROUNDING = 1e-9;
/** Longest identity in characters: two names, an ID and two separators. */
export const MAX_IDENTITY_LENGTH = 192;
/** Longest crash ID in characters. */
export const MAX_CRASH_ID_LENGTH = 64;

/** A request that was in flight when an upstream crashed. */
export interface CrashSuspect {
  /** The same for each attempt of the request. */
  readonly identity: string;
  /** Unique for each crash: the node's incarnation and a number. */
  readonly crashId: string;
  /** Requests that were in flight at the crash. */
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

/** What the register says of a request. */
export interface CrashVerdict {
  readonly isRefused: boolean;
  /** Time left of the refusal; 0 when the request is not refused. */
  readonly retryAfterMs: number;
}

const ACCEPTED: CrashVerdict = {isRefused: false, retryAfterMs: 0};

/** The suspects that a node knows of. */
export class CrashRegister {
  /** In the order in which they were learned. */
  private readonly crashes = new Map<string, Crash>();
  private readonly crashIdsByIdentity = new Map<string, Set<string>>();
  /** Ends of the refusals that other nodes decided, the oldest first. */
  private readonly marks = new Map<string, number>();
  private outgoing: OutgoingSuspect[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Records a crash of the own upstream. Each suspect is sent to other members
   * `sends` times, which the membership decides from their number.
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
   * Merges what another member said and gives what was new; what is known
   * already is not spread.
   */
  merge(
    suspects: readonly CrashSuspect[],
    sends: number,
  ): readonly CrashSuspect[] {
    return suspects.filter(
      (suspect) => isPlausible(suspect) && this.add(suspect, sends),
    );
  }

  /** Refuses a request for a time, as another node has decided. */
  mark(identity: string): void {
    this.marks.delete(identity);
    const [oldest] = this.marks.keys();
    if (oldest !== undefined && this.marks.size >= MAX_CRASHES) {
      this.marks.delete(oldest);
    }
    this.marks.set(identity, this.clock.readMs() + CRASH_REFUSAL_MS);
  }

  /** The request has been answered by an upstream, so it crashed none. */
  clear(identity: string): void {
    this.marks.delete(identity);
    // The crashes keep the identity, so that it is not learned again.
    this.crashIdsByIdentity.delete(identity);
  }

  /** Whether any request is suspected or refused. */
  hasSuspects(): boolean {
    return this.crashIdsByIdentity.size + this.marks.size > 0;
  }

  /** The suspects of the latest crashes, the latest one first. */
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

  /** Takes suspects for a message, those sent least often first. */
  takeSuspects(limit: number): CrashSuspect[] {
    const order = [...this.outgoing].sort((a, b) => b.sendsLeft - a.sendsLeft);
    const taken = order.slice(0, limit);
    const sentOnce = taken
      .map(({suspect, sendsLeft}) => ({suspect, sendsLeft: sendsLeft - 1}))
      .filter(({sendsLeft}) => sendsLeft > 0);
    this.outgoing = [...order.slice(limit), ...sentOnce];
    return taken.map(({suspect}) => suspect);
  }

  /** Decides whether a request is refused. */
  check(identity: string): CrashVerdict {
    if (!this.hasSuspects()) return ACCEPTED;
    this.tick();
    const untilMs = Math.max(
      this.marks.get(identity) ?? -Infinity,
      this.findRefusalEnd(identity),
    );
    const leftMs = untilMs - this.clock.readMs();
    return leftMs > 0 ? {isRefused: true, retryAfterMs: leftMs} : ACCEPTED;
  }

  /** Forgets old crashes. */
  tick(): void {
    const forgottenMs = this.clock.readMs() - CRASH_MEMORY_MS;
    for (const [crashId, crash] of this.crashes) {
      if (crash.learnedMs > forgottenMs) break;
      this.remove(crashId, crash);
    }
    const nowMs = this.clock.readMs();
    for (const [identity, untilMs] of this.marks) {
      if (untilMs > nowMs) break;
      this.marks.delete(identity);
    }
  }

  countCrashes(): number {
    return this.crashes.size;
  }

  /** Identities known from at least one crash. */
  countIdentities(): number {
    return this.crashIdsByIdentity.size;
  }

  /** Suspects that still have to be sent. */
  countOutgoing(): number {
    return this.outgoing.length;
  }

  /** When the refusal ends that follows from the crashes known here. */
  private findRefusalEnd(identity: string): number {
    const crashes = this.listCrashes(identity);
    if (crashes.length < CRASHES_UNTIL_REFUSAL) return -Infinity;
    const blamed = crashes.filter((crash) => this.isBlamed(identity, crash));
    if (blamed.length < CRASHES_UNTIL_REFUSAL) return -Infinity;
    const latestMs = Math.max(...blamed.map(({learnedMs}) => learnedMs));
    return latestMs + CRASH_REFUSAL_MS;
  }

  /** Says whether the suspect was new. */
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
   * True unless another request, itself in two crashes, is a more likely cause
   * of the crash. Equals are blamed from their third crash on: until then each
   * may run again, and all but the cause are answered and cleared.
   */
  private isBlamed(identity: string, crash: Crash): boolean {
    const own = this.computeSuspicion(identity);
    const crashes = this.crashIdsByIdentity.get(identity)?.size ?? 0;
    const isShared = crashes >= CRASHES_UNTIL_SHARED_REFUSAL;
    const limit = isShared ? own + ROUNDING : own - ROUNDING;
    for (const other of crash.identities) {
      const count = this.crashIdsByIdentity.get(other)?.size ?? 0;
      if (other === identity || count < CRASHES_UNTIL_REFUSAL) continue;
      if (this.computeSuspicion(other) > limit) return false;
    }
    return true;
  }

  /** Each crash counts by the share of a request in what was in flight. */
  private computeSuspicion(identity: string): number {
    return this.listCrashes(identity).reduce(
      (sum, {inFlight}) => sum + 1 / inFlight,
      0,
    );
  }
}

function isPlausible({identity, crashId, inFlight}: CrashSuspect): boolean {
  return (
    identity.length > 0 &&
    identity.length <= MAX_IDENTITY_LENGTH &&
    crashId.length > 0 &&
    crashId.length <= MAX_CRASH_ID_LENGTH &&
    Number.isInteger(inFlight) &&
    inFlight > 0
  );
}
