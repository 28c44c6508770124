import {VirtualClock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import {AdmissionLevelCache} from 'sycamoreyoke/process/admissionLevel';
import type {Member} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import {createRandom} from 'sycamoreyoke/random';
import {CallExecution} from './callExecution.js';
import {SimulatedCallers} from './simulatedCallers.js';
import {Egress} from './egress.js';
import {EventQueue} from './eventQueue.js';
import {SimulatedNode, createMember} from './simulatedNode.js';
import type {RunCounts} from './runCounts.js';
import {createRunCounts} from './runCounts.js';
import type {Deployment, Scenario} from './types.js';
import {SimulatedUpstream} from './simulatedUpstream.js';
import type {Variant} from './variants.js';

/** Time after the end of arrivals for requests in flight to finish. */
const DRAIN_MS = 5_000;
/** Service time factors, assigned cyclically to a service's upstreams. */
const SERVICE_TIME_FACTORS = [1, 0.8, 1.3, 1.1];
/** One-way latency within a data centre. */
const LOCAL_LATENCY_MS = 0.1;

/** Result of one run. */
export interface ModelRun {
  readonly counts: RunCounts;
  readonly nodes: readonly SimulatedNode[];
}

/** Simulates a deployment in a scenario. Equal seeds give equal runs. */
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
  const nodes = createNodes(
    deployment,
    scenario,
    variant,
    events,
    counts,
    random,
    report,
  );
  const computeSlowdownFactor = (service: string): number =>
    service === deployment.slowService && isTriggerActive(scenario, events)
      ? scenario.slowdownFactor
      : 1;
  const execution = new CallExecution({
    events,
    variant,
    counts,
    computeSlowdownFactor,
  });
  const createEgress = (
    dataCentre: string,
    computeLinkLatencyMs: (member: Member) => number,
  ): Egress => {
    const router = variant.createRouter(events.clock, random, dataCentre);
    for (const {name} of deployment.services) {
      router.update(
        name,
        [...nodes.values()]
          .map(({member}) => member)
          .filter(({service}) => service === name),
      );
    }
    return new Egress({
      events,
      random,
      variant,
      router,
      admissionLevels: new AdmissionLevelCache(events.clock, random),
      nodes,
      runCall: execution.run,
      computeLinkLatencyMs,
    });
  };
  for (const node of nodes.values()) {
    const {dataCentre} = node.member;
    const egress = createEgress(dataCentre, (member) =>
      member.dataCentre === dataCentre
        ? LOCAL_LATENCY_MS
        : deployment.dataCentreLatencyMs,
    );
    execution.add(node, egress);
  }
  for (const dataCentre of deployment.dataCentres) {
    const egress = createEgress(dataCentre, () => deployment.callerLatencyMs);
    const callers = new SimulatedCallers({
      events,
      random,
      counts,
      deployment,
      scenario,
      egress,
      retriesPerRequest: variant.retriesPerRequest,
    });
    callers.start();
  }
  events.run(scenario.endMs + DRAIN_MS);
  return {counts, nodes: [...nodes.values()]};
}

function isTriggerActive(scenario: Scenario, events: EventQueue): boolean {
  const nowMs = events.clock.readMs();
  return nowMs >= scenario.triggerStartMs && nowMs < scenario.triggerEndMs;
}

/** Returns the service time factor of the upstream with this index. */
export function getServiceTimeFactor(index: number): number {
  return SERVICE_TIME_FACTORS[index % SERVICE_TIME_FACTORS.length] ?? 1;
}

function createNodes(
  deployment: Deployment,
  scenario: Scenario,
  variant: Variant,
  events: EventQueue,
  counts: RunCounts,
  random: Random,
  report: InvariantReporter,
): Map<string, SimulatedNode> {
  const nodes = new Map<string, SimulatedNode>();
  for (const {name, upstreams, slots} of deployment.services) {
    for (let index = 0; index < upstreams; index += 1) {
      const {announcedSlotShares} = scenario;
      const announcedSlots =
        slots * (announcedSlotShares[index % announcedSlotShares.length] ?? 1);
      const {dataCentres} = deployment;
      const member = createMember(
        name,
        `${name}-${index}`,
        dataCentres[index % dataCentres.length] ?? '',
        Math.round(announcedSlots),
      );
      const upstream = new SimulatedUpstream(
        events,
        random,
        slots,
        getServiceTimeFactor(index),
      );
      nodes.set(
        member.incarnation,
        new SimulatedNode(events, variant, counts, member, upstream, report),
      );
    }
  }
  return nodes;
}
