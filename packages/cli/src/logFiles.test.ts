import {expect} from 'chai';
import {EventCode} from 'sycamoreyoke/process/events';
import {parseLog, collectRequestEvents} from './logFiles.js';

function renderLine(requestId: string, parent: string): string {
  return JSON.stringify({
    time: '2026-12-04T13:00:00.500Z',
    process: 'n-1',
    event: EventCode.CALL_COMPLETED,
    name: 'CALL_COMPLETED',
    requestId,
    parent,
  });
}

// Guards against a parser that fails on prefixes added by a log collector or on
// lines written by other programs.
it('log files: ignores prefixes and other lines', () => {
  const log = `  12.1 n-1 ${renderLine('a', '')}\nplain text\n{"x":\n{"y":1}\n`;
  const events = parseLog(log);
  expect(events.map(({requestId}) => requestId)).to.deep.equal(['a']);
  expect(events[0]?.details).to.deep.equal({parent: ''});
});

// Guards against an explanation that lacks an indirect call of the request,
// which may be the one that failed.
it('log files: collects the calls of a request', () => {
  const lines = [
    renderLine('c', 'b'),
    renderLine('b', 'a'),
    renderLine('x', ''),
    renderLine('a', ''),
  ];
  const requestEvents = collectRequestEvents(parseLog(lines.join('\n')), 'a');
  expect(requestEvents.map(({requestId}) => requestId)).to.deep.equal([
    'c',
    'b',
    'a',
  ]);
});
