import {expect} from 'chai';
import fc from 'fast-check';
import {ResponseParser} from './responseParser.js';

const SEED = 20_261_204;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

/** Parses a stream in pieces, cycling through the given lengths. */
function parse(text: string, lengths: readonly number[]) {
  const parts: unknown[] = [];
  let body = '';
  const parser = new ResponseParser({
    handleHead: ({status, headers, isKeptAlive}) => {
      parts.push(status, headers, isKeptAlive);
      return status !== 204;
    },
    handleBody: (piece) => {
      body += piece.toString('latin1');
    },
    handleEnd: () => {
      parts.push(body);
      body = '';
    },
  });
  const bytes = Buffer.from(text, 'latin1');
  let error: Error | undefined;
  for (let start = 0, turn = 0; start < bytes.length && !error; turn += 1) {
    const length = lengths[turn % lengths.length] ?? 1;
    error = parser.add(bytes.subarray(start, start + length));
    start += length;
  }
  return {parts, error: error?.message};
}

const STREAM =
  'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' +
  'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Name: caf\u00e9 \u008a\r\n\r\nwhole' +
  `HTTP/1.1 200 OK\r\nX-Folded: a\r\n\t b \r\n${CHUNKED}` +
  '3;ext=1\r\nwho\r\n02\r\nle\r\n0\r\nX-Trailer: t\r\n\r\n' +
  'HTTP/1.1 204 None\r\nConnection: close\r\n\r\n';

// Guards against results that depend on how the bytes were split.
it('response parser: pieces of any length give the same responses', () => {
  const expected = [
    [103, ['Link', 'a'], true, ''],
    [200, ['Content-Length', '5', 'X-Name', 'caf\u00e9 \u008a'], true, 'whole'],
    [200, ['X-Folded', 'a b', 'Transfer-Encoding', 'chunked'], true, 'whole'],
    [204, ['Connection', 'close'], false, ''],
  ].flat();
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 90}), {minLength: 1}),
      (cut) => {
        expect(parse(STREAM, cut)).to.deep.equal({
          parts: expected,
          error: undefined,
        });
      },
    ),
    {seed: SEED, numRuns: 300},
  );
});

// Guards against a negative size, at which the library reads the same bytes
// forever, and against guessing where a body ends.
it('response parser: ambiguous framing is refused', () => {
  const head = 'HTTP/1.1 200 OK\r\n';
  const streams = [
    `${head}Content-Length: -5\r\n\r\nwhole`,
    `${head}Content-Length: 5, 5\r\n\r\nwhole`,
    `${head}Content-Length: 1e1\r\n\r\nwhole`,
    `${head}Content-Length: 5\r\n${CHUNKED}0\r\n\r\n`,
    `${head}Transfer-Encoding: identity\r\n\r\nwhole`,
    `${head}${CHUNKED}5\r\nwhole\r\n-6\r\n\r\n`,
    `${head}${CHUNKED}0x5\r\nwhole\r\n0\r\n\r\n`,
    `${head}${CHUNKED}\r\n\r\n`,
    `${head}X-Name : a\r\n\r\n`,
    `${head}X-Name\r\n\r\n`,
    ' HTTP/1.1 200 OK\r\n\r\n',
    'HTTP/2.0 200 OK\r\n\r\n',
    '\u0016\u0003\u0001',
  ];
  for (const stream of streams) {
    for (const length of [1, 7, stream.length]) {
      expect(parse(stream, [length]).error, stream).to.be.a('string');
    }
  }
});
