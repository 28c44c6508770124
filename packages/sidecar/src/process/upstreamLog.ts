/** Log lines of what happens at a gate and on its upstream. */
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {UpstreamLoad} from 'sycamoreyoke/process/placement';
import {PresenceChange} from 'sycamoreyoke/process/upstreamPresence';
import {identifyContent} from 'sycamoreyoke/request/contentIdentity';
import {SendEnd} from 'sycamoreyoke/request/resend';
import type {RunEnd} from '../request/upstreamRun.js';
import type {OutgoingCall} from '../types.js';
import {GateReason} from '../types.js';

type GateState = Pick<UpstreamLoad, 'running' | 'waiting' | 'limit'>;

/** Lowest status that tells of a failure of the upstream. */
const FIRST_ERROR_STATUS = 500;

/** Inputs of the decision: what runs and waits, and the time left. */
export function recordRefusal(
  record: EventRecorder,
  {kind, importance, leftMs, requestId}: OutgoingCall,
  reason: GateReason,
  {running, waiting, limit}: GateState,
): void {
  if (reason === GateReason.CANCELLED) return;
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
    },
    requestId,
  );
}

/** How a run on the upstream ended. */
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
    },
    call.requestId,
  );
}

/** What a heartbeat, or the leaving of the upstream, has changed. */
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
