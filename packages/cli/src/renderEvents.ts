import {EVENT_CATALOGUE} from 'sycamoreyoke/process/eventCatalogue';
import type {TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';

/** Renders the details of an event as `name=value` pairs. */
function renderDetails(event: TimelineEvent): string {
  return Object.entries(event.details)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}

/** Renders an event as one line of the timeline. */
export function renderEvent(event: TimelineEvent): string {
  const time = new Date(event.time.wallMs).toISOString().slice(11);
  const name = EventCode[event.code] ?? '';
  const request = event.requestId === undefined ? '' : `[${event.requestId}] `;
  return `${time} ${event.process} ${event.code} ${name} ${request}${renderDetails(event)}`;
}

/**
 * Renders an event as one line of an explanation: milliseconds since the first
 * event, process, request, meaning and details.
 */
export function renderExplanation(
  event: TimelineEvent,
  firstWallMs: number,
): string {
  const elapsedMs = String(event.time.wallMs - firstWallMs).padStart(6);
  const meaning = EVENT_CATALOGUE[event.code]?.meaning ?? 'Unknown event.';
  const request = event.requestId ?? '';
  return `+${elapsedMs} ms  ${event.process}  ${request}  ${meaning} ${renderDetails(event)}`;
}
