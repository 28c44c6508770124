/** Controls which calls run on the upstream beside the node, and when. */
import type {Clock} from 'sycamoreyoke/clock';
import type {InvariantReporter} from 'sycamoreyoke/invariants';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import {AdaptiveGate} from 'sycamoreyoke/process/gate';
import {computeGateDeadline} from 'sycamoreyoke/process/gateDeadline';
import type {CallParents} from 'sycamoreyoke/process/callParents';
import {computeStatedDeadline} from 'sycamoreyoke/process/callParents';
import type {GateParameters} from 'sycamoreyoke/process/gateParameters';
import type {UpstreamLoad} from 'sycamoreyoke/process/placement';
import type {GateAction} from 'sycamoreyoke/process/types';
import {Completion, GateActionKind} from 'sycamoreyoke/process/types';
import type {UpstreamLeaving} from 'sycamoreyoke/process/upstreamLeavings';
import type {
  UpstreamHeartbeat,
  UpstreamPresence,
} from 'sycamoreyoke/process/upstreamPresence';
import {PresenceChange} from 'sycamoreyoke/process/upstreamPresence';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {RefusalReason} from 'sycamoreyoke/types';
import {createFailure} from '../connection/callFailure.js';
import type {UpstreamPool} from '../connection/upstreamPool.js';
import {DEFAULT_SLOTS, DRAIN_START_SHARE, GATE_TICK_MS} from '../constants.js';
import {describeOrder} from '../request/callAccount.js';
import {UpstreamRun} from '../request/upstreamRun.js';
import type {
  CallResult,
  OutgoingCall,
  PendingCall,
  ResultHandler,
  WireProtocol,
} from '../types.js';
import {GateReason} from '../types.js';
import {ChildCalls} from './childCalls.js';
import type {CrashTask} from './crashTask.js';
import type {GateRefusal} from './gateRefusal.js';
import {NODE_STOPPING_REFUSAL, createRefusal} from './gateRefusal.js';
import {SlotLimiter} from './slotLimiter.js';
import type {StatusCheck} from './statusCheck.js';
import type {CrashObserver} from './upstreamHealth.js';
import {UpstreamHealth} from './upstreamHealth.js';
import {recordPresence, recordRefusal, recordRun} from './upstreamLog.js';

/** The methods of the crash task that this task uses. */
export type CrashGuard = CrashObserver & Pick<CrashTask, 'check'>;

/** Dependencies of the task. */
export interface UpstreamTaskParts {
  readonly service: string;
  readonly drainMs: number;
  readonly clock: Clock;
  readonly wire: WireProtocol;
  readonly presence: UpstreamPresence;
  readonly status: Pick<StatusCheck, 'hasKnownPast' | 'observeHeartbeat'>;
  readonly callParents: CallParents;
  /** Whether requests need keys, so that calls must differ from them. */
  readonly hasAccounts: () => boolean;
  /** Longest duration of a request of the service, ms. */
  readonly readLongestTimeoutMs: () => number;
  readonly pool: UpstreamPool;
  readonly crashes: CrashGuard;
  readonly parameters: GateParameters;
  readonly report: InvariantReporter;
  readonly record: EventRecorder;
  /** Whether a call that arrives now can finish before the node stops. */
  readonly hasTimeToFinish: (deadlineMs: number) => boolean;
  /** The same for a call that has waited in the gate's queue. */
  readonly hasTimeToStart: (deadlineMs: number) => boolean;
  /** Called when the upstream becomes available, leaves or is lost. */
  readonly handleChange: () => void;
}

/** A call from its arrival at the gate to its result. */
interface GateCall {
  readonly ticket: string;
  readonly call: OutgoingCall;
  readonly deadlineMs: number;
  readonly handle: ResultHandler;
  run: UpstreamRun | undefined;
}

/** Weight of a new sample in the moving average of service times. */
const SERVICE_WEIGHT = 0.05;

/** Admits calls within the limit and runs them on the upstream. */
export class UpstreamTask {
  /** The calls that the upstream makes. */
  readonly childCalls: ChildCalls;
  private readonly limiter = new SlotLimiter(DEFAULT_SLOTS);
  private readonly gate: AdaptiveGate;
  private readonly health: UpstreamHealth;
  private readonly calls = new Map<string, GateCall>();
  private nextTicket = 1;
  private meanServiceMs = 0;
  /** Whether the upstream tells for how long it is slow after a start. */
  private announcesCold = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: UpstreamTaskParts) {
    this.childCalls = new ChildCalls({
      callParents: parts.callParents,
      clock: parts.clock,
      findRequest: (ticket) => this.calls.get(ticket),
      readLongestTimeoutMs: parts.readLongestTimeoutMs,
    });
    this.gate = new AdaptiveGate({
      clock: parts.clock,
      limiter: this.limiter,
      parameters: parts.parameters,
      report: parts.report,
      handleThrottleChange: (kind, isThrottled) =>
        parts.record(EventCode.THROTTLE_CHANGED, {
          place: 'gate',
          kind,
          isThrottled,
        }),
    });
    this.health = new UpstreamHealth({
      get drainMs() {
        return parts.drainMs;
      },
      clock: parts.clock,
      presence: parts.presence,
      pool: parts.pool,
      crashes: parts.crashes,
      record: parts.record,
      listRunning: () => this.listRunning(),
      handleChange: parts.handleChange,
      handleDown: () => {
        if (this.announcesCold) this.startPace('recovered');
      },
    });
  }

  /** Describes the load, by which other nodes choose where to send calls. */
  describeLoad(): UpstreamLoad {
    const upstream = this.parts.presence.read();
    return {
      isAvailable: upstream !== undefined && this.isUp(),
      isDraining: upstream?.drainingSinceMs !== undefined,
      limit: this.gate.readLimit(),
      running: this.gate.countRunning(),
      waiting: this.gate.countWaiting(),
      meanServiceMs: Math.round(this.meanServiceMs),
    };
  }

  /** Counts the kinds of calls that the gate throttles. */
  countThrottled(): number {
    return this.gate.countThrottled();
  }

  countCalls(): number {
    return this.calls.size;
  }

  /** Counts the calls that were offered to the gate since the start. */
  countOffered(): number {
    return this.nextTicket - 1;
  }

  /** Handles a heartbeat; returns how it changed the upstream's presence. */
  observeHeartbeat(heartbeat: UpstreamHeartbeat): PresenceChange {
    const isPlanned = this.health.isPastDrain();
    const change = this.parts.presence.observe(heartbeat);
    const {instance, slots, sequence} = heartbeat;
    if (change === PresenceChange.OUTDATED) {
      this.parts.record(EventCode.HEARTBEAT_REFUSED, {instance, sequence});
      return change;
    }
    if (change === PresenceChange.STARTED) {
      this.health.recordEnd(isPlanned);
      this.parts.pool.close();
    }
    this.limiter.update(slots);
    this.announcesCold ||= heartbeat.coldMs > 0;
    if (change === PresenceChange.STARTED && heartbeat.coldMs > 0) {
      this.startPace('started');
    }
    this.parts.status.observeHeartbeat(heartbeat, change);
    if (change !== PresenceChange.NONE) {
      recordPresence(this.parts.record, change, instance, slots);
      this.parts.handleChange();
    }
    this.applyActions(this.gate.tick());
    return change;
  }

  /** Handles the upstream's announcement that it is leaving. */
  observeLeave(instance: string): void {
    const change = this.parts.presence.recordLeaving(instance);
    if (change === PresenceChange.NONE) return;
    recordPresence(this.parts.record, PresenceChange.DRAINING, instance, 0);
    this.parts.handleChange();
  }

  /** Applies leavings that an earlier process of the node acknowledged. */
  mergeLeavings(leavings: readonly UpstreamLeaving[]): void {
    const change = this.parts.presence.mergeLeavings(leavings);
    if (change === PresenceChange.NONE) return;
    const instances = leavings.map(({instance}) => instance).join(' ');
    this.parts.record(EventCode.LEAVING_LEARNED, {instances});
    this.parts.handleChange();
  }

  /** Offers a call to the gate; the handler is called once with the result. */
  offer(call: OutgoingCall, handle: ResultHandler): PendingCall {
    const nowMs = this.parts.clock.readMs();
    const deadlineMs = nowMs + call.leftMs;
    const refusal = this.parts.hasTimeToFinish(deadlineMs)
      ? this.findRefusal(call)
      : NODE_STOPPING_REFUSAL;
    if (refusal) {
      const {reason, retryAfterMs} = refusal;
      this.recordRefusal(call, reason);
      handle(createFailure(SendEnd.REFUSED_BY_GATE, reason, retryAfterMs));
      return {cancel: () => undefined};
    }
    const ticket = String(this.nextTicket++);
    this.calls.set(ticket, {ticket, call, deadlineMs, handle, run: undefined});
    const arrival = {
      ticket,
      ...describeOrder(call),
      deadline: computeGateDeadline({
        nowMs,
        leftMs: call.leftMs,
        usefulMs: call.usefulMs,
        running: this.gate.countRunning(),
        waiting: this.gate.countWaiting(),
        limit: this.gate.readLimit(),
      }),
      requestClass: call.kind,
    };
    this.applyActions(this.gate.offer(arrival));
    return {
      cancel: () => this.cancel(ticket),
      isWaiting: () => this.isWaiting(ticket),
    };
  }

  stop(): void {
    clearTimeout(this.timer);
    this.parts.pool.close();
  }

  private findRefusal(call: OutgoingCall): GateRefusal | undefined {
    if (call.service !== this.parts.service) {
      return createRefusal(GateReason.WRONG_SERVICE);
    }
    const {isRefused, retryAfterMs} = this.parts.crashes.check(call);
    if (isRefused) return createRefusal(GateReason.CRASHING, retryAfterMs);
    const upstream = this.parts.presence.read();
    if (!upstream || !this.isUp()) {
      return createRefusal(GateReason.UPSTREAM_DOWN);
    }
    return this.hasTimeBeforeDrainEnd(upstream.drainingSinceMs)
      ? undefined
      : createRefusal(GateReason.DRAINING);
  }

  private isUp(): boolean {
    return !this.health.isDown() && this.parts.status.hasKnownPast();
  }

  private hasTimeBeforeDrainEnd(drainingSinceMs: number | undefined): boolean {
    if (drainingSinceMs === undefined) return true;
    const drainedMs = this.parts.clock.readMs() - drainingSinceMs;
    return drainedMs < this.parts.drainMs * DRAIN_START_SHARE;
  }

  private applyActions(actions: readonly GateAction[]): void {
    for (const action of actions) {
      const gateCall = this.calls.get(action.ticket);
      if (!gateCall) continue;
      if (action.kind === GateActionKind.START) {
        this.start(gateCall);
        continue;
      }
      this.calls.delete(action.ticket);
      const reason =
        action.reason === RefusalReason.CANCELLED
          ? GateReason.CANCELLED
          : action.reason === RefusalReason.DEADLINE
            ? GateReason.DEADLINE
            : GateReason.OVERLOADED;
      this.recordRefusal(gateCall.call, reason);
      gateCall.handle(
        createFailure(SendEnd.REFUSED_BY_GATE, reason, action.retryAfterMs),
      );
    }
    this.scheduleTick();
  }

  private start(gateCall: GateCall): void {
    const refusal = this.parts.hasTimeToStart(gateCall.deadlineMs)
      ? this.findRefusal(gateCall.call)
      : NODE_STOPPING_REFUSAL;
    const upstream = this.parts.presence.read();
    if (refusal || !upstream) {
      const {reason, retryAfterMs} =
        refusal ?? createRefusal(GateReason.UPSTREAM_DOWN);
      const failure = createFailure(
        SendEnd.REFUSED_BY_GATE,
        reason,
        retryAfterMs,
      );
      this.finish(gateCall, Completion.CANCELLED, failure);
      return;
    }
    const startedMs = this.parts.clock.readMs();
    const {ticket, deadlineMs} = gateCall;
    const statedDeadlineMs = this.parts.hasAccounts()
      ? computeStatedDeadline(deadlineMs, startedMs)
      : deadlineMs;
    gateCall.run = new UpstreamRun({
      call: gateCall.call,
      instance: upstream.instance,
      deadlineMs,
      statedDeadlineMs,
      readMs: () => this.parts.clock.readMs(),
      wire: this.parts.wire,
      pool: this.parts.pool,
      handle: (end) => {
        const {completion, result} = end;
        const elapsedMs = this.parts.clock.readMs() - startedMs;
        recordRun(
          this.parts.record,
          gateCall.call,
          upstream.instance,
          end,
          elapsedMs,
          this.describeLoad(),
        );
        if (completion === Completion.SUCCEEDED) this.updateMean(elapsedMs);
        const {call} = gateCall;
        this.health.observeRunEnd(call, upstream.instance, startedMs, end);
        this.finish(gateCall, completion, result);
      },
    });
    this.parts.callParents.start({ticket, statedDeadlineMs}, startedMs);
    gateCall.run.start();
  }

  private finish(
    gateCall: GateCall,
    completion: Completion,
    result: CallResult,
  ): void {
    if (!this.calls.delete(gateCall.ticket)) return;
    const isAnswered = result.end !== SendEnd.LOST;
    this.parts.callParents.finish(gateCall.ticket, isAnswered);
    const actions = this.gate.finish(gateCall.ticket, completion);
    gateCall.handle(result);
    this.applyActions(actions);
  }

  private isWaiting(ticket: string): boolean {
    const gateCall = this.calls.get(ticket);
    return gateCall !== undefined && gateCall.run === undefined;
  }

  /**
   * Cancels a call. A non-idempotent request that is already running is left to
   * finish: aborting it would leave its effect on the upstream unknown.
   */
  private cancel(ticket: string): void {
    const gateCall = this.calls.get(ticket);
    if (!gateCall) return;
    if (gateCall.run && !gateCall.call.isIdempotent) return;
    gateCall.run?.cancel();
    if (!this.calls.has(ticket)) return;
    this.calls.delete(ticket);
    this.parts.callParents.finish(ticket, false);
    this.applyActions(this.gate.cancel(ticket));
  }

  /** Lists the calls whose requests the upstream may have received. */
  private listRunning(): readonly OutgoingCall[] {
    return [...this.calls.values()]
      .filter(({run}) => run?.hasSent())
      .map(({call}) => call);
  }

  private startPace(cause: string): void {
    this.limiter.startPace();
    this.parts.record(EventCode.UPSTREAM_PACED, {
      cause,
      limit: this.limiter.readLimit(),
    });
  }

  private updateMean(elapsedMs: number): void {
    const meanMs = this.meanServiceMs || elapsedMs;
    this.meanServiceMs = meanMs + SERVICE_WEIGHT * (elapsedMs - meanMs);
  }

  private recordRefusal(call: OutgoingCall, reason: GateReason): void {
    recordRefusal(
      this.parts.record,
      call,
      reason,
      this.describeLoad(),
      this.gate.describeBacklog(describeOrder(call)),
    );
  }

  private scheduleTick(): void {
    if (this.timer || this.gate.countWaiting() === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.applyActions(this.gate.tick());
    }, GATE_TICK_MS);
  }
}
