import {expect} from 'chai';
import {VirtualClock} from '../clock.js';
import {Importance} from '../types.js';
import {AdaptiveGate} from './gate.js';
import {computeGateDeadline} from './gateDeadline.js';
import {GOODPUT_PARAMETERS} from './gateParameters.js';
import {Completion, GateActionKind} from './types.js';

const LIMIT = 16;
const SERVICE_MS = 640;
const OFFER = {nowMs: 0, leftMs: 2_280, usefulMs: 280, limit: LIMIT};

/** Creates a gate that has observed a service time of 640 ms. */
function createGate(clock: VirtualClock): AdaptiveGate {
  const gate = new AdaptiveGate({
    clock,
    limiter: {readLimit: () => LIMIT, observe: () => undefined},
    parameters: GOODPUT_PARAMETERS,
    report: (invariant, detail) => {
      throw new Error(`${invariant}: ${detail}`);
    },
  });
  for (let count = 0; count < 40; count += 1) {
    offer(gate, clock, `warm-${count}`, 5_000, 5_000);
    clock.advance(SERVICE_MS);
    gate.finish(`warm-${count}`, Completion.SUCCEEDED);
  }
  return gate;
}

function offer(
  gate: AdaptiveGate,
  clock: VirtualClock,
  ticket: string,
  leftMs: number,
  usefulMs: number,
) {
  const nowMs = clock.readMs();
  const deadline = computeGateDeadline({
    nowMs,
    leftMs,
    usefulMs,
    running: gate.countRunning(),
    waiting: gate.countWaiting(),
    limit: gate.readLimit(),
  });
  const [action] = gate.offer({
    ticket,
    importance: Importance.HIGH,
    deadline,
    requestClass: 'photos',
  });
  return action?.kind;
}

// Guards against refusing a request while slots are free, although its caller
// still waits for 2 s. It occurs when the first send was lost and too little of
// the time for a punctual response is left.
it('gate deadline: an idle gate runs a request that will be late', () => {
  const clock = new VirtualClock();
  const gate = createGate(clock);
  expect(offer(gate, clock, 'late', 2_280, 280)).to.equal(GateActionKind.START);
});

// Guards against late requests taking the slots of requests that can finish in
// time.
it('gate deadline: a busy gate reserves slots for punctual requests', () => {
  const clock = new VirtualClock();
  const gate = createGate(clock);
  for (let count = 0; count < 12; count += 1) {
    offer(gate, clock, `busy-${count}`, 5_000, 2_000);
  }
  const late = offer(gate, clock, 'late', 2_280, 280);
  expect(late).to.equal(GateActionKind.REFUSE);
  expect(offer(gate, clock, 'timely', 4_000, 2_000)).to.equal(
    GateActionKind.START,
  );
});

it('gate deadline: never exceeds the timeout of the caller', () => {
  const short = {...OFFER, leftMs: 100, waiting: 0};
  expect(computeGateDeadline({...short, running: 0})).to.equal(100);
  expect(computeGateDeadline({...short, running: LIMIT})).to.equal(100);
});
