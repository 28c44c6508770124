/** Records the events and counters of outgoing calls. */
import {EventCode} from 'sycamoreyoke/process/events';
import type {Member} from 'sycamoreyoke/process/types';
import type {NodeParts} from '../process/nodeParts.js';
import type {DeliveryResult, OutgoingRequest} from './types.js';

/** Records that a call is sent to a member. */
export function recordRouted(
  parts: NodeParts,
  call: OutgoingRequest,
  member: Member,
  attempt: number,
): void {
  const {service} = call.compiledClass.definition;
  const details = {service, member: member.incarnation, attempt};
  parts.record(EventCode.CALL_ROUTED, details, call.requestId);
}

/** Records that a call is retried. */
export function recordRetry(
  parts: NodeParts,
  call: OutgoingRequest,
  delayMs: number,
  allowance: number,
): void {
  const {service} = call.compiledClass.definition;
  parts.metrics.count('sycamoreyoke_retries_total', {service});
  const details = {service, delayMs, allowance};
  parts.record(EventCode.CALL_RETRIED, details, call.requestId);
}

/** Records that a call is refused locally because its target is overloaded. */
export function recordRefusedEarly(
  parts: NodeParts,
  call: OutgoingRequest,
): void {
  const {service} = call.compiledClass.definition;
  parts.metrics.count('sycamoreyoke_refused_early_total', {service});
  const details = {service, requestClass: call.identity.requestClass};
  parts.record(EventCode.CALL_REFUSED_EARLY, details, call.requestId);
}

/** Records the outcome of a call after its last attempt. */
export function recordDelivery(
  parts: NodeParts,
  call: OutgoingRequest,
  {answer, retries}: DeliveryResult,
  elapsedMs: number,
): void {
  const {service} = call.compiledClass.definition;
  const {outcome} = answer;
  const status = answer.response?.status ?? 0;
  const details = {service, outcome, status, retries, elapsedMs};
  parts.record(EventCode.CALL_COMPLETED, details, call.requestId);
}
