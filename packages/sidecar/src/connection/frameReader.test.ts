import {expect} from 'chai';
import {Packr} from 'msgpackr';
import {MAX_DELAY_MS} from '../constants.js';
import {
  HOST,
  REPORT,
  createCall,
  createFrameReader,
  createNode,
  createResponse,
} from './linkHarness.test.js';
import type {Frame} from './frame.js';
import {FRAME_REVISION, FrameKind} from './frame.js';
import {encodeFrame} from './peerFrames.js';

const packr = new Packr({useRecords: false});
/** First byte of a MessagePack list with one element. */
const LIST_OF_ONE = 0x91;
const NODE = createNode('a', {host: HOST, port: 1});
const FRAMES: readonly Frame[] = [
  {kind: FrameKind.HELLO, node: NODE, report: REPORT, revision: FRAME_REVISION},
  {kind: FrameKind.CALL, id: 1, call: createCall('r-1', 3), sentMs: 7},
  {
    kind: FrameKind.CALL,
    id: 3,
    call: {...createCall('r-3'), account: 'hotel'},
    sentMs: 7,
  },
  {
    kind: FrameKind.CALL,
    id: 4,
    call: {...createCall('r-4'), inferredAccount: 'hotel'},
    sentMs: 7,
  },
  {kind: FrameKind.CANCEL, id: 1},
  {
    kind: FrameKind.RESULT,
    id: 1,
    result: createResponse('r-1', 3),
    report: REPORT,
  },
  {kind: FrameKind.PING, report: REPORT},
  {kind: FrameKind.REPORT, report: REPORT},
  {kind: FrameKind.CONFIGURATION, content: Buffer.from('{}')},
  {kind: FrameKind.NODES, nodes: [NODE]},
  {
    kind: FrameKind.SUSPECTS,
    suspects: [{crashId: 'c', inFlight: 1, identity: 'x'}],
  },
  {
    kind: FrameKind.HELLO,
    node: NODE,
    report: REPORT,
    revision: FRAME_REVISION,
    session: 's',
  },
  {
    kind: FrameKind.CALL,
    id: 2,
    call: createCall('r-2', 3),
    sentMs: 7,
    acknowledgedIds: [1],
  },
  {kind: FrameKind.RESUME, pendingIds: [1, 2]},
  {
    kind: FrameKind.HELLO,
    node: NODE,
    report: REPORT,
    revision: FRAME_REVISION,
    epoch: 1,
  },
  {
    kind: FrameKind.LEAVINGS,
    notice: {
      node: 'a',
      leavings: [
        {instance: 'i-1', bornMs: 1, announcedMs: undefined},
        {instance: 'i-2', bornMs: undefined, announcedMs: 2},
      ],
    },
  },
  {kind: FrameKind.RESUMED},
  {
    kind: FrameKind.TOKENS_ASK,
    message: {
      sequence: 1,
      asks: [{account: 'hotel', wanted: 2, returned: 1}],
    },
  },
  {
    kind: FrameKind.TOKENS_GRANT,
    message: {
      sequence: 1,
      grants: [
        {account: 'hotel', granted: 2, lifetimeMs: 500, nextTokenMs: 10},
      ],
      unheard: ['a'],
    },
  },
];
/** Values that replace each field, one after another. */
const REPLACEMENT_VALUES: readonly unknown[] = [
  null,
  -1,
  1e300,
  Infinity,
  NaN,
  Number.MAX_SAFE_INTEGER + 2,
  '',
  'x'.repeat(5_000),
  [],
  {},
  true,
  Buffer.alloc(3),
  buildNested(100),
];

function buildNested(depth: number): unknown {
  let value: unknown = 1;
  for (let level = 0; level < depth; level += 1) value = [value];
  return value;
}

function encodeFields(fields: unknown): Buffer {
  const content = packr.pack(fields);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/** Yields copies of the fields with one field replaced or the rest cut off. */
function* replaceEach(fields: unknown, value: unknown): Generator<unknown> {
  yield value;
  if (!Array.isArray(fields)) return;
  for (const [index, field] of fields.entries()) {
    for (const replaced of replaceEach(field, value)) {
      yield fields.with(index, replaced);
    }
    yield fields.slice(0, index);
  }
}

function readAll(bytes: Buffer): readonly Frame[] | Error {
  const frames: Frame[] = [];
  const reader = createFrameReader((frame) => frames.push(frame));
  try {
    reader.add(bytes);
  } catch (error) {
    return error as Error;
  }
  return frames;
}

/** Whether all numbers in a value are finite, as timers and sums need. */
function isFiniteThroughout(value: unknown): boolean {
  if (typeof value === 'number') return Number.isFinite(value);
  if (value === null || typeof value !== 'object') return true;
  if (value instanceof Uint8Array) return true;
  return Object.values(value).every(isFiniteThroughout);
}

// Guards against a check that rejects valid frames.
it('frames: every kind is read as it was sent', () => {
  for (const frame of FRAMES) {
    expect(readAll(encodeFrame(frame))).to.deep.equal([frame]);
  }
});

// Guards against a field of a wrong type or size that is accepted and crashes
// the process later, in a timer or a connection.
it('frames: invalid fields are refused or harmless', () => {
  let refused = 0;
  for (const frame of FRAMES) {
    const fields: unknown = packr.unpack(encodeFrame(frame).subarray(4));
    for (const value of REPLACEMENT_VALUES) {
      for (const changedFields of replaceEach(fields, value)) {
        const read = readAll(encodeFields(changedFields));
        if (read instanceof Error) refused += 1;
        else
          expect(isFiniteThroughout(read), JSON.stringify(read)).to.equal(true);
      }
    }
  }
  expect(refused).to.be.above(500);
});

// Guards against nesting that overflows the decoder's stack.
it('frames: deep nesting is refused', () => {
  const depth = 1_000_000;
  const content = Buffer.alloc(depth, LIST_OF_ONE);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(depth);
  expect(readAll(Buffer.concat([length, content]))).to.be.instanceOf(Error);
});

// Guards against an address to which no socket can be opened.
it('frames: nodes without a valid address are skipped', () => {
  const addresses = [
    {host: HOST, port: 70_000},
    {host: HOST, port: -1},
    {host: HOST, port: 0},
    {host: HOST, port: 1.5},
    {host: 'no address', port: 1},
  ];
  const invalidNodes = addresses.map((address) => createNode('odd', address));
  const nodes = [...invalidNodes, NODE];
  const frame = {kind: FrameKind.NODES, nodes} as const;
  expect(readAll(encodeFrame(frame))).to.deep.equal([
    {kind: FrameKind.NODES, nodes: [NODE]},
  ]);
});

// Guards against a deadline longer than timers support, which would end a call
// at once.
it('frames: times are capped at the longest timer delay', () => {
  const call = {...createCall('r-1'), leftMs: 1e15, usefulMs: 1e15};
  const read = readAll(
    encodeFrame({kind: FrameKind.CALL, id: 1, call, sentMs: 7}),
  );
  expect(read).to.deep.equal([
    {
      kind: FrameKind.CALL,
      id: 1,
      call: {...call, leftMs: MAX_DELAY_MS, usefulMs: MAX_DELAY_MS},
      sentMs: 7,
    },
  ]);
});
