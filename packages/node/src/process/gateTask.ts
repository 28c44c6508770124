import type {Clock} from 'sycamoreyoke/clock';
import type {AdaptiveGate} from 'sycamoreyoke/process/gate';
import type {GateParameters} from 'sycamoreyoke/process/gateParameters';
import type {
  AdmissionLevel,
  Arrival,
  Completion,
  GateAction,
} from 'sycamoreyoke/process/types';
import {GateActionKind} from 'sycamoreyoke/process/types';
import {RefusalReason} from 'sycamoreyoke/types';

/** Period of the gate's expiry check. */
const TICK_MS = 20;

type RefusalAction = Extract<GateAction, {kind: GateActionKind.REFUSE}>;

/** The refusal of a ticket; undefined when the ticket may start. */
type AdmissionResult = RefusalAction | undefined;

/** Runs the admission gate and resolves each waiting call with its result. */
export class GateTask {
  private readonly pending = new Map<
    string,
    (result: AdmissionResult) => void
  >();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly gate: AdaptiveGate,
    readonly clock: Clock,
  ) {}

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Resolves once the gate has started or refused the ticket. */
  admit(arrival: Arrival): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      this.pending.set(arrival.ticket, resolve);
      this.apply(this.gate.offer(arrival));
      this.scheduleExpiry();
    });
  }

  /**
   * Frees the slot of a ticket. `childMs` is the time in ms during which the
   * upstream had outgoing calls in flight.
   */
  finish(ticket: string, completion: Completion, childMs = 0): void {
    this.apply(this.gate.finish(ticket, completion, childMs));
  }

  update(parameters: GateParameters): void {
    this.gate.update(parameters);
  }

  /** Cancels a ticket that is still waiting for admission. */
  cancel(ticket: string, reason = RefusalReason.CANCELLED): void {
    const resolve = this.pending.get(ticket);
    if (!resolve) return;
    this.pending.delete(ticket);
    this.apply(this.gate.cancel(ticket));
    resolve({kind: GateActionKind.REFUSE, ticket, reason, retryAfterMs: 0});
  }

  /** Refuses all waiting tickets. */
  refuseWaiting(reason: RefusalReason): void {
    for (const ticket of [...this.pending.keys()]) this.cancel(ticket, reason);
  }

  readLevel(): AdmissionLevel {
    return this.gate.readLevel();
  }

  /** Current counts for the status page and the metrics. */
  read(): {running: number; waiting: number; limit: number} {
    return {
      running: this.gate.countRunning(),
      waiting: this.gate.countWaiting(),
      limit: this.gate.readLimit(),
    };
  }

  /** Checks for expired tickets, only while some wait, to save idle CPU. */
  private scheduleExpiry(): void {
    if (this.pending.size === 0 || this.timer) return;
    this.timer = setInterval(() => {
      this.apply(this.gate.tick());
      if (this.pending.size === 0) this.stop();
    }, TICK_MS);
  }

  private apply(actions: readonly GateAction[]): void {
    for (const action of actions) {
      const resolve = this.pending.get(action.ticket);
      this.pending.delete(action.ticket);
      resolve?.(action.kind === GateActionKind.REFUSE ? action : undefined);
    }
  }
}
