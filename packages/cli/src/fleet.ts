/** Reads the admin listeners of all nodes that can be found. */
import got from 'got';
import type {Got} from 'got';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {compareHybridTimes} from 'sycamoreyoke/process/hybridClock';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';

/** Status of a node as its admin listener gives it. */
export interface NodeStatus {
  readonly self: Member;
  readonly isReady: boolean;
  readonly configurationVersion: number;
  readonly gate: {
    readonly running: number;
    readonly waiting: number;
    readonly limit: number;
  };
  readonly members: readonly Member[];
  readonly invariantViolations: number;
}

/** A node with its status, or why it could not be read. */
export interface NodeReport {
  readonly url: string;
  readonly status?: NodeStatus;
  readonly error?: string;
}

const ADMIN_TIMEOUT_MS = 3_000;

const http: Got = got.extend({
  retry: {limit: 0},
  timeout: {request: ADMIN_TIMEOUT_MS},
});

function listAdminUrls(status: NodeStatus): string[] {
  return status.members
    .filter((member) => member.state !== MemberState.DEAD)
    .map((member) => `http://${member.address}:${member.adminPort}`);
}

async function readNode(url: string): Promise<NodeReport> {
  try {
    return {url, status: await http.get(`${url}/status`).json<NodeStatus>()};
  } catch (error) {
    return {url, error: (error as Error).message};
  }
}

/** Reads the given nodes and every member that they know. */
export async function readFleet(
  urls: readonly string[],
): Promise<NodeReport[]> {
  const reports = new Map<string, NodeReport>();
  let pending = [...new Set(urls)];
  while (pending.length > 0) {
    const found = await Promise.all(pending.map(readNode));
    for (const report of found) reports.set(report.url, report);
    const known = found.flatMap(({status}) =>
      status ? listAdminUrls(status) : [],
    );
    pending = [...new Set(known)].filter((url) => !reports.has(url));
  }
  return [...reports.values()];
}

/** Events of all nodes, in the order of their hybrid times. */
export async function readTimeline(
  urls: readonly string[],
): Promise<TimelineEvent[]> {
  const lists = await Promise.all(
    urls.map(async (url) => {
      try {
        const request = http.get(`${url}/events`);
        return (await request.json<{events: TimelineEvent[]}>()).events;
      } catch {
        return [];
      }
    }),
  );
  return mergeTimelines(lists);
}

/** Merges the events of several processes. */
export function mergeTimelines(
  lists: ReadonlyArray<readonly TimelineEvent[]>,
): TimelineEvent[] {
  return lists.flat().sort((a, b) => compareHybridTimes(a.time, b.time));
}
