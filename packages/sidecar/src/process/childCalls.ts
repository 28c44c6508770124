/** Relates the calls that the upstream makes to the requests that it runs. */
import type {Clock} from 'sycamoreyoke/clock';
import type {CallParents, PossibleCall} from 'sycamoreyoke/process/callParents';
import type {WorkDone} from 'sycamoreyoke/process/retryOrder';
import {computeWorkDone} from 'sycamoreyoke/process/retryOrder';
import {Importance} from 'sycamoreyoke/types';
import {describeOrder} from '../request/callAccount.js';
import type {OutgoingCall} from '../types.js';
import type {ParentCall, ParentRequest} from './parentCall.js';
import {CallDoubt} from './parentCall.js';

/** A request that runs on the upstream. */
export interface RunningRequest {
  readonly ticket: string;
  readonly call: OutgoingCall;
  readonly deadlineMs: number;
}

/** Dependencies of the child calls. */
export interface ChildCallsParts {
  readonly callParents: CallParents;
  readonly clock: Clock;
  readonly findRequest: (ticket: string) => RunningRequest | undefined;
  /** Longest duration of a request of the upstream, ms. */
  readonly readLongestTimeoutMs: () => number;
}

interface InferredParent {
  readonly ticket: string;
  readonly parent: ParentRequest;
}

/** Infers the parents of calls, and tracks the calls while they are open. */
export class ChildCalls {
  constructor(private readonly parts: ChildCallsParts) {}

  /** Infers the running request for which the upstream makes a call, if any. */
  findParent(
    possibleCall: PossibleCall,
    mayBeDelayed: boolean,
  ): ParentRequest | undefined {
    return this.findInferred(possibleCall, mayBeDelayed)?.parent;
  }

  /** The same; the call counts as open until it is finished. */
  start(
    possibleCall: PossibleCall,
    mayBeDelayed: boolean,
  ): ParentCall | undefined {
    const {callParents, clock} = this.parts;
    const inferred = this.findInferred(possibleCall, mayBeDelayed);
    if (!inferred) return undefined;
    const {ticket, parent} = inferred;
    callParents.startCall(ticket);
    const finish = () => callParents.finishCall(ticket, clock.readMs());
    return {...parent, finish};
  }

  /**
   * Finds why a request without evidence that it is a call may still be one;
   * undefined if it can only be a client's.
   */
  findDoubt(possibleCall: PossibleCall): CallDoubt | undefined {
    const {callParents, readLongestTimeoutMs} = this.parts;
    if (callParents.hasAbandonedParent(possibleCall))
      return CallDoubt.ENDED_PARENT;
    if (callParents.hasFormerParent(possibleCall, readLongestTimeoutMs()))
      return CallDoubt.FORMER_PROCESS;
    const isLate = callParents.hasDelayedParent(possibleCall);
    return isLate ? CallDoubt.LATE : undefined;
  }

  private findInferred(
    possibleCall: PossibleCall,
    mayBeDelayed: boolean,
  ): InferredParent | undefined {
    const {callParents, findRequest} = this.parts;
    const inferred = callParents.findParents(possibleCall, mayBeDelayed);
    if (!inferred) return undefined;
    const {tickets, evidence} = inferred;
    const [ticket] = tickets;
    const nearest = findRequest(ticket);
    if (!nearest) return undefined;
    const importances = tickets.map(
      (each) => findRequest(each)?.call.importance ?? Importance.LOW,
    );
    const parent = {
      requestId: nearest.call.requestId,
      importance: Math.max(...importances),
      account: describeOrder(nearest.call).account,
      evidence,
      readWork: () => this.readWork(nearest),
    };
    return {ticket, parent};
  }

  private readWork({ticket, deadlineMs}: RunningRequest): WorkDone | undefined {
    const {callParents, clock} = this.parts;
    const progress = callParents.readProgress(ticket);
    return progress && computeWorkDone(progress, deadlineMs, clock.readMs());
  }
}
