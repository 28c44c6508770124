/** Records events of a gate and its upstream in the log. */
import type {AccountBacklog} from 'sycamoreyoke/process/fairness/fairQueue';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {UpstreamLoad} from 'sycamoreyoke/process/placement';
import {PresenceChange} from 'sycamoreyoke/process/upstreamPresence';
import {identifyContent} from 'sycamoreyoke/request/contentIdentity';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {describeCallAccount} from '../request/callAccount.js';
import type {RunEnd} from '../request/upstreamRun.js';
import type {OutgoingCall} from '../types.js';
import {GateReason} from '../types.js';

type GateState = Pick<UpstreamLoad, 'running' | 'waiting' | 'limit'>;

/** Lowest status that means a failure of the upstream. */
const FIRST_ERROR_STATUS = 500;

/** Records a refusal with what it depended on: load, account, remaining time. */
export function recordRefusal(
  record: EventRecorder,
  call: OutgoingCall,
  reason: GateReason,
  {running, waiting, limit}: GateState,
  {accountWaiting, waitingAccounts}: AccountBacklog,
): void {
  if (reason === GateReason.CANCELLED) return;
  const {kind, importance, leftMs, requestId} = call;
  const account = describeCallAccount(call);
  const hasAccount = Object.keys(account).length > 0;
  record(
    EventCode.GATE_REFUSED,
    {
      kind,
      reason,
      importance,
      running,
      waiting,
      limit,
      leftMs: Math.round(leftMs),
      ...account,
      ...(hasAccount ? {accountWaiting, waitingAccounts} : {}),
    },
    requestId,
  );
}

/** Records how a run on the upstream ended. */
export function recordRun(
  record: EventRecorder,
  call: OutgoingCall,
  instance: string,
  {result: {end, status, reason}, message}: RunEnd,
  elapsedMs: number,
  {running, waiting}: GateState,
): void {
  const isServed = end === SendEnd.RESPONSE && status < FIRST_ERROR_STATUS;
  record(
    isServed ? EventCode.REQUEST_FINISHED : EventCode.UPSTREAM_RUN_FAILED,
    {
      kind: call.kind,
      instance,
      status,
      reason: reason ?? '',
      ...(message === '' ? {} : {message}),
      ...(end === SendEnd.LOST ? {content: identifyContent(call)} : {}),
      elapsedMs: Math.round(elapsedMs),
      running,
      waiting,
      ...describeCallAccount(call),
    },
    call.requestId,
  );
}

/** Records a change caused by a heartbeat or by the upstream leaving. */
export function recordPresence(
  record: EventRecorder,
  change: PresenceChange,
  instance: string,
  slots: number,
): void {
  const code =
    change === PresenceChange.DRAINING
      ? EventCode.UPSTREAM_DRAINING
      : EventCode.UPSTREAM_PRESENT;
  record(code, {instance, slots, change});
}
