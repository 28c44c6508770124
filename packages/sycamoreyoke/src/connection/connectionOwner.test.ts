import {expect} from 'chai';
import {createRandom} from '../random.js';
import {ConnectionOwner} from './connectionOwner.js';

// Guards against a client that gains trust before it shows its key.
it('connection owner: a key shows a client for good', () => {
  const owner = new ConnectionOwner();
  for (let count = 0; count < 10; count += 1) owner.recordCall(true);
  expect(owner.isUpstream()).to.equal(true);
  owner.recordKey();
  expect([owner.isClient(), owner.isUpstream()]).to.deep.equal([true, false]);
});

// Guards against calls that are refused while a busy node reads them late: one
// in four arrives so late that it does not match.
it('connection owner: an upstream stays trusted with some late calls', () => {
  const random = createRandom(8);
  const owner = new ConnectionOwner();
  for (let count = 0; count < 8; count += 1) owner.recordCall(true);
  let trusted = 0;
  for (let count = 0; count < 1_000; count += 1) {
    if (owner.isUpstream()) trusted += 1;
    owner.recordCall(random() >= 0.25);
  }
  expect(trusted).to.be.above(800);
});

// Guards against calls that are refused on a connection that has long been the
// upstream's, since the upstream has become slow and all of its calls are late.
it('connection owner: an upstream that turns slow stays trusted', () => {
  const owner = new ConnectionOwner();
  for (let count = 0; count < 12; count += 1) owner.recordCall(true);
  for (let count = 0; count < 100; count += 1) owner.recordCall(false);
  expect(owner.isUpstream()).to.equal(true);
});

// Guards against a client without a key that gains trust on a connection that
// it keeps, since one in four of its requests matches by chance.
it('connection owner: chance matches gain little trust', () => {
  const random = createRandom(9);
  const owner = new ConnectionOwner();
  let trusted = 0;
  for (let count = 0; count < 1_000; count += 1) {
    if (owner.isUpstream()) trusted += 1;
    owner.recordCall(random() < 0.25);
  }
  expect(trusted).to.be.below(30);
});
