/**
 * Remembers to which processes of other nodes this node was linked. Such a
 * process has told this node when its upstream left, so its successor can rely
 * on what this node knows.
 */
import type {Clock} from '../clock.js';

/** A process of a node. */
export interface NodeProcess {
  readonly node: string;
  /** Differs for each process. */
  readonly incarnation: string;
}

interface LinkedProcess {
  readonly incarnation: string;
  /** When its link ended, clock ms; undefined while it is up. */
  readonly endedMs: number | undefined;
  /** Whether this node was linked to the process before it. */
  readonly hasKnownFormer: boolean;
}

/**
 * Time from the end of a link within which the former process is known to its
 * end, ms. A restart takes some seconds; the row of a node that is gone for
 * longer is removed.
 */
export const FORMER_PROCESS_MS = 60_000;

/** Tracks the latest linked process of each node. */
export class LinkedProcesses {
  private readonly processes = new Map<string, LinkedProcess>();

  constructor(private readonly clock: Clock) {}

  /** Whether this node was linked to the process before this one. */
  hasKnownFormer({node, incarnation}: NodeProcess): boolean {
    const linked = this.processes.get(node);
    if (!linked) return false;
    if (linked.incarnation === incarnation) return linked.hasKnownFormer;
    return !this.isExpired(linked);
  }

  recordUp(process: NodeProcess): void {
    const {node, incarnation} = process;
    const hasKnownFormer = this.hasKnownFormer(process);
    this.processes.set(node, {incarnation, endedMs: undefined, hasKnownFormer});
  }

  recordDown({node, incarnation}: NodeProcess): void {
    for (const [name, linked] of this.processes) {
      if (this.isExpired(linked)) this.processes.delete(name);
    }
    const linked = this.processes.get(node);
    if (linked?.incarnation !== incarnation) return;
    const endedMs = linked.endedMs ?? this.clock.readMs();
    this.processes.set(node, {...linked, endedMs});
  }

  private isExpired({endedMs}: LinkedProcess): boolean {
    return (
      endedMs !== undefined && this.clock.readMs() - endedMs > FORMER_PROCESS_MS
    );
  }
}
