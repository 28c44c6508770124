import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {reportByThrowing} from '../invariants.js';
import {EntryLedger} from '../process/entryLedger.js';
import type {Random} from '../random.js';
import {createRandom, takeInteger} from '../random.js';
import {RetryLedger} from './allowance.js';

const MAX_DEPTH = 6;
const LIMIT = 5;
const IDENTITY = {caller: 'site', requestClass: 'track', requestId: 'r'};

/** A tree of calls; each attempt may fail or lose its response. */
class TreeRun {
  retries = 0;

  constructor(private readonly random: Random) {}

  /** Runs a request with its ledger; returns the retries it reports. */
  runRequest(granted: number, depth: number): number {
    const ledger = new RetryLedger(granted, reportByThrowing);
    const fanOut = depth === 0 ? 0 : takeInteger(this.random, 4);
    for (let call = 0; call < fanOut; call += 1) {
      const reservation = ledger.reserveCall();
      const used = this.runCall(reservation.granted, depth - 1);
      // A call left open stands for one that the parent did not wait for.
      const fate = this.random();
      if (fate < 0.7) ledger.finishCall(reservation, used);
      else if (fate < 0.9) ledger.recordLost(reservation);
    }
    return ledger.close();
  }

  /** Sends the attempts of one call, as an egress does. */
  private runCall(granted: number, depth: number): number {
    const ledger = new RetryLedger(granted, reportByThrowing);
    for (;;) {
      const reservation = ledger.reserveAttempt();
      const used = this.runRequest(reservation.granted, depth);
      const fate = this.random();
      if (fate < 0.4) ledger.recordLost(reservation);
      else ledger.finishCall(reservation, used);
      if (fate >= 0.7 || !ledger.takeRetry()) return ledger.close();
      this.retries += 1;
    }
  }
}

// Guards against retries that multiply with depth or fan-out, and against a
// part that is returned although the retries it paid for were sent.
it('retry tree: retries of a tree stay within its allowance', () => {
  const random = createRandom(21);
  let highest = 0;
  for (let run = 0; run < 20_000; run += 1) {
    const tree = new TreeRun(random);
    const reported = tree.runRequest(LIMIT, MAX_DEPTH);
    expect(tree.retries).to.be.at.most(LIMIT);
    expect(tree.retries).to.be.at.most(reported);
    highest = Math.max(highest, tree.retries);
  }
  expect(highest).to.equal(LIMIT);
});

interface EntryNode {
  readonly incarnation: string;
  readonly ledger: EntryLedger;
}

/** Members that come, go and restart while a caller resends one request. */
class EntryRun {
  readonly clock = new VirtualClock();
  private nodes: readonly EntryNode[] = [];
  private started = 0;
  /** Retries that nodes sent, with the time of their grant. */
  readonly spent: Array<{readonly atMs: number; readonly retries: number}> = [];

  constructor(private readonly random: Random) {
    for (let node = 0; node < 4; node += 1) this.startNode();
  }

  startNode(): void {
    const incarnation = `node-${this.started}-${this.random()}`;
    this.started += 1;
    const ledger = new EntryLedger(this.clock, incarnation, reportByThrowing);
    this.nodes = [...this.nodes, {incarnation, ledger}];
    this.announceMembers(0.5);
  }

  stopNode(): void {
    const index = takeInteger(this.random, this.nodes.length);
    this.nodes = this.nodes.filter((_, position) => position !== index);
    this.announceMembers(0.5);
  }

  /** Lets time pass; every node knows the members after 3 s. */
  advance(milliseconds: number): void {
    const unknownMs = Math.min(milliseconds, 3_000);
    this.clock.advance(unknownMs);
    if (milliseconds > 3_000) this.announceMembers(1);
    this.clock.advance(milliseconds - unknownMs);
  }

  /** Sends the request through a random node; some sends never finish. */
  sendRequest(): void {
    const node = this.nodes[takeInteger(this.random, this.nodes.length)];
    if (!node) return;
    const grant = node.ledger.open({
      identity: IDENTITY,
      limit: LIMIT,
      isTrusted: false,
      isOwnService: true,
    });
    const tree = new TreeRun(this.random);
    const used = tree.runRequest(grant.allowance, 3);
    this.spent.push({atMs: this.clock.readMs(), retries: tree.retries});
    if (this.random() < 0.8) node.ledger.finish(grant, used);
  }

  /** Retries granted in the 120 s that end now. */
  countRetries(): number {
    const from = this.clock.readMs() - 120_000;
    return this.spent
      .filter(({atMs}) => atMs > from)
      .reduce((sum, {retries}) => sum + retries, 0);
  }

  countMembers(): number {
    return this.nodes.length;
  }

  /** Tells each node the members, with the probability given. */
  private announceMembers(share: number): void {
    const incarnations = this.nodes.map(({incarnation}) => incarnation);
    for (const {ledger} of this.nodes) {
      if (this.random() < share) ledger.updateMembers(incarnations);
    }
  }
}

// Guards against a caller that resends through any node, during restarts and
// membership changes, being granted the allowance more than once in the
// longest time a request may take.
it('retry tree: resends through any node share one allowance', () => {
  const random = createRandom(22);
  let highest = 0;
  for (let run = 0; run < 200; run += 1) {
    const entry = new EntryRun(random);
    for (let step = 0; step < 150; step += 1) {
      entry.advance(random() < 0.05 ? 100_000 : 6_000 * random());
      const change = random();
      if (change < 0.03 && entry.countMembers() < 6) entry.startNode();
      else if (change < 0.06 && entry.countMembers() > 1) entry.stopNode();
      entry.sendRequest();
      expect(entry.countRetries()).to.be.at.most(LIMIT);
      highest = Math.max(highest, entry.countRetries());
    }
  }
  expect(highest).to.equal(LIMIT);
});
