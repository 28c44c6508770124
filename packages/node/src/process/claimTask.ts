import type {
  ClaimCombiner,
  ClaimWrite,
  ClaimWriteResult,
} from 'sycamoreyoke/process/claimCombiner';

const TICK_MS = 2;

/** Owns the combiner of this node and the timer that drives it. */
export class ClaimTask {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly combiner: ClaimCombiner) {}

  /** Writes a claim with the next batch. */
  submit(write: ClaimWrite): Promise<ClaimWriteResult> {
    const result = this.combiner.submit(write);
    // The timer runs only while claims wait: an idle node spends nothing.
    this.timer ??= setInterval(() => this.tick(), TICK_MS);
    return result;
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.combiner.close();
  }

  private tick(): void {
    void this.combiner.tick();
    if (this.combiner.countWaiting() > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
