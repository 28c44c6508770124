import type {AdmissionLevelCache} from 'sycamoreyoke/process/admissionLevel';
import type {Member, Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import type {EventQueue} from './eventQueue.js';
import type {GateHost} from './gateHost.js';
import type {Ledger} from './ledger.js';
import type {CallNode} from './types.js';
import type {Variant} from './variants.js';
import type {Attempt} from './wholeRequest.js';

/** Bounds of the jittered pause before a retry by a node. */
const BACKOFF_MS = 40;

/** Runs a call on a node; `done` says whether it succeeded. */
export type CallRunner = (
  host: GateHost,
  call: CallNode,
  attempt: Attempt,
  ledger: Ledger,
  done: (succeeded: boolean) => void,
) => void;

/** What an egress is built from. */
export interface EgressParts {
  readonly events: EventQueue;
  readonly random: Random;
  readonly variant: Variant;
  readonly router: Router;
  readonly levels: AdmissionLevelCache;
  readonly hosts: ReadonlyMap<string, GateHost>;
  readonly runCall: CallRunner;
  readonly computeLinkMs: (member: Member) => number;
}

/** Sends calls to members of other services and retries them. */
export class Egress {
  constructor(private readonly parts: EgressParts) {}

  /** Sends a call until it succeeds or no retry is left. */
  send(
    call: CallNode,
    attempt: Attempt,
    ledger: Ledger,
    done: (succeeded: boolean) => void,
  ): void {
    this.sendOnce(call, attempt, ledger, new Set(), 0, done);
  }

  private sendOnce(
    call: CallNode,
    attempt: Attempt,
    ledger: Ledger,
    tried: ReadonlySet<string>,
    retries: number,
    done: (succeeded: boolean) => void,
  ): void {
    const {events, router} = this.parts;
    const member = this.chooseMember(call, attempt, tried);
    const host = member && this.parts.hosts.get(member.incarnation);
    if (!member || !host) {
      done(false);
      return;
    }
    const sentMs = events.clock.readMs();
    const share = ledger.reserve();
    router.start(member.incarnation);
    let isAnswered = false;
    const finish = (succeeded: boolean): void => {
      if (isAnswered) return;
      isAnswered = true;
      ledger.release(share);
      router.finish(
        member.incarnation,
        events.clock.readMs() - sentMs,
        !succeeded,
      );
      if (succeeded) done(true);
      else this.sendAgain(call, attempt, ledger, tried, member, retries, done);
    };
    this.forward(host, call, attempt, share, finish);
    if (!this.parts.variant.knowsRequests) {
      events.schedule(attempt.request.kind.timeoutMs, () => finish(false));
    }
  }

  private forward(
    host: GateHost,
    call: CallNode,
    attempt: Attempt,
    share: Ledger,
    finish: (succeeded: boolean) => void,
  ): void {
    const {events, levels} = this.parts;
    const {incarnation} = host.member;
    const linkMs = this.parts.computeLinkMs(host.member);
    events.schedule(linkMs, () => {
      this.parts.runCall(host, call, attempt, share, (succeeded) => {
        const level = host.readLevel();
        events.schedule(linkMs, () => {
          if (this.parts.variant.refusesEarly)
            levels.observe(incarnation, level);
          finish(succeeded);
        });
      });
    });
  }

  private sendAgain(
    call: CallNode,
    attempt: Attempt,
    ledger: Ledger,
    tried: ReadonlySet<string>,
    member: Member,
    retries: number,
    done: (succeeded: boolean) => void,
  ): void {
    const {events, random, variant} = this.parts;
    const pauseMs = random() * BACKOFF_MS;
    const isPointless =
      variant.knowsRequests &&
      (attempt.isOver || events.clock.readMs() + pauseMs >= attempt.deadline);
    const isAllowed =
      !isPointless && retries < variant.retriesPerHop && ledger.take();
    if (!isAllowed) {
      done(false);
      return;
    }
    attempt.request.nodeRetries += 1;
    const next = new Set(tried).add(member.incarnation);
    events.schedule(pauseMs, () =>
      this.sendOnce(call, attempt, ledger, next, retries + 1, done),
    );
  }

  private chooseMember(
    call: CallNode,
    attempt: Attempt,
    tried: ReadonlySet<string>,
  ): Member | undefined {
    const {router, levels, variant} = this.parts;
    const {importance} = attempt.request.kind;
    if (!variant.knowsRequests) return router.choose(call.service, new Set());
    if (!variant.refusesEarly) return router.choose(call.service, tried);
    const member = router.choose(call.service, tried, ({incarnation}) =>
      levels.isAdmitted(incarnation, importance),
    );
    if (member || levels.isProbe()) {
      return member ?? router.choose(call.service, tried);
    }
    attempt.request.earlyRefusals += 1;
    return undefined;
  }
}
