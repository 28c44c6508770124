import {expect} from 'chai';
import {CONTACT_LEASE_MS, HANDBACK_MS, TAKEOVER_MS} from './constants.js';
import {OwnerContacts} from './ownerContacts.js';

const OWNERS = ['a', 'b', 'c', 'd', 'e'];
const STEP_MS = 50;

interface PeerState {
  /** Whether the peer receives asks and its answers arrive. */
  isLinked?: boolean;
  /** Whether asks of the peer arrive. */
  isHeard?: boolean;
  /** Nodes from which the peer has not heard. */
  unheard?: readonly string[];
}

/** Contacts of node "b" with peers in given states. */
class Subject {
  nowMs = 0;
  readonly contacts = new OwnerContacts('b');
  readonly peers: Record<string, PeerState> = {a: {}, c: {}, d: {}, e: {}};

  constructor() {
    this.contacts.update(0, OWNERS);
  }

  run(forMs: number): this {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS;
      for (const [name, peer] of Object.entries(this.peers)) {
        const {isLinked = true, isHeard = isLinked, unheard = []} = peer;
        if (isHeard) this.contacts.recordAsk(this.nowMs, name);
        if (isLinked)
          this.contacts.recordAnswer(this.nowMs, name, this.nowMs, unheard);
      }
      this.contacts.refresh(this.nowMs);
    }
    return this;
  }

  /** Whether the node lends accounts that it owns, and those of "a". */
  readLending() {
    const {contacts} = this;
    return {
      own: contacts.computeLendingSince(['b', 'a', 'c', 'd', 'e']),
      ofA: contacts.computeLendingSince(['a', 'b', 'c', 'd', 'e']),
    };
  }
}

// Guards against a node that lends right after its contacts are back, while the
// node that replaced it still does.
it('owner contacts: a majority counts once it has answered for a lease', () => {
  const subject = new Subject().run(CONTACT_LEASE_MS - 100);
  expect(subject.readLending().own).to.equal(undefined);
  subject.run(200);
  expect(subject.readLending().own).to.be.within(
    CONTACT_LEASE_MS,
    CONTACT_LEASE_MS + 2 * STEP_MS,
  );
  expect(subject.readLending().ofA).to.equal(undefined);
});

// Guards against a partitioned owner that continues to lend.
it('owner contacts: owner without a majority stops within a lease', () => {
  const subject = new Subject().run(2_000);
  for (const name of ['a', 'c', 'd']) subject.peers[name] = {isLinked: false};
  subject.run(CONTACT_LEASE_MS);
  expect(subject.readLending().own).to.equal(undefined);
});

// Guards against a substitute that cannot reach the owner, although others can.
it('owner contacts: substitute lends if a majority has not heard', () => {
  const subject = new Subject().run(2_000);
  subject.peers.a = {isLinked: false};
  subject.run(2 * TAKEOVER_MS);
  expect(subject.readLending().ofA).to.equal(undefined);
  subject.peers.c = {unheard: ['a']};
  subject.peers.d = {unheard: ['a']};
  subject.run(100);
  expect(subject.readLending().ofA).to.be.a('number');
});

// Guards against a takeover that waits although the process is gone, and
// against a gap or two owners when it is back.
it('owner contacts: gone owner is replaced at once until it is back', () => {
  const subject = new Subject().run(2_000);
  subject.peers.a = {isLinked: false};
  subject.contacts.recordGone(subject.nowMs, 'a');
  subject.run(STEP_MS);
  expect(subject.readLending().ofA).to.equal(subject.nowMs);
  subject.peers.a = {};
  subject.run(HANDBACK_MS - STEP_MS);
  expect(subject.readLending().ofA).to.be.a('number');
  subject.run(3 * STEP_MS);
  expect(subject.readLending().ofA).to.equal(undefined);
  expect(subject.readLending().own).to.be.a('number');
});

// Guards against a node that lends after its process did not run for a while.
it('owner contacts: a pause ends the lending', () => {
  const subject = new Subject().run(2_000);
  subject.nowMs += 5_000;
  subject.contacts.refresh(subject.nowMs);
  expect(subject.readLending().own).to.equal(undefined);
  subject.run(STEP_MS);
  expect(subject.readLending().own).to.equal(undefined);
});
