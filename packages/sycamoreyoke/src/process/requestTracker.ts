/** Requests without an answer yet, and the actions of the current step. */
import type {
  Endpoint,
  MembershipAction,
  MembershipRequest,
  MembershipResponse,
} from './membershipMessages.js';
import {MembershipActionKind} from './membershipMessages.js';
import type {Member} from './types.js';

/** A request of this node that has no answer yet. */
export interface PendingRequest {
  readonly request: MembershipRequest;
  /** Member that the request is about; empty for a list. */
  readonly target: string;
  readonly deadlineMs: number;
  /** Indirect probe of another node that this probe is made for. */
  readonly replyTo?: string;
}

/** Collects actions and matches answers to requests. */
export class RequestTracker {
  private readonly pending = new Map<number, PendingRequest>();
  private actions: MembershipAction[] = [];
  private nextRequestId = 1;

  send(to: Endpoint, pending: PendingRequest): void {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    this.pending.set(requestId, pending);
    const {request} = pending;
    this.actions.push({
      kind: MembershipActionKind.SEND,
      requestId,
      to,
      request,
    });
  }

  respond(replyTo: string, response: MembershipResponse): void {
    this.actions.push({kind: MembershipActionKind.RESPOND, replyTo, response});
  }

  reportChange(member: Member): void {
    this.actions.push({kind: MembershipActionKind.CHANGED, member});
  }

  /** The request of an answer; undefined when it has been given up. */
  takeRequest(requestId: number): PendingRequest | undefined {
    const pending = this.pending.get(requestId);
    this.pending.delete(requestId);
    return pending;
  }

  /** Gives up requests whose time is over. */
  takeExpired(nowMs: number): PendingRequest[] {
    const expired: PendingRequest[] = [];
    for (const [requestId, pending] of this.pending) {
      if (pending.deadlineMs > nowMs) continue;
      this.pending.delete(requestId);
      expired.push(pending);
    }
    return expired;
  }

  takeActions(): MembershipAction[] {
    const {actions} = this;
    this.actions = [];
    return actions;
  }

  reset(): void {
    this.pending.clear();
  }
}
