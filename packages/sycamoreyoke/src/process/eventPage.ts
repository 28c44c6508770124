/** Renders the catalogue of events as a page. */
import {EVENT_CATALOGUE} from './eventCatalogue.js';
import {EventCode} from './events.js';

/** Renders docs/events.md. */
export function renderCatalogue(): string {
  const rows = Object.entries(EVENT_CATALOGUE).map(([code, entry]) => {
    const name = EventCode[Number(code)] ?? '';
    const details = entry.details.join('; ') || '–';
    return `| ${code} | ${name} | ${entry.meaning} | ${details} |`;
  });
  return [
    '# Events',
    '',
    'Every process keeps its latest 10,000 events; the log has one JSON line for each. Events 1100 to 1399 belong to single requests and are logged at level debug. Each event has a time (hybrid logical time: wall-clock milliseconds and a counter), the process, the number and, where it belongs to one, the request id.',
    '',
    '| number | name | meaning | details |',
    '|---|---|---|---|',
    ...rows,
    '',
  ].join('\n');
}
