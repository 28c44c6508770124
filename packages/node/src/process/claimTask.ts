/** Sends the claims of this node through the combiner of its service. */
import type {
  ClaimCombiner,
  ClaimWrite,
  ClaimWriteResult,
} from 'sycamoreyoke/process/claimCombiner';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import {chooseByRendezvous} from 'sycamoreyoke/rendezvous';

const TICK_MS = 2;
const COMBINER_KEY = 'claims';

/** Sends a write to the combiner on another member. */
export type RemoteSubmitter = (
  member: Member,
  write: ClaimWrite,
) => Promise<ClaimWriteResult>;

/** What the task works with. */
export interface ClaimTaskParts {
  readonly combiner: ClaimCombiner;
  readonly incarnation: string;
  readonly listMembers: () => readonly Member[];
  readonly submitTo: RemoteSubmitter;
}

/** Owns the combiner of this node and the timer that drives it. */
export class ClaimTask {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ClaimTaskParts) {}

  /**
   * Writes a claim by the combiner of the service. When that one does not
   * answer, this node writes the same claim itself: the condition and the
   * nonce of the row make a second write harmless.
   */
  async send(write: ClaimWrite): Promise<ClaimWriteResult> {
    const combiner = this.chooseCombiner();
    if (!combiner) return this.submit(write);
    try {
      return await this.parts.submitTo(combiner, write);
    } catch {
      return this.submit(write);
    }
  }

  /** Writes a claim with the next batch of this node. */
  submit(write: ClaimWrite): Promise<ClaimWriteResult> {
    const result = this.parts.combiner.submit(write);
    // The timer runs only while claims wait: an idle node spends nothing.
    this.timer ??= setInterval(() => this.tick(), TICK_MS);
    return result;
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.parts.combiner.close();
  }

  /** Undefined when this node is the combiner. */
  private chooseCombiner(): Member | undefined {
    const active = this.parts
      .listMembers()
      .filter(({state}) => state === MemberState.ACTIVE);
    const incarnations = active.map(({incarnation}) => incarnation);
    const combiner = chooseByRendezvous(COMBINER_KEY, incarnations);
    if (combiner === this.parts.incarnation) return undefined;
    return active.find(({incarnation}) => incarnation === combiner);
  }

  private tick(): void {
    void this.parts.combiner.tick();
    if (this.parts.combiner.countWaiting() > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
