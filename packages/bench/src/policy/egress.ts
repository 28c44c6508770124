import type {AdmissionLevelCache} from 'sycamoreyoke/process/admissionLevel';
import type {Member, Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import type {EventQueue} from './eventQueue.js';
import type {SimulatedNode} from './simulatedNode.js';
import type {RetryBudget} from './retryBudget.js';
import type {CallTree} from './types.js';
import type {Variant} from './variants.js';
import type {Attempt} from './callerRequest.js';

/** Longest pause before a retry by a node; the pause is random up to it. */
const MAX_BACKOFF_MS = 40;

/** Executes a call on a node and passes the result to `done`. */
export type CallRunner = (
  node: SimulatedNode,
  call: CallTree,
  attempt: Attempt,
  retryBudget: RetryBudget,
  done: (succeeded: boolean) => void,
) => void;

/** Dependencies of {@link Egress}. */
export interface EgressParts {
  readonly events: EventQueue;
  readonly random: Random;
  readonly variant: Variant;
  readonly router: Router;
  readonly admissionLevels: AdmissionLevelCache;
  readonly nodes: ReadonlyMap<string, SimulatedNode>;
  readonly runCall: CallRunner;
  /** One-way latency to a member in milliseconds. */
  readonly computeLinkLatencyMs: (member: Member) => number;
}

/** Routes calls to members of a service and retries failed ones. */
export class Egress {
  constructor(private readonly parts: EgressParts) {}

  /** Sends a call, with retries until one succeeds or none is allowed. */
  send(
    call: CallTree,
    attempt: Attempt,
    retryBudget: RetryBudget,
    done: (succeeded: boolean) => void,
  ): void {
    this.sendOnce(call, attempt, retryBudget, new Set(), 0, done);
  }

  private sendOnce(
    call: CallTree,
    attempt: Attempt,
    retryBudget: RetryBudget,
    triedIncarnations: ReadonlySet<string>,
    retries: number,
    done: (succeeded: boolean) => void,
  ): void {
    const {events, router} = this.parts;
    const member = this.chooseMember(call, attempt, triedIncarnations);
    const node = member && this.parts.nodes.get(member.incarnation);
    if (!member || !node) {
      done(false);
      return;
    }
    const sentMs = events.clock.readMs();
    const reservedBudget = retryBudget.reserve();
    router.start(member.incarnation);
    let isAnswered = false;
    const finish = (succeeded: boolean): void => {
      if (isAnswered) return;
      isAnswered = true;
      retryBudget.release(reservedBudget);
      router.finish(
        member.incarnation,
        events.clock.readMs() - sentMs,
        !succeeded,
      );
      if (succeeded) done(true);
      else
        this.sendRetry(
          call,
          attempt,
          retryBudget,
          triedIncarnations,
          member,
          retries,
          done,
        );
    };
    this.forward(node, call, attempt, reservedBudget, finish);
    if (!this.parts.variant.usesImportanceAndDeadline) {
      events.schedule(attempt.request.kind.timeoutMs, () => finish(false));
    }
  }

  private forward(
    node: SimulatedNode,
    call: CallTree,
    attempt: Attempt,
    reservedBudget: RetryBudget,
    finish: (succeeded: boolean) => void,
  ): void {
    const {events, admissionLevels} = this.parts;
    const {incarnation} = node.member;
    const linkLatencyMs = this.parts.computeLinkLatencyMs(node.member);
    events.schedule(linkLatencyMs, () => {
      this.parts.runCall(node, call, attempt, reservedBudget, (succeeded) => {
        const level = node.readLevel();
        events.schedule(linkLatencyMs, () => {
          if (this.parts.variant.refusesEarly)
            admissionLevels.observe(incarnation, level);
          finish(succeeded);
        });
      });
    });
  }

  private sendRetry(
    call: CallTree,
    attempt: Attempt,
    retryBudget: RetryBudget,
    triedIncarnations: ReadonlySet<string>,
    member: Member,
    retries: number,
    done: (succeeded: boolean) => void,
  ): void {
    const {events, random, variant} = this.parts;
    const pauseMs = random() * MAX_BACKOFF_MS;
    const isTooLate =
      variant.usesImportanceAndDeadline &&
      (attempt.isFinished ||
        events.clock.readMs() + pauseMs >= attempt.deadline);
    const canRetry =
      !isTooLate && retries < variant.retriesPerHop && retryBudget.takeRetry();
    if (!canRetry) {
      done(false);
      return;
    }
    attempt.request.nodeRetries += 1;
    const nextTried = new Set(triedIncarnations).add(member.incarnation);
    events.schedule(pauseMs, () =>
      this.sendOnce(call, attempt, retryBudget, nextTried, retries + 1, done),
    );
  }

  private chooseMember(
    call: CallTree,
    attempt: Attempt,
    triedIncarnations: ReadonlySet<string>,
  ): Member | undefined {
    const {router, admissionLevels, variant} = this.parts;
    const {importance} = attempt.request.kind;
    if (!variant.usesImportanceAndDeadline)
      return router.choose(call.service, new Set());
    if (!variant.refusesEarly)
      return router.choose(call.service, triedIncarnations);
    const member = router.choose(
      call.service,
      triedIncarnations,
      ({incarnation}) => admissionLevels.isAdmitted(incarnation, importance),
    );
    if (member || admissionLevels.isProbe()) {
      return member ?? router.choose(call.service, triedIncarnations);
    }
    attempt.request.earlyRefusals += 1;
    return undefined;
  }
}
