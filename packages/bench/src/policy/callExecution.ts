import {Completion} from 'sycamoreyoke/process/types';
import type {CallRunner, Egress} from './egress.js';
import type {EventQueue} from './eventQueue.js';
import type {GateHost} from './gateHost.js';
import type {Ledger} from './ledger.js';
import type {RunCounts} from './runCounts.js';
import type {CallNode} from './types.js';
import type {UpstreamRun} from './upstreamFake.js';
import type {Variant} from './variants.js';
import type {Attempt} from './wholeRequest.js';

/** Dependencies of {@link CallExecution}. */
export interface ExecutionParts {
  readonly events: EventQueue;
  readonly variant: Variant;
  readonly counts: RunCounts;
  /** Factor by which the processing time of a service is longer now. */
  readonly computeSlowdown: (service: string) => number;
}

/**
 * Executes calls: admission by the node's gate, work on its upstream, and the
 * child calls that the upstream makes.
 */
export class CallExecution {
  private readonly egresses = new Map<GateHost, Egress>();

  constructor(private readonly parts: ExecutionParts) {}

  /** Sets the egress through which a node sends the calls of its upstream. */
  add(host: GateHost, egress: Egress): void {
    this.egresses.set(host, egress);
  }

  /** Offers a call to a node and executes it there if the gate admits it. */
  readonly run: CallRunner = (host, call, attempt, ledger, done) => {
    host.offer({
      importance: attempt.request.kind.importance,
      deadline: attempt.deadline,
      requestClass: `${attempt.request.kind.name}/${call.service}`,
      start: (ticket) => this.start(host, call, attempt, ledger, ticket, done),
      refuse: () => done(false),
    });
  };

  private start(
    host: GateHost,
    call: CallNode,
    attempt: Attempt,
    ledger: Ledger,
    ticket: string,
    done: (succeeded: boolean) => void,
  ): void {
    const {events, variant} = this.parts;
    attempt.request.starts += 1;
    const finish = (completion: Completion): void => {
      if (!run || run.isOver) return;
      this.addSlotTime(attempt, host.upstream.finish(run));
      host.finish(ticket, completion, run.childMs);
      done(completion === Completion.SUCCEEDED);
    };
    const run = host.upstream.submit(() => {
      // `submit` may call this before it returns, when `run` is still unset.
      events.schedule(0, () => {
        if (run) this.runWork(host, call, attempt, ledger, run, finish);
      });
    });
    if (!run) {
      host.finish(ticket, Completion.SHED_BY_UPSTREAM, 0);
      done(false);
      return;
    }
    // An upstream stops work at the deadline if its node passes one on.
    if (variant.knowsRequests) {
      const remainingMs = attempt.deadline - events.clock.readMs();
      events.schedule(remainingMs, () => finish(Completion.TIMED_OUT));
    }
  }

  private runWork(
    host: GateHost,
    call: CallNode,
    attempt: Attempt,
    ledger: Ledger,
    run: UpstreamRun,
    finish: (completion: Completion) => void,
  ): void {
    const meanMs = call.ownMs * this.parts.computeSlowdown(call.service);
    if (call.calls.length === 0) {
      host.upstream.schedule(meanMs, () => finish(Completion.SUCCEEDED));
      return;
    }
    const finishWork = (): void =>
      host.upstream.schedule(meanMs / 2, () => finish(Completion.SUCCEEDED));
    const sendFrom = (index: number): void => {
      const child = call.calls[index];
      if (run.isOver) return;
      if (!child) {
        finishWork();
        return;
      }
      const sentMs = this.parts.events.clock.readMs();
      this.egresses.get(host)?.send(child, attempt, ledger, (succeeded) => {
        run.childMs += this.parts.events.clock.readMs() - sentMs;
        if (succeeded) sendFrom(index + 1);
        else finish(Completion.SHED_DOWNSTREAM);
      });
    };
    host.upstream.schedule(meanMs / 2, () => sendFrom(0));
  }

  private addSlotTime(attempt: Attempt, slotMs: number): void {
    if (attempt.isOver) this.parts.counts.wastedSlotMs += slotMs;
    else attempt.slotMs += slotMs;
  }
}
