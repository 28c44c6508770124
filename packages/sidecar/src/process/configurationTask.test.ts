import {systemClock} from '@sycamoreyoke/node/process/systemClock';
import {expect} from 'chai';
import type {RouteTable} from 'sycamoreyoke/version/routeTable';
import {waitFor} from '../connection/linkHarness.test.js';
import type {ConfigurationPeer} from './configurationTask.js';
import {ConfigurationSource, ConfigurationTask} from './configurationTask.js';

function createTask() {
  let changes = 0;
  const task = new ConfigurationTask({
    clock: systemClock,
    decode: (content) =>
      ({
        version: Number(content.toString()),
        routes: [],
        findings: [],
      }) as unknown as RouteTable,
    record: () => undefined,
    handleChange: () => (changes += 1),
    handleStoreDelay: () => undefined,
    isStarting: () => false,
  });
  return {task, countChanges: () => changes};
}

/** A peer that sends its version on request, or never answers. */
function createPeer(
  task: ConfigurationTask,
  version: number,
  {isOpen = true, isSilent = false} = {},
) {
  let questions = 0;
  const peer: ConfigurationPeer = {
    write: () => {
      if (!isOpen) return false;
      questions += 1;
      if (!isSilent) {
        const content = Buffer.from(String(version));
        setTimeout(() => task.adopt(content, ConfigurationSource.PEER), 1);
      }
      return true;
    },
  };
  task.handlePeerVersion(version, peer);
  return {countQuestions: () => questions};
}

// Guards against missing a version because the only peer that was asked for it
// has a closed or silent link.
it('configuration task: asks the next peer when a link is gone or silent', async () => {
  const {task} = createTask();
  const responsive = createPeer(task, 5);
  const silent = createPeer(task, 5, {isSilent: true});
  const closed = createPeer(task, 5, {isOpen: false});
  await waitFor(() => task.readVersion() === 5);
  const counts = [closed, silent, responsive].map((peer) =>
    peer.countQuestions(),
  );
  expect(counts).to.deep.equal([0, 1, 1]);
  task.stop();
});

// Guards against missing a newer version that is announced while an older one
// is being fetched.
it('configuration task: asks for the newest announced version', async () => {
  const {task, countChanges} = createTask();
  const older = createPeer(task, 5);
  const newest = createPeer(task, 9);
  createPeer(task, 7);
  await waitFor(() => task.readVersion() === 9);
  expect([older.countQuestions(), newest.countQuestions()]).to.deep.equal([
    0, 1,
  ]);
  expect(countChanges()).to.equal(1);
  task.stop();
});
