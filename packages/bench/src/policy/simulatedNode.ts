import {AdaptiveGate} from 'sycamoreyoke/process/gate';
import type {
  AdmissionLevel,
  Completion,
  GateAction,
  Member,
} from 'sycamoreyoke/process/types';
import {GateActionKind, MemberState} from 'sycamoreyoke/process/types';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import {Importance, RefusalReason} from 'sycamoreyoke/types';
import type {EventQueue} from './eventQueue.js';
import type {RunCounts} from './runCounts.js';
import type {SimulatedUpstream} from './simulatedUpstream.js';
import type {Variant} from './variants.js';

/** Interval at which the gate expires requests past their deadline. */
const TICK_MS = 20;
/**
 * A critical request that is refused for overload counts as shed if a less
 * important one started within this time before its arrival.
 */
const SHED_WINDOW_MS = 50;

/** A request for admission, with the callbacks that receive the decision. */
export interface AdmissionRequest {
  readonly importance: Importance;
  /** Virtual time in milliseconds. */
  readonly deadline: number;
  readonly requestClass: string;
  readonly start: (ticket: string) => void;
  readonly refuse: (reason: RefusalReason) => void;
}

interface PendingRequest {
  readonly request: AdmissionRequest;
  readonly arrivedMs: number;
}

/** A node: its gate and its upstream. */
export class SimulatedNode {
  private readonly gate: AdaptiveGate;
  private readonly pendingByTicket = new Map<string, PendingRequest>();
  private nextTicket = 0;
  private lastNonCriticalStartMs = -Infinity;

  constructor(
    private readonly events: EventQueue,
    private readonly variant: Variant,
    private readonly counts: RunCounts,
    readonly member: Member,
    readonly upstream: SimulatedUpstream,
    report: InvariantReporter,
  ) {
    this.gate = new AdaptiveGate({
      clock: events.clock,
      limiter: variant.createLimiter(member.weight),
      parameters: variant.parameters,
      report,
    });
    events.schedule(TICK_MS, () => this.tick());
  }

  /** Offers a request to the gate, which calls `start` or `refuse` of it. */
  offer(request: AdmissionRequest): void {
    const ticket = `t${this.nextTicket}`;
    this.nextTicket += 1;
    const arrivedMs = this.events.clock.readMs();
    this.pendingByTicket.set(ticket, {request, arrivedMs});
    const {usesImportanceAndDeadline} = this.variant;
    this.apply(
      this.gate.offer({
        ticket,
        importance: usesImportanceAndDeadline
          ? request.importance
          : Importance.LOW,
        deadline: usesImportanceAndDeadline ? request.deadline : Infinity,
        requestClass: request.requestClass,
      }),
    );
  }

  /** Reports the end of a started request to the gate. */
  finish(ticket: string, completion: Completion, childCallMs: number): void {
    this.apply(this.gate.finish(ticket, completion, childCallMs));
  }

  readLevel(): AdmissionLevel {
    return this.gate.readLevel();
  }

  readLimit(): number {
    return this.gate.readLimit();
  }

  private tick(): void {
    this.apply(this.gate.tick());
    this.events.schedule(TICK_MS, () => this.tick());
  }

  private apply(actions: readonly GateAction[]): void {
    for (const action of actions) {
      const pending = this.pendingByTicket.get(action.ticket);
      if (!pending) continue;
      this.pendingByTicket.delete(action.ticket);
      if (action.kind === GateActionKind.START) {
        this.start(action.ticket, pending);
      } else {
        this.countShed(pending, action.reason);
        pending.request.refuse(action.reason);
      }
    }
  }

  private start(ticket: string, pending: PendingRequest): void {
    const nowMs = this.events.clock.readMs();
    if (pending.request.importance !== Importance.CRITICAL) {
      this.lastNonCriticalStartMs = nowMs;
    } else if (nowMs >= pending.request.deadline) {
      // Only a gate without deadlines starts a request that has expired.
      // Its caller has timed out, so it counts as shed.
      this.countShed(pending, RefusalReason.DEADLINE);
    }
    pending.request.start(ticket);
  }

  /**
   * Counts a critical request that was shed although this gate started a less
   * important one while it waited, or shortly before.
   */
  private countShed(
    {request, arrivedMs}: PendingRequest,
    reason: RefusalReason,
  ): void {
    if (request.importance !== Importance.CRITICAL) return;
    const sinceMs =
      reason === RefusalReason.OVERLOADED
        ? arrivedMs - SHED_WINDOW_MS
        : arrivedMs;
    if (this.lastNonCriticalStartMs > sinceMs) this.counts.criticalShed += 1;
  }
}

/** Creates the membership record of a simulated node. */
export function createMember(
  service: string,
  incarnation: string,
  dataCentre: string,
  weight: number,
): Member {
  return {
    service,
    incarnation,
    counter: 0,
    address: incarnation,
    peerPort: 0,
    controlPort: 0,
    adminPort: 0,
    publicPort: 0,
    dataCentre,
    region: 'region',
    state: MemberState.ACTIVE,
    weight,
    epoch: 0,
    startedMs: -60_000,
  };
}
