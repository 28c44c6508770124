/** Reads status and events from the admin listeners of nodes. */
import got from 'got';
import type {Got} from 'got';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {compareHybridTimes} from 'sycamoreyoke/process/hybridClock';
import type {Member} from 'sycamoreyoke/process/types';
import {MemberState} from 'sycamoreyoke/process/types';

/** Status of a node, as returned by its admin listener. */
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

/** Status of a node, or the error when it could not be read. */
export interface NodeReport {
  readonly url: string;
  readonly status?: NodeStatus;
  readonly error?: string;
}

const ADMIN_TIMEOUT_MS = 3_000;

const httpClient: Got = got.extend({
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
    return {
      url,
      status: await httpClient.get(`${url}/status`).json<NodeStatus>(),
    };
  } catch (error) {
    return {url, error: (error as Error).message};
  }
}

/**
 * Reads the status of the given nodes and, repeatedly, of all members that they
 * report. Nodes that cannot be read are returned with their error.
 */
export async function readFleet(
  urls: readonly string[],
): Promise<NodeReport[]> {
  const reports = new Map<string, NodeReport>();
  let pendingUrls = [...new Set(urls)];
  while (pendingUrls.length > 0) {
    const newReports = await Promise.all(pendingUrls.map(readNode));
    for (const report of newReports) reports.set(report.url, report);
    const memberUrls = newReports.flatMap(({status}) =>
      status ? listAdminUrls(status) : [],
    );
    pendingUrls = [...new Set(memberUrls)].filter((url) => !reports.has(url));
  }
  return [...reports.values()];
}

/**
 * Reads the events of nodes and sorts them by hybrid time. Nodes that cannot be
 * read are skipped.
 */
export async function readTimeline(
  urls: readonly string[],
): Promise<TimelineEvent[]> {
  const lists = await Promise.all(
    urls.map(async (url) => {
      try {
        const request = httpClient.get(`${url}/events`);
        return (await request.json<{events: TimelineEvent[]}>()).events;
      } catch {
        return [];
      }
    }),
  );
  return mergeTimelines(lists);
}

/** Merges the events of several processes and sorts them by hybrid time. */
export function mergeTimelines(
  lists: ReadonlyArray<readonly TimelineEvent[]>,
): TimelineEvent[] {
  return lists.flat().sort((a, b) => compareHybridTimes(a.time, b.time));
}
