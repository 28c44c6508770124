import {expect} from 'chai';
import {chooseByRendezvous, computeRendezvousWeight} from './rendezvous.js';

const MEMBERS = Array.from({length: 20}, (_, id) => `member-${id}`);
const KEYS = Array.from({length: 20_000}, (_, id) => `caller/${id}`);

// Guards against a key that is reassigned although its member still exists.
it('rendezvous: removing a member reassigns only its keys', () => {
  const remaining = MEMBERS.slice(1);
  for (const key of KEYS.slice(0, 2_000)) {
    const before = chooseByRendezvous(key, MEMBERS);
    const after = chooseByRendezvous(key, remaining);
    if (before !== MEMBERS[0]) expect(after).to.equal(before);
  }
});

// Guards against processes that choose different members because they list the
// members in a different order.
it('rendezvous: the order of the members does not matter', () => {
  const reversed = MEMBERS.toReversed();
  for (const key of KEYS.slice(0, 2_000)) {
    const expected = MEMBERS.toSorted(
      (a, b) =>
        computeRendezvousWeight(key, b) - computeRendezvousWeight(key, a),
    )[0];
    expect(chooseByRendezvous(key, MEMBERS)).to.equal(expected);
    expect(chooseByRendezvous(key, reversed)).to.equal(expected);
  }
});

// Guards against a hash that assigns most keys to one member.
it('rendezvous: keys spread evenly over the members', () => {
  const counts = new Map<string, number>();
  for (const key of KEYS) {
    const chosen = chooseByRendezvous(key, MEMBERS) ?? '';
    counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
  }
  for (const member of MEMBERS) {
    expect(counts.get(member)).to.be.within(850, 1_150);
  }
});
