/** Messages and actions of membership; messages map one to one to the wire. */
import type {Member, MemberState} from './types.js';

/** Update of a member's state. */
export interface MemberUpdate {
  readonly incarnation: string;
  readonly counter: number;
  readonly state: MemberState;
  /**
   * Data centre whose members observed the state; empty for a statement by the
   * member itself.
   */
  readonly observer: string;
  /** Sent for new members and in lists; the state fields above take priority. */
  readonly record?: Member;
}

/** Sender of a message. */
export interface MessageSender {
  readonly service: string;
  readonly incarnation: string;
}

/** Address and number of a control port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

export enum MessageKind {
  PROBE = 'probe',
  INDIRECT_PROBE = 'indirect-probe',
  LIST_MEMBERS = 'list-members',
  ANNOUNCE = 'announce',
}

export interface ProbeRequest {
  readonly kind: MessageKind.PROBE;
  readonly sender: MessageSender;
  readonly target: string;
  /** Counter that the sender knows, so that the target can refute its state. */
  readonly targetCounter: number;
  readonly targetState: MemberState;
  readonly updates: readonly MemberUpdate[];
  readonly membersHash: number;
}

export interface ProbeResponse {
  readonly kind: MessageKind.PROBE;
  readonly sender: MessageSender;
  readonly updates: readonly MemberUpdate[];
  readonly membersHash: number;
}

export interface IndirectProbeRequest {
  readonly kind: MessageKind.INDIRECT_PROBE;
  readonly sender: MessageSender;
  readonly target: Member;
}

export interface IndirectProbeResponse {
  readonly kind: MessageKind.INDIRECT_PROBE;
  readonly sender: MessageSender;
  readonly reached: boolean;
  /** The target refused the connection. */
  readonly refused: boolean;
}

export interface ListMembersRequest {
  readonly kind: MessageKind.LIST_MEMBERS;
  readonly sender: MessageSender;
  readonly service: string;
  /** Member (incarnation) that sinceSequence belongs to; empty for none. */
  readonly informant: string;
  readonly sinceSequence: number;
  /** Between peers: request only members in buckets whose hash differs. */
  readonly bucketHashes: readonly number[];
  /** With bucket hashes: only members changed within this time; 0 for all. */
  readonly changedWithinMs: number;
  /** Members that the requester could not reach, for the receiver to probe. */
  readonly unreachable: readonly string[];
}

export interface ListMembersResponse {
  readonly kind: MessageKind.LIST_MEMBERS;
  readonly sender: MessageSender;
  readonly sequence: number;
  readonly isDelta: boolean;
  readonly members: readonly MemberUpdate[];
}

export interface AnnounceRequest {
  readonly kind: MessageKind.ANNOUNCE;
  readonly sender: MessageSender;
  readonly updates: readonly MemberUpdate[];
}

export interface AnnounceResponse {
  readonly kind: MessageKind.ANNOUNCE;
  readonly sender: MessageSender;
}

export type MembershipRequest =
  ProbeRequest | IndirectProbeRequest | ListMembersRequest | AnnounceRequest;

export type MembershipResponse =
  | ProbeResponse
  | IndirectProbeResponse
  | ListMembersResponse
  | AnnounceResponse;

export enum MembershipActionKind {
  SEND = 'send',
  RESPOND = 'respond',
  CHANGED = 'changed',
}

/** An action that the daemon has to carry out. */
export type MembershipAction =
  | {
      /** Report the result with handleResponse or handleFailure. */
      readonly kind: MembershipActionKind.SEND;
      readonly requestId: number;
      readonly to: Endpoint;
      readonly request: MembershipRequest;
    }
  | {
      readonly kind: MembershipActionKind.RESPOND;
      readonly replyTo: string;
      readonly response: MembershipResponse;
    }
  | {
      /** The member is new, or its state has changed. */
      readonly kind: MembershipActionKind.CHANGED;
      readonly member: Member;
    };
