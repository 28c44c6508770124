import type {Clock} from '../clock.js';
import {Importance, RefusalReason} from '../types.js';
import type {
  AdmissionLevel,
  Arrival,
  Completion,
  Gate,
  GateAction,
} from './types.js';
import {GateActionKind} from './types.js';

/** Gate with a fixed limit and no queue; the baseline in benchmarks. */
export class SimpleGate implements Gate {
  private readonly running = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly limit: number,
  ) {}

  offer(arrival: Arrival): GateAction[] {
    if (arrival.deadline <= this.clock.readMs()) {
      return [createRefusal(arrival.ticket, RefusalReason.DEADLINE)];
    }
    if (this.running.size >= this.limit) {
      return [createRefusal(arrival.ticket, RefusalReason.OVERLOADED)];
    }
    this.running.add(arrival.ticket);
    return [{kind: GateActionKind.START, ticket: arrival.ticket}];
  }

  finish(ticket: string, _completion: Completion): GateAction[] {
    this.running.delete(ticket);
    return [];
  }

  cancel(ticket: string): GateAction[] {
    this.running.delete(ticket);
    return [];
  }

  tick(): GateAction[] {
    return [];
  }

  readLevel(): AdmissionLevel {
    return {lowestAdmitted: Importance.LOW, validMs: 1_000};
  }

  countRunning(): number {
    return this.running.size;
  }

  countWaiting(): number {
    return 0;
  }

  readLimit(): number {
    return this.limit;
  }
}

function createRefusal(ticket: string, reason: RefusalReason): GateAction {
  return {kind: GateActionKind.REFUSE, ticket, reason, retryAfterMs: 1_000};
}
