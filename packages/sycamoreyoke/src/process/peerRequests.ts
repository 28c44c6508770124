/** Requests from a node to the peers of its service. */
import {UPDATE_ANNOUNCE_FANOUT, PROBE_TIMEOUT_MS} from './constants.js';
import type {MemberGossip} from './memberGossip.js';
import type {Endpoint, ProbeRequest} from './membershipMessages.js';
import {MessageKind} from './membershipMessages.js';
import type {RequestTracker} from './requestTracker.js';
import {createListRequest} from './tableSync.js';
import type {Member} from './types.js';

/** Builds requests that carry member updates and sends them via the tracker. */
export class PeerRequests {
  constructor(
    private readonly gossip: MemberGossip,
    private readonly tracker: RequestTracker,
  ) {}

  /** Sends the latest updates to random peers. */
  announce(nowMs: number): void {
    for (const peer of this.gossip.choosePeers(UPDATE_ANNOUNCE_FANOUT)) {
      const updates = this.gossip.takeUpdates();
      if (updates.length === 0) return;
      const sender = this.gossip.readSender();
      this.tracker.send(getEndpoint(peer), {
        request: {kind: MessageKind.ANNOUNCE, sender, updates},
        target: peer.incarnation,
        deadlineMs: nowMs + PROBE_TIMEOUT_MS,
      });
    }
  }

  /** @param replyTo identifies the indirect probe request to respond to. */
  sendProbe(member: Member, nowMs: number, replyTo?: string): void {
    const held = this.gossip.table.find(member.incarnation) ?? member;
    const request: ProbeRequest = {
      kind: MessageKind.PROBE,
      sender: this.gossip.readSender(),
      target: held.incarnation,
      targetCounter: held.counter,
      targetState: held.state,
      updates: this.gossip.takeUpdates(),
      membersHash: this.gossip.table.readHash(),
    };
    this.tracker.send(getEndpoint(held), {
      request,
      target: held.incarnation,
      deadlineMs: nowMs + PROBE_TIMEOUT_MS,
      ...(replyTo === undefined ? {} : {replyTo}),
    });
  }

  /** Asks the helper to probe the target. */
  sendIndirectProbe(helper: Member, target: Member, nowMs: number) {
    const sender = this.gossip.readSender();
    this.tracker.send(getEndpoint(helper), {
      request: {kind: MessageKind.INDIRECT_PROBE, sender, target},
      target: target.incarnation,
      deadlineMs: nowMs + 2 * PROBE_TIMEOUT_MS,
    });
  }

  /** @param changedWithinMs maximum age of the requested changes; 0 for all. */
  sendList(to: Endpoint, changedWithinMs: number, nowMs: number) {
    const sender = this.gossip.readSender();
    this.tracker.send(to, {
      request: createListRequest(sender, this.gossip.table, changedWithinMs),
      target: '',
      deadlineMs: nowMs + 2 * PROBE_TIMEOUT_MS,
    });
  }
}

/** Returns the control endpoint of a member. */
export function getEndpoint(member: Member): Endpoint {
  return {address: member.address, port: member.controlPort};
}
