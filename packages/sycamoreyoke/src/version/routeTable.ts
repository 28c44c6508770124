/** Routes of one configuration version, indexed for lookup. */

import type {Finding} from '../findings.js';
import type {WeightedTarget} from '../process/weightedRotation.js';
import type {AccountTable} from './accounts.js';

/** How often a request may run. */
export enum Repeatability {
  /** May run any number of times. */
  IDEMPOTENT = 'idempotent',
  /** Runs at most once. */
  ONCE = 'once',
}

/** Routing of the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly repeatability: Repeatability;
  /** Longest duration of a request, ms. */
  readonly timeoutMs: number;
  /** Target response time, ms; a slower response is less useful. */
  readonly targetLatencyMs: number;
  /** Maximum number of upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Priority; 0 is the highest. */
  readonly rank: number;
  /** Whether its requests need no key of an account. */
  readonly isPublic: boolean;
  readonly targets: readonly WeightedTarget[];
}

/** Limits on client connections and requests. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which all headers of a request must arrive, ms. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle client connection is closed, ms. */
  readonly idleTimeoutMs: number;
}

/** Configuration of a service. */
export interface ServiceDefinition {
  readonly name: string;
  readonly maxConnections: number;
  /** Path at which an upstream tells whether it serves, if it has one. */
  readonly statusCheckPath: string | undefined;
}

/** Routes, services and client limits of one configuration version. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly limits: ClientLimits;
  /** Undefined if the configuration has no accounts; then no key is needed. */
  readonly accounts: AccountTable | undefined;
  /** Entries that were ignored because they are invalid. */
  readonly findings: readonly Finding[];
  /** Routes by lower-case host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  /** Longest duration of a request by service, ms. */
  readonly longestTimeouts: ReadonlyMap<string, number>;
}

/** Indexes the routes by host and sorts them, longest prefix first. */
export function compileRouteTable(
  parts: Omit<RouteTable, 'routesByHost' | 'longestTimeouts'>,
): RouteTable {
  const routesByHost = new Map<string, Route[]>();
  for (const route of parts.routes) {
    const host = route.host.toLowerCase();
    const routes = routesByHost.get(host) ?? [];
    routes.push(route);
    routesByHost.set(host, routes);
  }
  for (const routes of routesByHost.values()) {
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  const longestTimeouts = computeLongestTimeouts(parts.routes);
  return {...parts, routesByHost, longestTimeouts};
}

function computeLongestTimeouts(
  routes: readonly Route[],
): ReadonlyMap<string, number> {
  const timeouts = new Map<string, number>();
  for (const {targets, timeoutMs} of routes) {
    for (const {service} of targets) {
      const longestMs = Math.max(timeouts.get(service) ?? 0, timeoutMs);
      timeouts.set(service, longestMs);
    }
  }
  return timeouts;
}

/**
 * Returns the route of the host with the longest prefix that matches the path,
 * or undefined. The port of the host and the query of the path are ignored.
 */
export function findRoute(
  table: RouteTable,
  host: string,
  path: string,
): Route | undefined {
  const [name = ''] = host.split(':');
  const query = path.indexOf('?');
  const plainPath = query < 0 ? path : path.slice(0, query);
  return table.routesByHost
    .get(name.toLowerCase())
    ?.find(({prefix}) => plainPath.startsWith(prefix));
}
