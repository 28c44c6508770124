/** Messages and actions of membership; they map one to one to the wire. */
import type {Member, MemberState} from './types.js';

/** News of a member's state. */
export interface MemberUpdate {
  readonly incarnation: string;
  readonly counter: number;
  readonly state: MemberState;
  /**
   * Data centre whose members observed the state; empty for a statement of
   * the member itself.
   */
  readonly observer: string;
  /** Sent for new members and in lists; the state fields above take priority. */
  readonly record?: Member;
}

/** Who sends a message. */
export interface MessageSender {
  readonly service: string;
  readonly incarnation: string;
}

/** Where a control port listens. */
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
  /** What the sender holds of the target, so that the target can refute it. */
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
  /** Informant whose sequence the asker knows; empty for none. */
  readonly informant: string;
  readonly sinceSequence: number;
  /** Between peers: only members in buckets with another hash are sent. */
  readonly bucketHashes: readonly number[];
  /** With bucket hashes: only members changed within this time; 0 for all. */
  readonly changedWithinMs: number;
  /** Members that the asker could not reach, for the informant to probe. */
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

/** What the daemon has to do. */
export type MembershipAction =
  | {
      /** Report the end by handleResponse or handleFailure with requestId. */
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
      /** A member is new or its state has changed. */
      readonly kind: MembershipActionKind.CHANGED;
      readonly member: Member;
    };
