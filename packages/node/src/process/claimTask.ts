/** Sends claim writes through the batcher node of the service. */
import type {
  ClaimBatcher,
  ClaimWrite,
  ClaimWriteResult,
} from 'sycamoreyoke/process/claimBatcher';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';
import {chooseByRendezvous} from 'sycamoreyoke/rendezvous';

const TICK_MS = 2;
const BATCHER_KEY = 'claims';

/** Sends a write to the batcher on another member. */
export type RemoteSubmitter = (
  member: Member,
  write: ClaimWrite,
) => Promise<ClaimWriteResult>;

/** Dependencies of a ClaimTask. */
export interface ClaimTaskParts {
  readonly batcher: ClaimBatcher;
  readonly incarnation: string;
  readonly listMembers: () => readonly Member[];
  readonly submitTo: RemoteSubmitter;
}

/** Sends claim writes and runs the batcher of this node on a timer. */
export class ClaimTask {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: ClaimTaskParts) {}

  /**
   * Writes a claim through the batcher node of the service. When that node
   * does not answer, this node writes the claim itself: the expected version
   * and the nonce of the row make a second write harmless.
   */
  async send(write: ClaimWrite): Promise<ClaimWriteResult> {
    const batcher = this.chooseBatcher();
    if (!batcher) return this.submit(write);
    try {
      return await this.parts.submitTo(batcher, write);
    } catch {
      return this.submit(write);
    }
  }

  /** Adds a claim to the next batch that this node writes to the table. */
  submit(write: ClaimWrite): Promise<ClaimWriteResult> {
    const result = this.parts.batcher.submit(write);
    // The timer runs only while claims wait, to save CPU on an idle node.
    this.timer ??= setInterval(() => this.tick(), TICK_MS);
    return result;
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.parts.batcher.close();
  }

  /** The member that batches claims; undefined when it is this node. */
  private chooseBatcher(): Member | undefined {
    const activeMembers = this.parts
      .listMembers()
      .filter(({state}) => state === MemberState.ACTIVE);
    const incarnations = activeMembers.map(({incarnation}) => incarnation);
    const batcher = chooseByRendezvous(BATCHER_KEY, incarnations);
    if (batcher === this.parts.incarnation) return undefined;
    return activeMembers.find(({incarnation}) => incarnation === batcher);
  }

  private tick(): void {
    void this.parts.batcher.tick();
    if (this.parts.batcher.countWaiting() > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
