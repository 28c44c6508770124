import {VirtualClock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import {AdmissionLevelCache} from 'sycamoreyoke/process/admissionLevel';
import type {Member} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import {createRandom} from 'sycamoreyoke/random';
import {CallExecution} from './callExecution.js';
import {CallerFake} from './callerFake.js';
import {Egress} from './egress.js';
import {EventQueue} from './eventQueue.js';
import {GateHost, createMember} from './gateHost.js';
import type {RunCounts} from './runCounts.js';
import {createRunCounts} from './runCounts.js';
import type {Deployment, Scenario} from './types.js';
import {UpstreamFake} from './upstreamFake.js';
import type {Variant} from './variants.js';

/** Time after the last arrival in which requests may still finish. */
const DRAIN_MS = 5_000;
/** Relative service times of the upstreams of a service, in turn. */
const SPEEDS = [1, 0.8, 1.3, 1.1];
/** One-way, within a data centre. */
const NEAR_LINK_MS = 0.1;

/** Result of one run. */
export interface ModelRun {
  readonly counts: RunCounts;
  readonly hosts: readonly GateHost[];
}

/** Runs a deployment through a scenario. */
export function runModel(
  deployment: Deployment,
  scenario: Scenario,
  variant: Variant,
  seed: number,
  report: InvariantReporter,
): ModelRun {
  const random = createRandom(seed);
  const events = new EventQueue(new VirtualClock());
  const counts = createRunCounts();
  const hosts = createHosts(
    deployment,
    scenario,
    variant,
    events,
    counts,
    random,
    report,
  );
  const computeSlowdown = (service: string): number =>
    service === deployment.slowService && isTriggered(scenario, events)
      ? scenario.slowdown
      : 1;
  const execution = new CallExecution({
    events,
    variant,
    counts,
    computeSlowdown,
  });
  const createEgress = (
    dataCentre: string,
    computeLinkMs: (member: Member) => number,
  ): Egress => {
    const router = variant.createRouter(events.clock, random, dataCentre);
    for (const {name} of deployment.services) {
      router.update(
        name,
        [...hosts.values()]
          .map(({member}) => member)
          .filter(({service}) => service === name),
      );
    }
    return new Egress({
      events,
      random,
      variant,
      router,
      levels: new AdmissionLevelCache(events.clock, random),
      hosts,
      runCall: execution.run,
      computeLinkMs,
    });
  };
  for (const host of hosts.values()) {
    const {dataCentre} = host.member;
    const egress = createEgress(dataCentre, (member) =>
      member.dataCentre === dataCentre
        ? NEAR_LINK_MS
        : deployment.dataCentreLatencyMs,
    );
    execution.add(host, egress);
  }
  for (const dataCentre of deployment.dataCentres) {
    const egress = createEgress(dataCentre, () => deployment.callerLatencyMs);
    const caller = new CallerFake({
      events,
      random,
      counts,
      deployment,
      scenario,
      egress,
      allowance: variant.allowance,
    });
    caller.start();
  }
  events.run(scenario.endMs + DRAIN_MS);
  return {counts, hosts: [...hosts.values()]};
}

function isTriggered(scenario: Scenario, events: EventQueue): boolean {
  const nowMs = events.clock.readMs();
  return nowMs >= scenario.triggerStartMs && nowMs < scenario.triggerEndMs;
}

/** Relative service time of an upstream. */
export function getSpeed(index: number): number {
  return SPEEDS[index % SPEEDS.length] ?? 1;
}

function createHosts(
  deployment: Deployment,
  scenario: Scenario,
  variant: Variant,
  events: EventQueue,
  counts: RunCounts,
  random: Random,
  report: InvariantReporter,
): Map<string, GateHost> {
  const hosts = new Map<string, GateHost>();
  for (const {name, upstreams, slots} of deployment.services) {
    for (let index = 0; index < upstreams; index += 1) {
      const {announcedShares} = scenario;
      const announced =
        slots * (announcedShares[index % announcedShares.length] ?? 1);
      const {dataCentres} = deployment;
      const member = createMember(
        name,
        `${name}-${index}`,
        dataCentres[index % dataCentres.length] ?? '',
        Math.round(announced),
      );
      const upstream = new UpstreamFake(events, random, slots, getSpeed(index));
      hosts.set(
        member.incarnation,
        new GateHost(events, variant, counts, member, upstream, report),
      );
    }
  }
  return hosts;
}
