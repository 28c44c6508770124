/** Summarizes why a request was refused, for the command "explain". */
import type {EventDetails, TimelineEvent} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';

/** Events with which a node refuses a client's request. */
const REFUSAL_CODES: ReadonlySet<EventCode> = new Set([
  EventCode.REQUEST_REFUSED,
  EventCode.REQUEST_UNAUTHENTICATED,
  EventCode.REQUEST_UNROUTED,
]);

/**
 * Describes the refusal of a request in one line: the client account, the
 * reason, and the backlog at the gate that refused it last. Returns undefined
 * for a request that was not refused.
 */
export function describeRefusal(
  events: readonly TimelineEvent[],
  requestId: string,
): string | undefined {
  const own = events.filter((event) => event.requestId === requestId);
  const refusal = own.findLast(({code}) => REFUSAL_CODES.has(code));
  if (!refusal) return undefined;
  const {account: name, accounts} = refusal.details;
  const account = name ?? accounts ?? 'none';
  const summary = `Refused: account=${account} ${describeReason(refusal)}`;
  const gateRefusal = own.findLast(({code}) => code === EventCode.GATE_REFUSED);
  const backlog = gateRefusal && describeBacklog(gateRefusal.details);
  return backlog ? `${summary}; ${gateRefusal.process}: ${backlog}` : summary;
}

function describeReason({code, details}: TimelineEvent): string {
  if (code === EventCode.REQUEST_UNAUTHENTICATED) {
    return `reason=unauthenticated key=${details['fault'] ?? 'unknown'}`;
  }
  if (code === EventCode.REQUEST_UNROUTED) return 'reason=unrouted';
  const reason = details['reason'];
  return `reason=${reason === undefined || reason === '' ? 'unknown' : reason}`;
}

function describeBacklog(details: EventDetails): string | undefined {
  const {accountWaiting, waitingAccounts, waiting} = details;
  if (accountWaiting === undefined) return undefined;
  return `${accountWaiting} of ${waiting} waiting requests are the account's, ${waitingAccounts} accounts wait at this importance`;
}
