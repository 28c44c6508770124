/** Sends claim writes through the combiner node of the service. */
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

/** Dependencies of a ClaimTask. */
export interface ClaimTaskParts {
  readonly combiner: ClaimCombiner;
  readonly incarnation: string;
  readonly listMembers: () => readonly Member[];
  readonly submitTo: RemoteSubmitter;
}

/** Sends claim writes and runs the combiner of this node on a timer. */
export class ClaimTask {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ClaimTaskParts) {}

  /**
   * Writes a claim through the combiner node of the service. When that node
   * does not answer, this node writes the claim itself: the expected version
   * and the nonce of the row make a second write harmless.
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

  /** Adds a claim to the next batch that this node writes to the table. */
  submit(write: ClaimWrite): Promise<ClaimWriteResult> {
    const result = this.parts.combiner.submit(write);
    // The timer runs only while claims wait, to save CPU on an idle node.
    this.timer ??= setInterval(() => this.tick(), TICK_MS);
    return result;
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.parts.combiner.close();
  }

  /** The member that combines claims; undefined when it is this node. */
  private chooseCombiner(): Member | undefined {
    const activeMembers = this.parts
      .listMembers()
      .filter(({state}) => state === MemberState.ACTIVE);
    const incarnations = activeMembers.map(({incarnation}) => incarnation);
    const combiner = chooseByRendezvous(COMBINER_KEY, incarnations);
    if (combiner === this.parts.incarnation) return undefined;
    return activeMembers.find(({incarnation}) => incarnation === combiner);
  }

  private tick(): void {
    void this.parts.combiner.tick();
    if (this.parts.combiner.countWaiting() > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
