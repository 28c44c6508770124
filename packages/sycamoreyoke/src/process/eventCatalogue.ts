/** Meaning of each event code. docs/events.md is generated from it. */
import {EventCode} from './events.js';

/** Description of an event code. */
export interface CatalogueEntry {
  readonly meaning: string;
  /** Names and units of the details. */
  readonly details: readonly string[];
}

const ACCOUNT = 'account: client account, if any';

function describe(meaning: string, ...details: string[]): CatalogueEntry {
  return {meaning, details};
}

export const EVENT_CATALOGUE: Readonly<Record<EventCode, CatalogueEntry>> = {
  [EventCode.NODE_STARTED]: describe(
    'The node opened its listeners.',
    'service',
    'incarnation',
  ),
  [EventCode.NODE_READY]: describe(
    'The node announced itself and takes calls.',
    'version: configuration version',
  ),
  [EventCode.NODE_LEAVING]: describe(
    'The node announced that it leaves; new calls are refused as not run.',
    'cause',
  ),
  [EventCode.NODE_STOPPED]: describe(
    'The node ended with no request in flight.',
    'waitedMs: time from the announcement, ms',
  ),
  [EventCode.NODE_PAUSED]: describe(
    'The process did not run for a while; data read before the pause is not used.',
    'gapMs: length of the pause, ms',
  ),
  [EventCode.NODE_WARMED]: describe(
    'The node ran its warm-up calls.',
    'calls',
    'elapsedMs: ms',
  ),
  [EventCode.SETTINGS_RELOADED]: describe(
    'The settings file was read again.',
    'changed: settings that differ',
    'applied: those in force from now on',
    'needsRestart: those that take effect at the next start',
    'cause',
  ),
  [EventCode.PROCESS_FAILED]: describe(
    'A program error, or a shutdown that failed or took too long; the exit code is not 0.',
    'cause: uncaughtException, unhandledRejection, stop (it failed) or grace (it took too long)',
    'message',
    'stack',
  ),
  [EventCode.REQUEST_ADMITTED]: describe(
    'A call passed validation and was offered to the gate.',
    'caller',
    'requestClass',
    'attempt',
    'timeoutMs: remaining time, ms',
    'allowance: retries that the call may use',
  ),
  [EventCode.REQUEST_REFUSED]: describe(
    'The call was answered without a response of the upstream.',
    'outcome',
    'reason',
    'message',
    ACCOUNT,
  ),
  [EventCode.REQUEST_STARTED]: describe(
    'The call was sent to the upstream.',
    'waitedMs: time in the queue, ms',
  ),
  [EventCode.REQUEST_FINISHED]: describe(
    'The complete response of the upstream was validated and sent.',
    'status',
    'elapsedMs: ms',
    'retries: retries used below',
  ),
  [EventCode.REQUEST_JOINED]: describe(
    'A resend waits for the running execution.',
    'attempt',
  ),
  [EventCode.REQUEST_REPLAYED]: describe(
    'A resend was answered from the record of the earlier execution.',
    'attempt',
    'outcome',
  ),
  [EventCode.REQUEST_MALFORMED]: describe(
    'A call failed validation.',
    'reason',
    'message',
  ),
  [EventCode.REQUEST_CANCELLED]: describe(
    'The client disconnected before its request was answered.',
    'sends: nodes that it was sent to',
    ACCOUNT,
  ),
  [EventCode.REQUEST_UNROUTED]: describe(
    'No route of the current configuration matches the request.',
    'host',
    'path',
    'version: configuration version',
    ACCOUNT,
  ),
  [EventCode.GATE_REFUSED]: describe(
    'A gate refused a call before it reached the upstream.',
    'kind: route',
    'reason',
    'importance',
    'running',
    'waiting',
    'limit',
    'leftMs: remaining time, ms',
    ACCOUNT,
    'accountWaiting: waiting requests of the account at this importance',
    'waitingAccounts: accounts with waiting requests at this importance',
  ),
  [EventCode.UPSTREAM_RUN_FAILED]: describe(
    'A request that was sent to the upstream did not succeed.',
    'kind: route',
    'instance',
    'status',
    'reason',
    'message: what was wrong with the connection or the response, if anything',
    'content: the same for attempts with the same content; without an answer',
    'elapsedMs: ms',
    'running',
    'waiting',
    ACCOUNT,
  ),
  [EventCode.REQUEST_UNAUTHENTICATED]: describe(
    'The key of the request is missing or belongs to no account.',
    'route',
    'hasKey: whether the request had a key',
    'fault: missing, unknown, shared (by several accounts) or withdrawn (by a later version)',
    'account: client account that held a withdrawn key',
    'accounts: client accounts that hold a shared key',
    'version: configuration version',
  ),
  [EventCode.REQUEST_NOT_BEGUN]: describe(
    'The origin refused a request because recent requests of its route failed: their calls were rejected further down.',
    'route',
    'importance',
    'account',
    'share: admitted share of the route',
    'isEarly: whether the client returned before the time that it was told',
    'retryMs: advised delay, ms',
  ),
  [EventCode.REQUEST_OVER_ALLOTMENT]: describe(
    'The client account has used its allotment; the request has not run.',
    'account',
    'route',
    'cause: over-limit, or no-owner if no node that lends tokens could be asked',
    'retryMs: time until a token is expected, ms',
    'version: configuration version',
  ),
  [EventCode.CALL_ROUTED]: describe(
    'The egress sent a call to a member.',
    'service',
    'member',
    'attempt',
  ),
  [EventCode.CALL_RETRIED]: describe(
    'The egress retries the call.',
    'service',
    'delayMs: wait before the attempt, ms',
    'allowance: retries left',
    ACCOUNT,
  ),
  [EventCode.CALL_COMPLETED]: describe(
    'The egress forwarded a response.',
    'service',
    'outcome',
    'status',
    'retries',
    'elapsedMs: ms',
    ACCOUNT,
  ),
  [EventCode.CALL_REFUSED_EARLY]: describe(
    'The egress refused a call that the target would refuse.',
    'service',
    'requestClass',
  ),
  [EventCode.RESPONSE_DROPPED]: describe(
    'A late, duplicate, incomplete or foreign response was dropped.',
    'cause',
  ),
  [EventCode.CONNECTION_REPLACED]: describe(
    'An unresponsive connection was replaced.',
    'origin',
  ),
  [EventCode.CLIENT_CONNECTION_CUT]: describe(
    'The connection of a client ended before all requests that were read on it had their complete response.',
    'endedBy',
    'accepted',
    'unanswered',
    'unwritten',
    'isStopping',
  ),
  [EventCode.CLIENT_CONNECTION_DROPPED]: describe(
    'At the limit of client connections, one without an open request was closed for a new one, or the new one was closed.',
    'connections: limit',
    'isNew: whether the new one was closed',
  ),
  [EventCode.FRAME_SKIPPED]: describe(
    'A frame of another node was not kept, as the budget of held bytes is used up. A call in it is refused as not run, a result is lost.',
    'bytes: length of the frame',
    'heldBytes',
  ),
  [EventCode.CLAIM_MADE]: describe(
    'The row of an idempotency key is held by this node.',
    'elapsedMs: ms',
  ),
  [EventCode.CLAIM_REFUSED]: describe(
    'The idempotency key could not be claimed.',
    'reason',
    'outcome',
  ),
  [EventCode.CLAIM_RELEASED]: describe(
    'A claim was released because its request did not run.',
    'attempt',
  ),
  [EventCode.MEMBER_JOINED]: describe(
    'A member of the service was discovered.',
    'member',
    'service',
  ),
  [EventCode.MEMBER_SUSPECT]: describe(
    'A member did not answer probes; it gets no new work.',
    'member',
    'service',
  ),
  [EventCode.MEMBER_LEAVING]: describe(
    'A member announced that it leaves; it gets no new work.',
    'member',
    'service',
  ),
  [EventCode.MEMBER_DEAD]: describe(
    'A member was declared dead.',
    'member',
    'service',
  ),
  [EventCode.LINK_UP]: describe(
    'A node answered on a link; it may get calls.',
    'node',
    'service',
  ),
  [EventCode.LINK_DOWN]: describe(
    'A link to a node was lost; its calls are resumed or unknown.',
    'node',
    'service',
    'message',
  ),
  [EventCode.NODE_ROW_DELAYED]: describe(
    'The row of this node could not be written to the store.',
    'message',
  ),
  [EventCode.LINK_CLOSING]: describe(
    'A node closed its link; calls without a result by then have not run.',
    'node',
    'service',
    'calls',
  ),
  [EventCode.LINK_RESUMED]: describe(
    'A node was asked on a new connection about calls of a lost one.',
    'node',
    'service',
    'calls',
  ),
  [EventCode.LINK_CALLS_FORGOTTEN]: describe(
    'A node no longer knows the calls of a lost connection; each may have run.',
    'node',
    'service',
    'calls',
  ),
  [EventCode.CONFIGURATION_ADOPTED]: describe(
    'A newer configuration was adopted.',
    'version',
    'source',
    'routes',
    'behindMs: time since a peer first had it or a later one, ms',
  ),
  [EventCode.CONFIGURATION_STALE_REFUSED]: describe(
    'An older configuration was offered and refused.',
    'version',
    'offered',
    'source',
  ),
  [EventCode.CONFIGURATION_ASKED]: describe(
    'A newer configuration was requested from a peer.',
    'version',
    'wanted: version of the peer',
    'behindMs: time since a peer first had a newer one, ms',
  ),
  [EventCode.CONFIGURATION_ODD]: describe(
    'A part of an adopted configuration is invalid and was ignored.',
    'version',
    'place',
    'message',
  ),
  [EventCode.UPSTREAM_CRASHED]: describe(
    'The upstream process ended while requests ran.',
    'instance',
    'inFlight: requests',
  ),
  [EventCode.REQUEST_SUSPECTED]: describe(
    'A request was in flight when an upstream crashed.',
    'identity: the same for attempts with the same content',
    'crashId',
    'inFlight: requests that were in flight together',
  ),
  [EventCode.UPSTREAM_PRESENT]: describe(
    'The upstream beside the node registered or changed.',
    'instance',
    'slots',
    'change',
  ),
  [EventCode.UPSTREAM_DRAINING]: describe(
    'The upstream is draining; its gate starts no more requests.',
    'instance',
    'slots',
    'change',
  ),
  [EventCode.UPSTREAM_REPLACED]: describe(
    'Another instance answered at the address of the upstream.',
    'instance',
  ),
  [EventCode.HEARTBEAT_REFUSED]: describe(
    'A heartbeat is older than the latest one, or from before a restart.',
    'instance',
    'sequence',
  ),
  [EventCode.CRASH_ROW_DELAYED]: describe(
    'The row of a request that crashes upstreams could not be written or removed.',
    'message',
  ),
  [EventCode.UPSTREAM_UNREACHABLE]: describe(
    'The upstream does not accept connections; its gate refuses requests temporarily.',
    'instance',
    'running',
  ),
  [EventCode.LEAVING_ROW_DELAYED]: describe(
    'The row of a leaving upstream could not be written or removed.',
    'message',
  ),
  [EventCode.LEAVING_LEARNED]: describe(
    'An earlier process of this node has acknowledged that upstreams leave.',
    'instances',
  ),
  [EventCode.UPSTREAM_PACED]: describe(
    'The limit of a started or recovered upstream is low until answers prove more.',
    'cause: started or recovered',
    'limit: requests at once',
  ),
  [EventCode.UPSTREAM_CHECKED]: describe(
    'The upstream was asked for its status, since nobody knew whether it was leaving.',
    'instance',
    'status',
    'verdict: serving, not-serving or unknown',
    'elapsedMs: ms',
  ),
  [EventCode.THROTTLE_CHANGED]: describe(
    'A route begins or ceases to be admitted only in part, since its requests fail further down.',
    'place: gate or origin',
    'kind: route',
    'isThrottled',
  ),
  [EventCode.PLATFORM_UNAVAILABLE]: describe(
    "The platform's service stopped answering.",
    'service',
    'message',
  ),
  [EventCode.PLATFORM_AVAILABLE]: describe(
    "The platform's service answers again.",
    'service',
  ),
  [EventCode.MESSAGE_MALFORMED]: describe(
    'Data received on the control port is not a valid message.',
    'message',
  ),
  [EventCode.STORE_HISTORY_LOST]: describe(
    'The store dropped its history; the table is listed again.',
    'table',
  ),
  [EventCode.LOG_LINES_DROPPED]: describe(
    'Log lines were dropped because they exceeded the budget of one second.',
    'lines',
  ),
  [EventCode.STORE_CALL_FAILED]: describe(
    'A call to the store failed or was answered incorrectly.',
    'table',
    'message',
    'silentMs: time since its last answer, ms',
  ),
  [EventCode.STORE_RESTORED]: describe(
    'The store came back from an older copy; the table is listed again.',
    'table',
    'era',
  ),
  [EventCode.ROW_REWRITTEN]: describe(
    'A row that the store had lost was written again.',
    'key',
    'isOwner: whether it belongs to this node',
  ),
  [EventCode.INVARIANT_VIOLATED]: describe(
    'An invariant of the design does not hold. Report it as a bug.',
    'invariant',
    'detail',
  ),
};
