/** Collects events and violation counters of the nodes while they run. */
import {mkdir, writeFile} from 'node:fs/promises';
import {dirname} from 'node:path';
import {mergeTimelines} from '@sycamoreyoke/cli/fleet';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import type {Member} from 'sycamoreyoke/process/types';
import {EVENT_RING_CAPACITY} from 'sycamoreyoke/process/events';
import {request} from 'undici';
import {COLLECT_INTERVAL_MS} from './constants.js';

const READ_TIMEOUT_MS = 5_000;
const VIOLATIONS_PATTERN =
  /^sycamoreyoke_invariant_violations_total(?:\{invariant="([^"]*)"[^}]*\})? (\d+)/gm;

/** Parses the violation counters of a /metrics text, by invariant. */
export function parseViolations(metrics: string): Map<string, number> {
  return new Map(
    [...metrics.matchAll(VIOLATIONS_PATTERN)].map(
      ([, invariant = '', count]) => [invariant, Number(count)],
    ),
  );
}

/**
 * Polls the nodes at an interval, because the events of a node are lost when it
 * is killed.
 */
export class Collector {
  private readonly events = new Map<string, TimelineEvent>();
  private readonly violationCounts = new Map<string, Map<string, number>>();
  private readonly newestKeys = new Map<string, string>();
  private lastRead = Promise.resolve();
  private gapCount = 0;
  private timer?: NodeJS.Timeout;

  constructor(private readonly nodes: readonly Member[]) {}

  start(): void {
    this.timer = setInterval(() => void this.collect(), COLLECT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Reads all nodes once; waits for a read in progress to finish first. */
  collect(): Promise<void> {
    this.lastRead = this.lastRead.then(async () => {
      await Promise.all(this.nodes.map((node) => this.readNode(node)));
    });
    return this.lastRead;
  }

  /** Lists the events read so far, ordered by hybrid logical time. */
  listEvents(): TimelineEvent[] {
    return mergeTimelines([[...this.events.values()]]);
  }

  /** Counts the reads that missed events already overwritten in the ring. */
  countGaps(): number {
    return this.gapCount;
  }

  /** Sums the violations of all nodes as of their latest read, by invariant. */
  countViolations(): Map<string, number> {
    const total = new Map<string, number>();
    for (const violationCounts of this.violationCounts.values()) {
      for (const [invariant, count] of violationCounts) {
        total.set(invariant, (total.get(invariant) ?? 0) + count);
      }
    }
    return total;
  }

  /** Writes the merged timeline as JSON lines. */
  async write(path: string): Promise<void> {
    await mkdir(dirname(path), {recursive: true});
    const lines = this.listEvents().map((event) => JSON.stringify(event));
    await writeFile(path, `${lines.join('\n')}\n`);
  }

  private addEvents(node: string, events: readonly TimelineEvent[]): void {
    const newestKeys = this.newestKeys.get(node);
    const hasNewest = events.some((event) => formatKey(event) === newestKeys);
    if (events.length >= EVENT_RING_CAPACITY && !hasNewest) this.gapCount += 1;
    for (const event of events) this.events.set(formatKey(event), event);
    const last = events.at(-1);
    if (last) this.newestKeys.set(node, formatKey(last));
  }

  private async readNode(node: Member): Promise<void> {
    const origin = `http://${node.address}:${node.adminPort}`;
    try {
      const {events} = JSON.parse(await readText(`${origin}/events`)) as {
        events: TimelineEvent[];
      };
      this.addEvents(node.incarnation, events);
      const metrics = await readText(`${origin}/metrics`);
      this.violationCounts.set(node.incarnation, parseViolations(metrics));
    } catch {
      // The node has ended. Keep what was read before.
    }
  }
}

/** Returns a unique key: no two events of a process share a hybrid time. */
function formatKey({process, time}: TimelineEvent): string {
  return `${process}/${time.wallMs}.${time.counter}`;
}

async function readText(url: string): Promise<string> {
  const signal = AbortSignal.timeout(READ_TIMEOUT_MS);
  const response = await request(url, {signal});
  return response.body.text();
}
