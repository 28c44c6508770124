/** Failure detector: schedules probes and evaluates their results. */
import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import {
  DEAD_PROBE_INTERVAL_MS,
  HEAL_PROBE_PERIOD_MS,
  HEAL_PROBE_INTERVAL_MS,
  INDIRECT_PROBE_COUNT,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  SUSPICION_MS,
} from './constants.js';
import type {MemberTable} from './memberTable.js';
import {hasLeft} from './memberTable.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/**
 * Maximum delay before verifying a report of another data centre. The delay
 * is random, so that in a large service most members learn the result from
 * their own data centre before they probe.
 */
const MAX_VERIFY_SPREAD_MS = 1_000;
/** Maximum delay of a verification per member of the service. */
const VERIFY_SPREAD_PER_MEMBER_MS = 10;

export enum ProbeStepKind {
  PROBE = 'probe',
  ASK_HELPERS = 'ask-helpers',
  SUSPECT = 'suspect',
  DEAD = 'dead',
}

/** Next step of failure detection for a member. */
export interface ProbeStep {
  readonly kind: ProbeStepKind;
  readonly incarnation: string;
  readonly helpers: readonly Member[];
}

/** A probe in progress. */
interface ProbeInProgress {
  /** The member is already DEAD; a failed probe changes nothing. */
  readonly isRevival: boolean;
  helpersAsked: number;
  helperFailures: number;
  refusals: number;
  deadlineMs: number;
}

/** Probes the members of a service on behalf of one node. */
export class Prober {
  private round: string[] = [];
  private readonly probes = new Map<string, ProbeInProgress>();
  private readonly suspicions = new Map<string, number>();
  private readonly verifications = new Map<string, number>();
  private readonly dead = new Set<string>();
  private nextProbeMs = 0;
  private nextDeadProbeMs = 0;
  private probeDeadOftenUntilMs = -1;

  constructor(
    private readonly table: MemberTable,
    private readonly self: Pick<Member, 'incarnation' | 'dataCentre'>,
    private readonly random: Random,
  ) {}

  /** Returns the steps that are due. */
  tick(nowMs: number): ProbeStep[] {
    return [
      ...this.expireProbes(nowMs),
      ...this.expireSuspicions(nowMs),
      ...this.startVerifications(nowMs),
      ...this.startNextProbe(nowMs),
      ...this.startDeadProbe(nowMs),
    ];
  }

  /** Updates suspicions and probes after a state change in the table. */
  observe(member: Member, isReportedByOthers: boolean, nowMs: number): void {
    const {incarnation, state} = member;
    this.suspicions.delete(incarnation);
    this.dead.delete(incarnation);
    if (state === MemberState.DEAD) this.dead.add(incarnation);
    if (hasLeft(state)) this.probes.delete(incarnation);
    if (state === MemberState.SUSPECT && isReportedByOthers) {
      this.suspicions.set(incarnation, nowMs + SUSPICION_MS);
    }
  }

  /** Inserts a new member at a random position of the current round. */
  add(incarnation: string): void {
    const position = takeInteger(this.random, this.round.length + 1);
    const displaced = this.round[position];
    this.round[position] = incarnation;
    if (displaced !== undefined) this.round.push(displaced);
  }

  /** Schedules a probe to verify a report by another data centre. */
  verify(incarnation: string, nowMs: number): void {
    if (this.verifications.has(incarnation)) return;
    const spreadMs = Math.min(
      MAX_VERIFY_SPREAD_MS,
      VERIFY_SPREAD_PER_MEMBER_MS * this.table.size,
    );
    this.verifications.set(incarnation, nowMs + this.random() * spreadMs);
  }

  /** Schedules an immediate probe of a member that a caller did not reach. */
  verifyNow(incarnation: string, nowMs: number): void {
    if (this.table.find(incarnation)?.state !== MemberState.ACTIVE) return;
    this.verifications.set(incarnation, nowMs);
  }

  /** Ends the probe of a member that answered or sent a message. */
  handleAnswer(incarnation: string, nowMs: number): void {
    if (this.dead.has(incarnation))
      this.probeDeadOftenUntilMs = nowMs + HEAL_PROBE_PERIOD_MS;
    this.probes.delete(incarnation);
  }

  /** Handles a failed or expired probe by asking helpers to probe. */
  handleFailure(
    incarnation: string,
    refused: boolean,
    nowMs: number,
  ): ProbeStep[] {
    const probe = this.probes.get(incarnation);
    if (!probe || probe.helpersAsked > 0) return [];
    if (probe.isRevival) {
      this.probes.delete(incarnation);
      return [];
    }
    if (refused) probe.refusals += 1;
    const helpers = this.chooseHelpers(incarnation);
    if (helpers.length === 0) return this.finishProbe(incarnation, probe);
    probe.helpersAsked = helpers.length;
    probe.deadlineMs = nowMs + 2 * PROBE_TIMEOUT_MS;
    return [{kind: ProbeStepKind.ASK_HELPERS, incarnation, helpers}];
  }

  /** Handles a helper that did not reach the member or did not answer. */
  handleHelperFailure(incarnation: string, refused: boolean): ProbeStep[] {
    const probe = this.probes.get(incarnation);
    // Without helpers, this result belongs to an earlier probe of the member.
    if (!probe || probe.helpersAsked === 0) return [];
    probe.helperFailures += 1;
    if (refused) probe.refusals += 1;
    if (probe.helperFailures < probe.helpersAsked) return [];
    return this.finishProbe(incarnation, probe);
  }

  /** Drops the probes in progress after a pause and restarts suspicions. */
  reset(nowMs: number): void {
    this.probes.clear();
    this.nextProbeMs = nowMs;
    for (const incarnation of this.suspicions.keys()) {
      this.suspicions.set(incarnation, nowMs + SUSPICION_MS);
    }
  }

  /**
   * Decides after a failed probe. A member whose address refused the
   * connections of this node and of all helpers is DEAD at once, without a
   * suspicion period.
   */
  private finishProbe(
    incarnation: string,
    probe: ProbeInProgress,
  ): ProbeStep[] {
    this.probes.delete(incarnation);
    const state = this.table.find(incarnation)?.state;
    if (state === undefined || hasLeft(state)) return [];
    const isRefused = probe.refusals === probe.helpersAsked + 1;
    if (isRefused) return [createStep(ProbeStepKind.DEAD, incarnation)];
    if (this.suspicions.has(incarnation)) return [];
    return [createStep(ProbeStepKind.SUSPECT, incarnation)];
  }

  private expireProbes(nowMs: number): ProbeStep[] {
    const steps: ProbeStep[] = [];
    for (const [incarnation, probe] of this.probes) {
      if (probe.deadlineMs > nowMs) continue;
      if (probe.helpersAsked > 0)
        steps.push(...this.finishProbe(incarnation, probe));
      else steps.push(...this.handleFailure(incarnation, false, nowMs));
    }
    return steps;
  }

  private expireSuspicions(nowMs: number): ProbeStep[] {
    const steps: ProbeStep[] = [];
    for (const [incarnation, deadlineMs] of this.suspicions) {
      if (deadlineMs > nowMs) continue;
      this.suspicions.delete(incarnation);
      if (this.table.find(incarnation)?.state === MemberState.SUSPECT) {
        steps.push(createStep(ProbeStepKind.DEAD, incarnation));
      }
    }
    return steps;
  }

  private startVerifications(nowMs: number): ProbeStep[] {
    const steps: ProbeStep[] = [];
    for (const [incarnation, dueMs] of this.verifications) {
      if (dueMs > nowMs) continue;
      this.verifications.delete(incarnation);
      steps.push(...this.startProbe(incarnation, nowMs));
    }
    return steps;
  }

  private startNextProbe(nowMs: number): ProbeStep[] {
    if (nowMs < this.nextProbeMs) return [];
    this.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    const target = this.takeTarget();
    return target === undefined ? [] : this.startProbe(target, nowMs);
  }

  private startDeadProbe(nowMs: number): ProbeStep[] {
    if (nowMs < this.nextDeadProbeMs || this.dead.size === 0) return [];
    const isProbingDeadOften = nowMs < this.probeDeadOftenUntilMs;
    this.nextDeadProbeMs =
      nowMs +
      (isProbingDeadOften ? HEAL_PROBE_INTERVAL_MS : DEAD_PROBE_INTERVAL_MS);
    const index = takeInteger(this.random, this.dead.size);
    const incarnation = [...this.dead][index];
    if (incarnation === undefined) return [];
    if (!this.table.find(incarnation)) {
      this.dead.delete(incarnation);
      return [];
    }
    return this.startProbe(incarnation, nowMs);
  }

  private startProbe(incarnation: string, nowMs: number): ProbeStep[] {
    const member = this.table.find(incarnation);
    if (!member || member.state === MemberState.LEAVING) return [];
    if (this.probes.has(incarnation)) return [];
    this.probes.set(incarnation, {
      isRevival: member.state === MemberState.DEAD,
      helpersAsked: 0,
      helperFailures: 0,
      refusals: 0,
      deadlineMs: nowMs + PROBE_TIMEOUT_MS,
    });
    return [createStep(ProbeStepKind.PROBE, incarnation)];
  }

  /** Takes the next live member of the shuffled round. */
  private takeTarget(): string | undefined {
    const isFresh = this.round.length === 0;
    if (isFresh) this.startRound();
    while (this.round.length > 0) {
      const target = this.round.pop();
      const member = target === undefined ? target : this.table.find(target);
      if (member && !hasLeft(member.state)) return target;
    }
    return isFresh ? undefined : this.takeTarget();
  }

  private startRound(): void {
    for (const incarnation of this.table.listIncarnations()) {
      if (incarnation !== this.self.incarnation) this.add(incarnation);
    }
  }

  /**
   * Chooses helpers from as many data centres as possible, so that a partition
   * between two of them does not look like a dead member.
   */
  private chooseHelpers(target: string): Member[] {
    const candidates = this.table.chooseRandom(
      4 * INDIRECT_PROBE_COUNT,
      this.random,
      ({state, incarnation}) =>
        state === MemberState.ACTIVE &&
        incarnation !== target &&
        incarnation !== this.self.incarnation,
    );
    const seen = new Set<string>();
    const spread: Member[] = [];
    const others: Member[] = [];
    for (const member of candidates) {
      const isNew = !seen.has(member.dataCentre);
      (isNew ? spread : others).push(member);
      seen.add(member.dataCentre);
    }
    return [...spread, ...others].slice(0, INDIRECT_PROBE_COUNT);
  }
}

function createStep(kind: ProbeStepKind, incarnation: string): ProbeStep {
  return {kind, incarnation, helpers: []};
}
