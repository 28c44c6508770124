import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {createRandom} from '../random.js';
import {Heartbeat} from './heartbeat.js';
import type {HeartbeatAction} from './types.js';
import {HeartbeatActionKind} from './types.js';

// Guards against closing a connection before its replacement has answered,
// against using a silent connection although new ones work, and against
// connections that are never closed.
it('heartbeat: a silent connection is replaced before it is closed', () => {
  const random = createRandom(71);
  const clock = new VirtualClock();
  const heartbeat = new Heartbeat(clock);
  const live = new Set<number>();
  const answered = new Set<number>();
  const silent = new Set<number>();
  let pending: Array<() => HeartbeatAction[]> = [];
  let silentMs = 0;
  let active = heartbeat.readActive();
  let switches = 0;
  const apply = (action: HeartbeatAction) => {
    if (action.kind === HeartbeatActionKind.UNREACHABLE) return;
    const {connection} = action;
    if (action.kind === HeartbeatActionKind.OPEN) {
      live.add(connection);
      pending.push(() => heartbeat.handleOpened(connection));
    } else if (action.kind === HeartbeatActionKind.SEND) {
      expect(live.has(connection)).to.equal(true);
      if (silent.has(connection)) return;
      pending.push(() => {
        answered.add(connection);
        return heartbeat.handleMessage(connection);
      });
    } else if (action.kind === HeartbeatActionKind.SWITCH) {
      switches += 1;
    } else {
      expect(answered.has(heartbeat.readActive())).to.equal(true);
      expect(connection).to.not.equal(heartbeat.readActive());
      live.delete(connection);
    }
  };
  heartbeat.start().forEach(apply);
  for (let step = 0; step < 100_000; step += 1) {
    clock.advance(random() < 0.001 ? 4_000 : 100);
    const due = pending;
    pending = [];
    due.flatMap((handle) => handle()).forEach(apply);
    heartbeat.tick().forEach(apply);
    if (active !== heartbeat.readActive()) silentMs = 0;
    active = heartbeat.readActive();
    if (random() < 0.005) silent.add(active);
    if (random() < 0.001) {
      live.delete(active);
      heartbeat.handleClosed(active).forEach(apply);
    }
    silentMs = silent.has(heartbeat.readActive()) ? silentMs + 100 : 0;
    expect(silentMs).to.be.at.most(3_300);
    expect(live.size).to.be.within(1, 2);
  }
  expect(switches).to.be.above(100);
});

// Guards against reconnecting to an unreachable peer without a delay, and
// against never reconnecting.
it('heartbeat: an unreachable peer is retried once per interval', () => {
  const clock = new VirtualClock();
  const heartbeat = new Heartbeat(clock);
  let opened = heartbeat.start().length;
  let unreachable = 0;
  let last = 1;
  for (let step = 0; step < 600; step += 1) {
    clock.advance(100);
    for (const action of heartbeat.tick()) {
      if (action.kind === HeartbeatActionKind.OPEN) {
        opened += 1;
        last = action.connection;
      }
    }
    unreachable += heartbeat.handleClosed(last).length;
  }
  expect(opened).to.be.within(55, 61);
  expect(unreachable).to.be.above(50);
});
