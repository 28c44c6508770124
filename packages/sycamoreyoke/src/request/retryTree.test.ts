import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {EntryLedger} from '../process/entryLedger.js';
import type {Random} from '../random.js';
import {createRandom, takeInteger} from '../random.js';
import {RetryLedger} from './retryLedger.js';

const MAX_DEPTH = 6;
const RETRY_LIMIT = 5;
const IDENTITY = {caller: 'site', requestClass: 'track', requestId: 'r'};

/** Simulates a tree of calls; each attempt may fail or lose its response. */
class CallTreeSimulation {
  retries = 0;

  constructor(private readonly random: Random) {}

  /**
   * Runs a request with its ledger; returns the number of retries it reports.
   */
  runRequest(granted: number, depth: number): number {
    const ledger = new RetryLedger(granted, reportByThrowing);
    const fanOut = depth === 0 ? 0 : takeInteger(this.random, 4);
    for (let call = 0; call < fanOut; call += 1) {
      const reservation = ledger.reserveCall();
      const used = this.runCall(reservation.granted, depth - 1);
      // In the remaining cases the call stays open: the parent does not wait.
      const draw = this.random();
      if (draw < 0.7) ledger.finishCall(reservation, used);
      else if (draw < 0.9) ledger.recordLostResponse(reservation);
    }
    return ledger.close();
  }

  /** Sends the attempts of one call, as an egress does. */
  private runCall(granted: number, depth: number): number {
    const ledger = new RetryLedger(granted, reportByThrowing);
    for (;;) {
      const reservation = ledger.reserveAttempt();
      const used = this.runRequest(reservation.granted, depth);
      const draw = this.random();
      if (draw < 0.4) ledger.recordLostResponse(reservation);
      else ledger.finishCall(reservation, used);
      if (draw >= 0.7 || !ledger.takeRetry()) return ledger.close();
      this.retries += 1;
    }
  }
}

// Guards against retries that multiply with depth or fan-out, and against
// reserved retries that are freed although they were sent.
it('retry tree: retries of a tree stay within its allowance', () => {
  const random = createRandom(21);
  let highest = 0;
  for (let run = 0; run < 20_000; run += 1) {
    const tree = new CallTreeSimulation(random);
    const reported = tree.runRequest(RETRY_LIMIT, MAX_DEPTH);
    expect(tree.retries).to.be.at.most(RETRY_LIMIT);
    expect(tree.retries).to.be.at.most(reported);
    highest = Math.max(highest, tree.retries);
  }
  expect(highest).to.equal(RETRY_LIMIT);
});

interface EntryNode {
  readonly incarnation: string;
  readonly ledger: EntryLedger;
}

/** Members start and stop while a caller keeps resending one request. */
class EntrySimulation {
  readonly clock = new VirtualClock();
  private nodes: readonly EntryNode[] = [];
  private startedNodes = 0;
  /** Retries that nodes sent, with the time at which they were granted. */
  readonly sentRetries: Array<{
    readonly atMs: number;
    readonly retries: number;
  }> = [];

  constructor(private readonly random: Random) {
    for (let node = 0; node < 4; node += 1) this.startNode();
  }

  startNode(): void {
    const incarnation = `node-${this.startedNodes}-${this.random()}`;
    this.startedNodes += 1;
    const ledger = new EntryLedger(this.clock, incarnation, reportByThrowing);
    this.nodes = [...this.nodes, {incarnation, ledger}];
    this.announceMembers(0.5);
  }

  stopNode(): void {
    const index = takeInteger(this.random, this.nodes.length);
    this.nodes = this.nodes.filter((_, position) => position !== index);
    this.announceMembers(0.5);
  }

  /** Advances the clock; after 3 s every node knows the current members. */
  advance(milliseconds: number): void {
    const staleMs = Math.min(milliseconds, 3_000);
    this.clock.advance(staleMs);
    if (milliseconds > 3_000) this.announceMembers(1);
    this.clock.advance(milliseconds - staleMs);
  }

  /** Sends the request through a random node; some sends never finish. */
  sendRequest(): void {
    const node = this.nodes[takeInteger(this.random, this.nodes.length)];
    if (!node) return;
    const grant = node.ledger.open({
      identity: IDENTITY,
      limit: RETRY_LIMIT,
      isTrusted: false,
      isOwnService: true,
    });
    const tree = new CallTreeSimulation(this.random);
    const used = tree.runRequest(grant.allowance, 3);
    this.sentRetries.push({atMs: this.clock.readMs(), retries: tree.retries});
    if (this.random() < 0.8) node.ledger.finish(grant, used);
  }

  /** Counts the retries granted in the last 120 s. */
  countRetries(): number {
    const from = this.clock.readMs() - 120_000;
    return this.sentRetries
      .filter(({atMs}) => atMs > from)
      .reduce((sum, {retries}) => sum + retries, 0);
  }

  countMembers(): number {
    return this.nodes.length;
  }

  /** Announces the members to each node with the given probability. */
  private announceMembers(share: number): void {
    const incarnations = this.nodes.map(({incarnation}) => incarnation);
    for (const {ledger} of this.nodes) {
      if (this.random() < share) ledger.updateMembers(incarnations);
    }
  }
}

// Guards against a caller that is granted the allowance more than once within
// the longest duration of a request, because it resends through different nodes
// during restarts and membership changes.
it('retry tree: resends through any node share one allowance', () => {
  const random = createRandom(22);
  let highest = 0;
  for (let run = 0; run < 200; run += 1) {
    const entry = new EntrySimulation(random);
    for (let step = 0; step < 150; step += 1) {
      entry.advance(random() < 0.05 ? 100_000 : 6_000 * random());
      const change = random();
      if (change < 0.03 && entry.countMembers() < 6) entry.startNode();
      else if (change < 0.06 && entry.countMembers() > 1) entry.stopNode();
      entry.sendRequest();
      expect(entry.countRetries()).to.be.at.most(RETRY_LIMIT);
      highest = Math.max(highest, entry.countRetries());
    }
  }
  expect(highest).to.equal(RETRY_LIMIT);
});
