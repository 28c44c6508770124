/** Finds parts of a routing configuration that cannot work as intended. */
import {Severity} from '../findings.js';
import type {Account} from './accounts.js';
import type {Route, RouteTable} from './routeTable.js';

/** What a finding is about. */
export enum TableSection {
  ROUTES = 'routes',
  SERVICES = 'services',
  ACCOUNTS = 'accounts',
  LIMITS = 'limits',
}

/** Fields that a finding can name. */
export enum TableField {
  HOST = 'host',
  PREFIX = 'prefix',
  TARGETS = 'targets',
  TIMEOUT = 'timeout',
  MAX_ATTEMPTS = 'max-attempts',
  MAX_CONNECTIONS = 'max-connections',
  MAX_BODY_BYTES = 'max-body-bytes',
  RATE = 'rate',
  BURST = 'burst',
}

/** A finding and the object and field that it is about. */
export interface TableFinding {
  readonly section: TableSection;
  /** Name of the route, service or account; empty for the limits. */
  readonly name: string;
  readonly field: TableField;
  readonly message: string;
  readonly severity: Severity;
}

/** The upstreams of a service. */
export interface UpstreamGroup {
  readonly count: number;
  /** Requests that each upstream runs at once. */
  readonly slots: number;
}

/** Facts about the deployment; checks without their facts are left out. */
export interface DeploymentFacts {
  readonly upstreams: ReadonlyMap<string, UpstreamGroup>;
  /** Largest request body that the smallest VM can hold. */
  readonly maxHeldBodyBytes: number | undefined;
}

/**
 * Requests of an account arrive in groups; with a burst below this time of its
 * rate, some of a group are refused although the rate is kept on average.
 */
const MIN_BURST_S = 0.1;

/** Lists the findings of a configuration that could be decoded. */
export function checkRouteTable(
  table: RouteTable,
  facts: DeploymentFacts,
): readonly TableFinding[] {
  return [
    ...checkMatches(table.routes),
    ...table.routes.flatMap((route) => checkTargets(route, table)),
    ...table.routes.flatMap((route) => checkRouteLimits(route, facts)),
    ...checkServices(table, facts),
    ...checkBodyLimit(table, facts),
    ...[...(table.accounts?.accounts.values() ?? [])].flatMap(checkAllotment),
  ];
}

function createRouteFinding(
  {name}: Route,
  field: TableField,
  message: string,
  severity = Severity.ERROR,
): TableFinding {
  return {section: TableSection.ROUTES, name, field, message, severity};
}

/** Finds routes that no request can match. */
function checkMatches(routes: readonly Route[]): TableFinding[] {
  const firstByMatch = new Map<string, string>();
  return routes.flatMap((route) => {
    const findings: TableFinding[] = [];
    const {host, prefix, name} = route;
    const match = `${host.toLowerCase()} ${prefix}`;
    const first = firstByMatch.get(match);
    if (first === undefined) firstByMatch.set(match, name);
    else {
      const message = `route "${first}" has the same host and prefix and comes first`;
      findings.push(createRouteFinding(route, TableField.PREFIX, message));
    }
    if (!/^[^\s:/]+$/.test(host)) {
      const message = 'no request can have this host; give it without a port';
      findings.push(createRouteFinding(route, TableField.HOST, message));
    }
    if (!/^\/(?:[^\s?#]*\/)?$/.test(prefix)) {
      const message = 'the prefix must be a path that begins and ends with /';
      findings.push(createRouteFinding(route, TableField.PREFIX, message));
    }
    return findings;
  });
}

function checkTargets(
  route: Route,
  {services}: Pick<RouteTable, 'services'>,
): TableFinding[] {
  const create = (message: string, severity?: Severity) =>
    createRouteFinding(route, TableField.TARGETS, message, severity);
  const findings = route.targets.flatMap(({service, weight}) => [
    ...(services.has(service)
      ? []
      : [create(`service "${service}" does not exist`)]),
    ...(weight > 0
      ? []
      : [create(`service "${service}" gets no request`, Severity.WARNING)]),
  ]);
  return route.targets.some(({weight}) => weight > 0)
    ? findings
    : [...findings, create('no target has a weight above 0')];
}

/** Finds limits of a route that contradict each other. */
function checkRouteLimits(
  route: Route,
  {upstreams}: DeploymentFacts,
): TableFinding[] {
  const findings: TableFinding[] = [];
  if (route.timeoutMs < route.targetLatencyMs) {
    const message = `the timeout of ${route.timeoutMs} ms is below the target latency of ${route.targetLatencyMs} ms`;
    findings.push(createRouteFinding(route, TableField.TIMEOUT, message));
  }
  const groups = route.targets.map(({service}) => upstreams.get(service));
  const counts = groups.flatMap((group) => group?.count ?? []);
  const most = Math.max(0, ...counts);
  if (counts.length === groups.length && route.maxAttempts > most) {
    const message = `${route.maxAttempts} attempts, but its services have at most ${most} upstreams`;
    const severity = Severity.WARNING;
    const field = TableField.MAX_ATTEMPTS;
    findings.push(createRouteFinding(route, field, message, severity));
  }
  return findings;
}

function checkServices(
  {services}: RouteTable,
  {upstreams}: DeploymentFacts,
): TableFinding[] {
  return [...services.values()].flatMap(({name, maxConnections}) => {
    const slots = upstreams.get(name)?.slots ?? 0;
    if (maxConnections >= slots) return [];
    const message = `${maxConnections} connections serve ${slots} slots, each with one request at a time`;
    return [
      {
        section: TableSection.SERVICES,
        name,
        field: TableField.MAX_CONNECTIONS,
        message,
        severity: Severity.ERROR,
      },
    ];
  });
}

function checkBodyLimit(
  {limits}: RouteTable,
  {maxHeldBodyBytes}: DeploymentFacts,
): TableFinding[] {
  const {maxBodyBytes} = limits;
  if (maxHeldBodyBytes === undefined || maxBodyBytes <= maxHeldBodyBytes) {
    return [];
  }
  const message = `bodies of ${maxBodyBytes} bytes are allowed, and the smallest VM holds ${Math.floor(maxHeldBodyBytes)}`;
  const field = TableField.MAX_BODY_BYTES;
  const severity = Severity.WARNING;
  const section = TableSection.LIMITS;
  return [{section, name: '', field, message, severity}];
}

function checkAllotment({name, ratePerS, burst}: Account): TableFinding[] {
  const create = (field: TableField, message: string): TableFinding => ({
    section: TableSection.ACCOUNTS,
    name,
    field,
    message,
    severity: Severity.WARNING,
  });
  if (ratePerS === undefined) {
    const message = 'without a rate the burst has no effect';
    return burst > 0 ? [create(TableField.BURST, message)] : [];
  }
  if (burst >= ratePerS * MIN_BURST_S) return [];
  const message = `a burst of ${burst} is used up by ${MIN_BURST_S} s of the rate`;
  return [create(TableField.BURST, message)];
}
