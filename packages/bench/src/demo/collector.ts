/** Collects events and counters of the nodes while they run. */
import {mkdir, writeFile} from 'node:fs/promises';
import {dirname} from 'node:path';
import {mergeTimelines} from '@sycamoreyoke/cli/fleet';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import type {Member} from 'sycamoreyoke/process/types';
import {EVENT_RING_CAPACITY} from 'sycamoreyoke/process/events';
import {request} from 'undici';
import {COLLECT_INTERVAL_MS} from './constants.js';

const READ_TIMEOUT_MS = 5_000;
const VIOLATIONS =
  /^sycamoreyoke_invariant_violations_total(?:\{invariant="([^"]*)"[^}]*\})? (\d+)/gm;

/** Counts of the violations in the text of /metrics, by invariant. */
export function parseViolations(metrics: string): Map<string, number> {
  return new Map(
    [...metrics.matchAll(VIOLATIONS)].map(([, invariant = '', count]) => [
      invariant,
      Number(count),
    ]),
  );
}

/** Reads the nodes again and again, since a killed node cannot be read. */
export class Collector {
  private readonly events = new Map<string, TimelineEvent>();
  private readonly counts = new Map<string, Map<string, number>>();
  private readonly newest = new Map<string, string>();
  private reading = Promise.resolve();
  private gaps = 0;
  private timer?: NodeJS.Timeout;

  constructor(private readonly nodes: readonly Member[]) {}

  start(): void {
    this.timer = setInterval(() => void this.collect(), COLLECT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Reads all nodes once; readings do not overlap. */
  collect(): Promise<void> {
    this.reading = this.reading.then(async () => {
      await Promise.all(this.nodes.map((node) => this.readNode(node)));
    });
    return this.reading;
  }

  /** Events so far, in the order of their hybrid times. */
  listEvents(): TimelineEvent[] {
    return mergeTimelines([[...this.events.values()]]);
  }

  /** Readings before which events were overwritten unread. */
  countGaps(): number {
    return this.gaps;
  }

  /** Violations counted by all nodes at their latest reading. */
  countViolations(): Map<string, number> {
    const total = new Map<string, number>();
    for (const counts of this.counts.values()) {
      for (const [invariant, count] of counts) {
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
    const newest = this.newest.get(node);
    const hasNewest = events.some((event) => formatKey(event) === newest);
    if (events.length >= EVENT_RING_CAPACITY && !hasNewest) this.gaps += 1;
    for (const event of events) this.events.set(formatKey(event), event);
    const last = events.at(-1);
    if (last) this.newest.set(node, formatKey(last));
  }

  private async readNode(node: Member): Promise<void> {
    const origin = `http://${node.address}:${node.adminPort}`;
    try {
      const {events} = JSON.parse(await readText(`${origin}/events`)) as {
        events: TimelineEvent[];
      };
      this.addEvents(node.incarnation, events);
      const metrics = await readText(`${origin}/metrics`);
      this.counts.set(node.incarnation, parseViolations(metrics));
    } catch {
      // The node was ended; what was read before remains.
    }
  }
}

/** A process gives each of its events a hybrid time of its own. */
function formatKey({process, time}: TimelineEvent): string {
  return `${process}/${time.wallMs}.${time.counter}`;
}

async function readText(url: string): Promise<string> {
  const signal = AbortSignal.timeout(READ_TIMEOUT_MS);
  const response = await request(url, {signal});
  return response.body.text();
}
