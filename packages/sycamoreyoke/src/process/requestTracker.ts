/** Pending requests and the actions of the current step. */
import type {
  Endpoint,
  MembershipAction,
  MembershipRequest,
  MembershipResponse,
} from './membershipMessages.js';
import {MembershipActionKind} from './membershipMessages.js';
import type {Member} from './types.js';

/** A request that has not been answered yet. */
export interface PendingRequest {
  readonly request: MembershipRequest;
  /** Member that the request is about; empty for a list. */
  readonly target: string;
  readonly deadlineMs: number;
  /** Indirect probe request that the result of this probe answers. */
  readonly replyTo?: string;
}

/** Collects actions and matches responses to requests. */
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

  /** Removes and returns a pending request; undefined if it has expired. */
  takeRequest(requestId: number): PendingRequest | undefined {
    const pending = this.pending.get(requestId);
    this.pending.delete(requestId);
    return pending;
  }

  /** Removes and returns the requests whose deadline has passed. */
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
