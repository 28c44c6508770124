import {expect} from 'chai';
import {CallParents} from './callParents.js';

function createParents(): CallParents {
  const parents = new CallParents();
  parents.start({ticket: 'a', deadlineMs: 1_000}, 0);
  parents.start({ticket: 'b', deadlineMs: 1_010}, 10);
  parents.start({ticket: 'c', deadlineMs: 2_000}, 20);
  return parents;
}

// Guards against attributing a call to the wrong request, so that a call for a
// booking is shed with the low importance of browsing.
it('call parents: the nearest deadline identifies the parent', () => {
  const parents = createParents();
  expect(parents.startCall(1_009)).to.equal('b');
  expect(parents.startCall(1_998)).to.equal('c');
});

// Guards against attributing a call to another request with sequential calls:
// each call follows the response to the previous one.
it('call parents: a call belongs to the latest idle request', () => {
  const parents = createParents();
  expect(parents.startCall(700)).to.equal('c');
  expect(parents.startCall(700)).to.equal('b');
  parents.finishCall('c', 60);
  parents.finishCall('b', 70);
  expect(parents.startCall(700)).to.equal('b');
  expect(parents.startCall(700)).to.equal('c');
  expect(parents.startCall(700)).to.equal('a');
  expect(parents.startCall(700)).to.equal(undefined);
});

// Guards against choosing a parent whose deadline is before that of the call.
it('call parents: a call never has more time than its parent', () => {
  const parents = createParents();
  parents.finish('c');
  expect(parents.startCall(1_500)).to.equal(undefined);
});
