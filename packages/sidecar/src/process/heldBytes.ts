/** The bytes that the process holds for others, in one budget. */
import type {Clock} from 'sycamoreyoke/clock';
import type {
  AdmissionChange,
  AdmissionLimits,
} from 'sycamoreyoke/process/byteAdmission';
import {
  ByteAdmission,
  SMALL_BODY_BYTES,
} from 'sycamoreyoke/process/byteAdmission';

/** Interval at which progress is checked while bodies wait. */
const TICK_MS = 250;

/** A body that is read as far as the budget allows. */
export interface HeldBody {
  /** Starts or continues to read. */
  resume(): void;
  /** Refuses the request; its bytes are no longer counted. */
  refuse(): void;
}

/** Applies the decisions of the admission to bodies and frames. */
export class HeldBytes {
  private readonly admission: ByteAdmission<HeldBody>;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    clock: Clock,
    limits: AdmissionLimits,
    /** Called with the length of a frame that does not fit. */
    private readonly handleSkipped: (bytes: number) => void = () => undefined,
  ) {
    this.admission = new ByteAdmission(clock, limits);
  }

  countBytes(): number {
    return this.admission.countBytes();
  }

  countWaiting(): number {
    return this.admission.countWaiting();
  }

  /** Reads a body once its bytes are admitted; undefined: no length. */
  open(body: HeldBody, announcedBytes: number | undefined): void {
    this.apply(this.admission.open(body, announcedBytes));
  }

  /** Records received bytes; returns whether the body may be read further. */
  advance(body: HeldBody, bytes: number): boolean {
    if (this.admission.advance(body, bytes)) return true;
    // The decision may be to read on, or to refuse this body.
    setImmediate(() => this.tick());
    return false;
  }

  finish(body: HeldBody): void {
    this.apply(this.admission.finish(body));
  }

  release(body: HeldBody): void {
    this.apply(this.admission.release(body));
  }

  /**
   * Holds the bytes of a frame until the returned function is called. Returns
   * undefined if they do not fit. Small frames are always read.
   */
  hold(bytes: number): (() => void) | undefined {
    if (bytes <= SMALL_BODY_BYTES) return () => undefined;
    const frame: HeldBody = {
      resume: () => undefined,
      refuse: () => undefined,
    };
    const change = this.admission.hold(frame, bytes);
    this.apply(change);
    if (change.isHeld) return () => this.release(frame);
    this.handleSkipped(bytes);
    return undefined;
  }

  private tick(): void {
    this.apply(this.admission.tick());
  }

  private apply({resumed, refused}: AdmissionChange<HeldBody>): void {
    for (const body of refused) body.refuse();
    for (const body of resumed) body.resume();
    if (this.timer || this.admission.countWaiting() === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.tick();
    }, TICK_MS);
    this.timer.unref();
  }
}
