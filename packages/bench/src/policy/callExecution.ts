import {Completion} from 'sycamoreyoke/process/types';
import type {CallRunner, Egress} from './egress.js';
import type {EventQueue} from './eventQueue.js';
import type {SimulatedNode} from './simulatedNode.js';
import type {RetryBudget} from './retryBudget.js';
import type {RunCounts} from './runCounts.js';
import type {CallTree} from './types.js';
import type {UpstreamTask} from './simulatedUpstream.js';
import type {Variant} from './variants.js';
import type {Attempt} from './callerRequest.js';

/** Dependencies of {@link CallExecution}. */
export interface ExecutionParts {
  readonly events: EventQueue;
  readonly variant: Variant;
  readonly counts: RunCounts;
  /** Returns the current factor on the processing time of a service. */
  readonly computeSlowdownFactor: (service: string) => number;
}

/**
 * Executes calls: admission by the node's gate, work on its upstream, and the
 * child calls that the upstream makes.
 */
export class CallExecution {
  private readonly egressByNode = new Map<SimulatedNode, Egress>();

  constructor(private readonly parts: ExecutionParts) {}

  /** Sets the egress through which a node sends the calls of its upstream. */
  add(node: SimulatedNode, egress: Egress): void {
    this.egressByNode.set(node, egress);
  }

  /** Offers a call to a node and executes it there if the gate admits it. */
  readonly run: CallRunner = (node, call, attempt, retryBudget, done) => {
    node.offer({
      importance: attempt.request.kind.importance,
      deadline: attempt.deadline,
      requestClass: `${attempt.request.kind.name}/${call.service}`,
      start: (ticket) =>
        this.start(node, call, attempt, retryBudget, ticket, done),
      refuse: () => done(false),
    });
  };

  private start(
    node: SimulatedNode,
    call: CallTree,
    attempt: Attempt,
    retryBudget: RetryBudget,
    ticket: string,
    done: (succeeded: boolean) => void,
  ): void {
    const {events, variant} = this.parts;
    attempt.request.upstreamStarts += 1;
    const finish = (completion: Completion): void => {
      if (!task || task.isFinished) return;
      this.addSlotTime(attempt, node.upstream.finish(task));
      node.finish(ticket, completion, task.childCallMs);
      done(completion === Completion.SUCCEEDED);
    };
    const task = node.upstream.submit(() => {
      // `submit` may call this before it returns, when `task` is still unset.
      events.schedule(0, () => {
        if (task) this.runTask(node, call, attempt, retryBudget, task, finish);
      });
    });
    if (!task) {
      node.finish(ticket, Completion.SHED_BY_UPSTREAM, 0);
      done(false);
      return;
    }
    // An upstream stops work at the deadline if its node passes one on.
    if (variant.usesImportanceAndDeadline) {
      const remainingMs = attempt.deadline - events.clock.readMs();
      events.schedule(remainingMs, () => finish(Completion.TIMED_OUT));
    }
  }

  private runTask(
    node: SimulatedNode,
    call: CallTree,
    attempt: Attempt,
    retryBudget: RetryBudget,
    task: UpstreamTask,
    finish: (completion: Completion) => void,
  ): void {
    const meanProcessingMs =
      call.processingMs * this.parts.computeSlowdownFactor(call.service);
    if (call.childCalls.length === 0) {
      node.upstream.schedule(meanProcessingMs, () =>
        finish(Completion.SUCCEEDED),
      );
      return;
    }
    const finishWork = (): void =>
      node.upstream.schedule(meanProcessingMs / 2, () =>
        finish(Completion.SUCCEEDED),
      );
    const sendChildCall = (index: number): void => {
      const child = call.childCalls[index];
      if (task.isFinished) return;
      if (!child) {
        finishWork();
        return;
      }
      const sentMs = this.parts.events.clock.readMs();
      this.egressByNode
        .get(node)
        ?.send(child, attempt, retryBudget, (succeeded) => {
          task.childCallMs += this.parts.events.clock.readMs() - sentMs;
          if (succeeded) sendChildCall(index + 1);
          else finish(Completion.SHED_DOWNSTREAM);
        });
    };
    node.upstream.schedule(meanProcessingMs / 2, () => sendChildCall(0));
  }

  private addSlotTime(attempt: Attempt, slotMs: number): void {
    if (attempt.isFinished) this.parts.counts.wastedSlotMs += slotMs;
    else attempt.slotMs += slotMs;
  }
}
