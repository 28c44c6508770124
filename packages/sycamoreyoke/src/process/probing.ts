/** Whom to probe next, and what follows from answers and silence. */
import type {Random} from '../random.js';
import {takeInteger} from '../random.js';
import {
  DEAD_PROBE_INTERVAL_MS,
  HEAL_MS,
  HEAL_PROBE_INTERVAL_MS,
  INDIRECT_PROBES,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  SUSPICION_MS,
} from './constants.js';
import type {MemberTable} from './memberTable.js';
import {isGone} from './memberTable.js';
import type {Member} from './types.js';
import {MemberState} from './types.js';

/** Accusations of others are verified after up to this long, and this long for
 * each member, so that most members of a large service hear the verdict of
 * their own data centre first. */
const MAX_VERIFY_SPREAD_MS = 1_000;
const VERIFY_SPREAD_MS = 10;

export enum ProbeStepKind {
  PROBE = 'probe',
  ASK_HELPERS = 'ask-helpers',
  SUSPECT = 'suspect',
  DEAD = 'dead',
}

/** What membership has to do next about a member. */
export interface ProbeStep {
  readonly kind: ProbeStepKind;
  readonly incarnation: string;
  readonly helpers: readonly Member[];
}

/** A probe under way. */
interface Check {
  /** The member is DEAD already; its silence changes nothing. */
  readonly isRevival: boolean;
  helpersAsked: number;
  helpersSilent: number;
  refusals: number;
  deadlineMs: number;
}

/** Probes of one node to the members of its service. */
export class Prober {
  private round: string[] = [];
  private readonly checks = new Map<string, Check>();
  private readonly suspicions = new Map<string, number>();
  private readonly verifications = new Map<string, number>();
  private readonly dead = new Set<string>();
  private nextProbeMs = 0;
  private nextDeadProbeMs = 0;
  private healUntilMs = -1;

  constructor(
    private readonly table: MemberTable,
    private readonly self: Pick<Member, 'incarnation' | 'dataCentre'>,
    private readonly random: Random,
  ) {}

  /** Steps that are due. */
  tick(nowMs: number): ProbeStep[] {
    return [
      ...this.expireChecks(nowMs),
      ...this.expireSuspicions(nowMs),
      ...this.startVerifications(nowMs),
      ...this.startNextProbe(nowMs),
      ...this.startDeadProbe(nowMs),
    ];
  }

  /** Takes note of a new state in the table. */
  observe(member: Member, isAccused: boolean, nowMs: number): void {
    const {incarnation, state} = member;
    this.suspicions.delete(incarnation);
    this.dead.delete(incarnation);
    if (state === MemberState.DEAD) this.dead.add(incarnation);
    if (isGone(state)) this.checks.delete(incarnation);
    if (state === MemberState.SUSPECT && isAccused) {
      this.suspicions.set(incarnation, nowMs + SUSPICION_MS);
    }
  }

  /** Places a new member at a random position of the current round. */
  add(incarnation: string): void {
    const position = takeInteger(this.random, this.round.length + 1);
    const displaced = this.round[position];
    this.round[position] = incarnation;
    if (displaced !== undefined) this.round.push(displaced);
  }

  /** Has an accusation by another data centre checked from here. */
  verify(incarnation: string, nowMs: number): void {
    if (this.verifications.has(incarnation)) return;
    const spreadMs = Math.min(
      MAX_VERIFY_SPREAD_MS,
      VERIFY_SPREAD_MS * this.table.size,
    );
    this.verifications.set(incarnation, nowMs + this.random() * spreadMs);
  }

  /** A caller could not reach the member. */
  verifyNow(incarnation: string, nowMs: number): void {
    if (this.table.find(incarnation)?.state !== MemberState.ACTIVE) return;
    this.verifications.set(incarnation, nowMs);
  }

  /** The member answered a probe, or has sent a message. */
  handleAnswer(incarnation: string, nowMs: number): void {
    if (this.dead.has(incarnation)) this.healUntilMs = nowMs + HEAL_MS;
    this.checks.delete(incarnation);
  }

  /** The probe failed or timed out; others are asked to try. */
  handleFailure(
    incarnation: string,
    refused: boolean,
    nowMs: number,
  ): ProbeStep[] {
    const check = this.checks.get(incarnation);
    if (!check || check.helpersAsked > 0) return [];
    if (check.isRevival) {
      this.checks.delete(incarnation);
      return [];
    }
    if (refused) check.refusals += 1;
    const helpers = this.chooseHelpers(incarnation);
    if (helpers.length === 0) return this.finish(incarnation, check);
    check.helpersAsked = helpers.length;
    check.deadlineMs = nowMs + 2 * PROBE_TIMEOUT_MS;
    return [{kind: ProbeStepKind.ASK_HELPERS, incarnation, helpers}];
  }

  /** A helper could not reach the member either, or has not answered. */
  handleHelperFailure(incarnation: string, refused: boolean): ProbeStep[] {
    const check = this.checks.get(incarnation);
    // An answer to an earlier probe of this member says nothing about this one.
    if (!check || check.helpersAsked === 0) return [];
    check.helpersSilent += 1;
    if (refused) check.refusals += 1;
    if (check.helpersSilent < check.helpersAsked) return [];
    return this.finish(incarnation, check);
  }

  /** Forgets what was under way before a pause; suspicions start anew. */
  reset(nowMs: number): void {
    this.checks.clear();
    this.nextProbeMs = nowMs;
    for (const incarnation of this.suspicions.keys()) {
      this.suspicions.set(incarnation, nowMs + SUSPICION_MS);
    }
  }

  /** Refused by the address and for all helpers: no need to wait. */
  private finish(incarnation: string, check: Check): ProbeStep[] {
    this.checks.delete(incarnation);
    const state = this.table.find(incarnation)?.state;
    if (state === undefined || isGone(state)) return [];
    const isRefused = check.refusals === check.helpersAsked + 1;
    if (isRefused) return [createStep(ProbeStepKind.DEAD, incarnation)];
    if (this.suspicions.has(incarnation)) return [];
    return [createStep(ProbeStepKind.SUSPECT, incarnation)];
  }

  private expireChecks(nowMs: number): ProbeStep[] {
    const steps: ProbeStep[] = [];
    for (const [incarnation, check] of this.checks) {
      if (check.deadlineMs > nowMs) continue;
      if (check.helpersAsked > 0)
        steps.push(...this.finish(incarnation, check));
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
    const isHealing = nowMs < this.healUntilMs;
    this.nextDeadProbeMs =
      nowMs + (isHealing ? HEAL_PROBE_INTERVAL_MS : DEAD_PROBE_INTERVAL_MS);
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
    if (this.checks.has(incarnation)) return [];
    this.checks.set(incarnation, {
      isRevival: member.state === MemberState.DEAD,
      helpersAsked: 0,
      helpersSilent: 0,
      refusals: 0,
      deadlineMs: nowMs + PROBE_TIMEOUT_MS,
    });
    return [createStep(ProbeStepKind.PROBE, incarnation)];
  }

  /** Next live member of the shuffled round. */
  private takeTarget(): string | undefined {
    const isFresh = this.round.length === 0;
    if (isFresh) this.startRound();
    while (this.round.length > 0) {
      const target = this.round.pop();
      const member = target === undefined ? target : this.table.find(target);
      if (member && !isGone(member.state)) return target;
    }
    return isFresh ? undefined : this.takeTarget();
  }

  private startRound(): void {
    for (const incarnation of this.table.listIncarnations()) {
      if (incarnation !== this.self.incarnation) this.add(incarnation);
    }
  }

  /** One helper of each data centre before a second one, so that a cut
   * between two is seen around. */
  private chooseHelpers(target: string): Member[] {
    const candidates = this.table.chooseRandom(
      4 * INDIRECT_PROBES,
      this.random,
      ({state, incarnation}) =>
        state === MemberState.ACTIVE &&
        incarnation !== target &&
        incarnation !== this.self.incarnation,
    );
    const seen = new Set<string>();
    const spread: Member[] = [];
    const rest: Member[] = [];
    for (const member of candidates) {
      const isNew = !seen.has(member.dataCentre);
      (isNew ? spread : rest).push(member);
      seen.add(member.dataCentre);
    }
    return [...spread, ...rest].slice(0, INDIRECT_PROBES);
  }
}

function createStep(kind: ProbeStepKind, incarnation: string): ProbeStep {
  return {kind, incarnation, helpers: []};
}
