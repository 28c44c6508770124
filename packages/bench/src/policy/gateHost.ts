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
import type {UpstreamFake} from './upstreamFake.js';
import type {Variant} from './variants.js';

/** Period of the gate's expiry check. */
const TICK_MS = 20;
/** A refusal counts against a lesser start at most this long before it. */
const SHED_WINDOW_MS = 50;

/** What the gate is asked for. */
export interface Offer {
  readonly importance: Importance;
  readonly deadline: number;
  readonly requestClass: string;
  readonly start: (ticket: string) => void;
  readonly refuse: (reason: RefusalReason) => void;
}

interface PendingOffer {
  readonly offer: Offer;
  readonly arrivedMs: number;
}

/** The gate of one node with its upstream. */
export class GateHost {
  private readonly gate: AdaptiveGate;
  private readonly pending = new Map<string, PendingOffer>();
  private nextTicket = 0;
  private lesserStartedMs = -Infinity;

  constructor(
    private readonly events: EventQueue,
    private readonly variant: Variant,
    private readonly counts: RunCounts,
    readonly member: Member,
    readonly upstream: UpstreamFake,
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

  /** Asks the gate; the answer comes through the functions of the offer. */
  offer(offer: Offer): void {
    const ticket = `t${this.nextTicket}`;
    this.nextTicket += 1;
    const arrivedMs = this.events.clock.readMs();
    this.pending.set(ticket, {offer, arrivedMs});
    const {knowsRequests} = this.variant;
    this.apply(
      this.gate.offer({
        ticket,
        importance: knowsRequests ? offer.importance : Importance.LOW,
        deadline: knowsRequests ? offer.deadline : Infinity,
        requestClass: offer.requestClass,
      }),
    );
  }

  finish(ticket: string, completion: Completion, childMs: number): void {
    this.apply(this.gate.finish(ticket, completion, childMs));
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
      const pending = this.pending.get(action.ticket);
      if (!pending) continue;
      this.pending.delete(action.ticket);
      if (action.kind === GateActionKind.START) {
        this.start(action.ticket, pending);
      } else {
        this.countShed(pending, action.reason);
        pending.offer.refuse(action.reason);
      }
    }
  }

  private start(ticket: string, pending: PendingOffer): void {
    const nowMs = this.events.clock.readMs();
    if (pending.offer.importance !== Importance.CRITICAL) {
      this.lesserStartedMs = nowMs;
    } else if (nowMs >= pending.offer.deadline) {
      // A gate that knows no deadlines starts it too late to be of use.
      this.countShed(pending, RefusalReason.DEADLINE);
    }
    pending.offer.start(ticket);
  }

  /** Counts a critical request that lost to a lesser one at this gate. */
  private countShed(
    {offer, arrivedMs}: PendingOffer,
    reason: RefusalReason,
  ): void {
    if (offer.importance !== Importance.CRITICAL) return;
    const sinceMs =
      reason === RefusalReason.OVERLOADED
        ? arrivedMs - SHED_WINDOW_MS
        : arrivedMs;
    if (this.lesserStartedMs > sinceMs) this.counts.criticalShed += 1;
  }
}

/** Member record of a model node. */
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
