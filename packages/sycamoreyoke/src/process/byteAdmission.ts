/**
 * Admits the bytes that a process holds for others before they are read: bodies
 * of requests, and frames of calls and results. It handles any number of
 * senders that are slow, stop short or send more than fits.
 *
 * A body with a length reserves all of it at once, and a body without one in
 * steps, so that the bodies being read can be finished. What does not fit waits
 * unread. While something waits, a body that makes no progress is refused. If
 * only waiting bodies hold bytes, the largest is refused.
 */
import type {Clock} from '../clock.js';

/** Limits in bytes. */
export interface AdmissionLimits {
  readonly maxBytes: number;
  /** Part for large bodies; the rest is left to small bodies and frames. */
  readonly largeBytes: number;
}

/** What the owner of the bodies has to do. */
export interface AdmissionChange<Id> {
  /** Bodies to read from now on. */
  readonly resumed: readonly Id[];
  /** Bodies to refuse; they hold nothing any more. */
  readonly refused: readonly Id[];
}

/** A body up to this size may use the part that large ones leave. */
export const SMALL_BODY_BYTES = 64 * 1024;
/** Step in which a body without a length reserves bytes. */
export const STEP_BYTES = 256 * 1024;
/**
 * Time in which a body has to make progress while others wait for its bytes; it
 * covers several retransmissions of a lost packet.
 */
export const PROGRESS_WINDOW_MS = 2_000;
/** Bytes that a body has to receive in this time, unless less is missing. */
export const MIN_PROGRESS_BYTES = 64 * 1024;

enum HolderState {
  /** It is not read until more bytes are free. */
  WAITING,
  READING,
  /** It is complete and is held until it is released. */
  COMPLETE,
}

interface Holder<Id> {
  readonly id: Id;
  readonly announcedBytes: number | undefined;
  state: HolderState;
  reserved: number;
  received: number;
  /** Start of the time in which progress is measured, and the bytes then. */
  windowMs: number;
  windowBytes: number;
}

const NO_CHANGE = {resumed: [], refused: []} as const;

/** Decides which bodies are read, wait or are refused. */
export class ByteAdmission<Id> {
  /** In the order of their arrival. */
  private readonly holders = new Map<Id, Holder<Id>>();
  private total = 0;
  private isContended = false;

  constructor(
    private readonly clock: Clock,
    private readonly limits: AdmissionLimits,
  ) {}

  countBytes(): number {
    return this.total;
  }

  countWaiting(): number {
    return this.listWaiting().length;
  }

  /** Adds a body that waits until it may be read; undefined: no length. */
  open(id: Id, announcedBytes: number | undefined): AdmissionChange<Id> {
    this.holders.set(id, {
      id,
      announcedBytes,
      state: HolderState.WAITING,
      reserved: 0,
      received: 0,
      windowMs: this.clock.readMs(),
      windowBytes: 0,
    });
    return this.admit();
  }

  /**
   * Records received bytes; returns whether the body may be read further. If
   * not, the caller pauses it and calls `tick`.
   */
  advance(id: Id, bytes: number): boolean {
    const holder = this.holders.get(id);
    if (!holder) return false;
    holder.received += bytes;
    if (holder.received < holder.reserved) return true;
    if (holder.announcedBytes !== undefined) return true;
    // What was received beyond the reservation is held in any case.
    this.reserve(holder, holder.received);
    const isOthersTurn = this.listWaiting().some(({reserved}) => reserved > 0);
    if (!isOthersTurn && this.hasRoom(holder)) {
      this.reserve(holder, holder.received + STEP_BYTES);
      return true;
    }
    holder.state = HolderState.WAITING;
    return false;
  }

  /** Records that a body is complete; it is held until it is released. */
  finish(id: Id): AdmissionChange<Id> {
    const holder = this.holders.get(id);
    if (!holder) return NO_CHANGE;
    holder.state = HolderState.COMPLETE;
    this.reserve(holder, holder.received);
    return this.admit();
  }

  /** Forgets a body or frame. */
  release(id: Id): AdmissionChange<Id> {
    this.remove(id);
    return this.admit();
  }

  /**
   * Holds a frame, which cannot wait. If it does not fit, the largest bodies
   * that are not complete are refused, and if that does not help, the frame.
   */
  hold(id: Id, bytes: number): AdmissionChange<Id> & {isHeld: boolean} {
    const refused: Id[] = [];
    while (this.total + bytes > this.limits.maxBytes) {
      const largest = findLargest(this.listIncomplete());
      if (!largest) return {isHeld: false, resumed: [], refused};
      this.remove(largest.id);
      refused.push(largest.id);
    }
    const holder: Holder<Id> = {
      id,
      announcedBytes: bytes,
      state: HolderState.COMPLETE,
      reserved: 0,
      received: bytes,
      windowMs: 0,
      windowBytes: 0,
    };
    this.holders.set(id, holder);
    this.reserve(holder, bytes);
    return {isHeld: true, resumed: [], refused};
  }

  /** Refuses bodies without progress; called regularly while some wait. */
  tick(): AdmissionChange<Id> {
    const nowMs = this.clock.readMs();
    const refused: Id[] = [];
    for (const holder of [...this.holders.values()]) {
      const isDue = nowMs - holder.windowMs >= PROGRESS_WINDOW_MS;
      if (holder.state !== HolderState.READING || !isDue) continue;
      if (this.isContended && !hasProgress(holder)) {
        this.remove(holder.id);
        refused.push(holder.id);
      } else {
        startWindow(holder, nowMs);
      }
    }
    const change = this.admit();
    return {...change, refused: [...refused, ...change.refused]};
  }

  /** Lets waiting bodies be read, and refuses one if nothing else frees bytes. */
  private admit(): AdmissionChange<Id> {
    const resumed: Id[] = [];
    const refused: Id[] = [];
    for (;;) {
      resumed.push(...this.resumeWaiting());
      const waiting = this.listWaiting();
      this.updateContention(waiting.length > 0);
      if (waiting.length === 0 || this.hasOtherHolders()) break;
      // The first one is too large for the whole budget if none holds bytes.
      const largest = findLargest(this.listIncomplete()) ?? waiting[0];
      if (!largest) break;
      this.remove(largest.id);
      refused.push(largest.id);
    }
    return {resumed, refused};
  }

  /** A large body that does not fit yet holds up the large ones behind it. */
  private resumeWaiting(): Id[] {
    const resumed: Id[] = [];
    let isBlocked = false;
    for (const holder of this.listWaiting()) {
      const needed = computeNeeded(holder);
      const isSmall = needed <= SMALL_BODY_BYTES;
      if ((isBlocked && !isSmall) || !this.hasRoom(holder)) {
        isBlocked = true;
        continue;
      }
      this.reserve(holder, needed);
      holder.state = HolderState.READING;
      startWindow(holder, this.clock.readMs());
      resumed.push(holder.id);
    }
    return resumed;
  }

  /** Whether the next bytes of a body fit; a single body may use all of it. */
  private hasRoom(holder: Holder<Id>): boolean {
    const {maxBytes, largeBytes} = this.limits;
    const needed = computeNeeded(holder);
    const total = this.total - holder.reserved + needed;
    const isAlone = this.total === holder.reserved;
    const mayUseAll = isAlone || needed <= SMALL_BODY_BYTES;
    return total <= (mayUseAll ? maxBytes : largeBytes);
  }

  /** Whether bytes are held that will be released without a refusal. */
  private hasOtherHolders(): boolean {
    for (const {state, reserved} of this.holders.values()) {
      if (state !== HolderState.WAITING && reserved > 0) return true;
    }
    return false;
  }

  /** Lists waiting bodies; those that hold bytes already come first. */
  private listWaiting(): ReadonlyArray<Holder<Id>> {
    const waiting = [...this.holders.values()].filter(
      ({state}) => state === HolderState.WAITING,
    );
    return [
      ...waiting.filter(({reserved}) => reserved > 0),
      ...waiting.filter(({reserved}) => reserved === 0),
    ];
  }

  private listIncomplete(): ReadonlyArray<Holder<Id>> {
    return [...this.holders.values()].filter(
      ({state, reserved}) => state !== HolderState.COMPLETE && reserved > 0,
    );
  }

  /** Progress counts from the time at which others began to wait. */
  private updateContention(isContended: boolean): void {
    if (isContended && !this.isContended) {
      const nowMs = this.clock.readMs();
      for (const holder of this.holders.values()) startWindow(holder, nowMs);
    }
    this.isContended = isContended;
  }

  private reserve(holder: Holder<Id>, bytes: number): void {
    this.total += bytes - holder.reserved;
    holder.reserved = bytes;
  }

  private remove(id: Id): void {
    this.total -= this.holders.get(id)?.reserved ?? 0;
    this.holders.delete(id);
  }
}

/** Bytes that a body has to have reserved to be read further. */
function computeNeeded<Id>({
  announcedBytes,
  received,
  reserved,
}: Holder<Id>): number {
  if (announcedBytes !== undefined) return announcedBytes;
  return reserved === 0 ? SMALL_BODY_BYTES : received + STEP_BYTES;
}

function hasProgress<Id>(holder: Holder<Id>): boolean {
  const {announcedBytes = Infinity, received, windowBytes} = holder;
  const needed = Math.min(MIN_PROGRESS_BYTES, announcedBytes - windowBytes);
  return received - windowBytes >= needed;
}

function startWindow<Id>(holder: Holder<Id>, nowMs: number): void {
  holder.windowMs = nowMs;
  holder.windowBytes = holder.received;
}

function findLargest<Id>(
  holders: ReadonlyArray<Holder<Id>>,
): Holder<Id> | undefined {
  return holders.reduce<Holder<Id> | undefined>(
    (largest, holder) =>
      largest && largest.reserved >= holder.reserved ? largest : holder,
    undefined,
  );
}
