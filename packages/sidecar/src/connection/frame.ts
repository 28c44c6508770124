/** The messages between two nodes. */
import type {
  AskMessage,
  GrantMessage,
} from 'sycamoreyoke/process/allotment/allotmentNode';
import type {CrashSuspect} from 'sycamoreyoke/process/crashRegister';
import type {
  CallResult,
  LeavingNotice,
  NodeRecord,
  NodeReport,
  OutgoingCall,
} from '../types.js';

/** Kinds of frames, as numbered on the wire. */
export enum FrameKind {
  HELLO = 1,
  CALL = 2,
  CANCEL = 3,
  RESULT = 4,
  PING = 5,
  REPORT = 6,
  GET_CONFIGURATION = 7,
  CONFIGURATION = 8,
  GET_NODES = 9,
  NODES = 10,
  /** Calls still without a result have not run and will not run. */
  GOODBYE = 11,
  /** Requests that were in flight when upstreams of the service crashed. */
  SUSPECTS = 12,
  /** Asks what became of the calls that a lost connection has left pending. */
  RESUME = 13,
  /** Answers RESUME, behind the results of calls that have ended. */
  RESUMED = 14,
  /**
   * Upstreams whose leaving a node has acknowledged: the sender, or the receiver
   * before it was restarted.
   */
  LEAVINGS = 15,
  /** Asks an owner for tokens of client accounts; without any, a contact. */
  TOKENS_ASK = 16,
  TOKENS_GRANT = 17,
}

/**
 * Revision of the frames that a node understands, sent in its HELLO. Nodes that
 * send none (0) treat an unknown kind as a fault and end the link.
 */
export const FRAME_REVISION = 5;
/** First revision with GOODBYE. */
export const GOODBYE_REVISION = 1;
/** First revision that ignores unknown kinds of frames. */
export const TOLERANT_REVISION = 1;

/**
 * First revision whose HELLO tells in which epoch a session is. Nodes of
 * revision 2 resume calls without it, which can call one "not run" that ran.
 */
export const RESUME_REVISION = 3;

/** First revision that keeps LEAVINGS for the node that they are about. */
export const LEAVINGS_REVISION = 3;

/** First revision with TOKENS_ASK and TOKENS_GRANT. */
export const TOKENS_REVISION = 4;

/**
 * First revision whose gates know inferred accounts. Earlier ones would tell
 * the upstream their names.
 */
export const INFERRED_ACCOUNT_REVISION = 5;

/** A message between two nodes. */
export type Frame =
  | {
      readonly kind: FrameKind.HELLO;
      readonly node: NodeRecord;
      readonly report: NodeReport;
      readonly revision: number;
      /** Names the origin's calls on this link and its later connections. */
      readonly session?: string | undefined;
      /**
       * In the answer to a HELLO with a session: changes when the gate has
       * forgotten the session and begins it anew.
       */
      readonly epoch?: number | undefined;
    }
  | {
      readonly kind: FrameKind.CALL;
      readonly id: number;
      readonly call: OutgoingCall;
      /** When it was sent, on the sender's clock, ms; not from old versions. */
      readonly sentMs: number | undefined;
      /** Calls whose results have arrived since the last call. */
      readonly acknowledgedIds?: readonly number[];
    }
  | {readonly kind: FrameKind.CANCEL; readonly id: number}
  | {
      readonly kind: FrameKind.RESULT;
      readonly id: number;
      readonly result: CallResult;
      readonly report: NodeReport;
    }
  | {
      readonly kind: FrameKind.PING;
      readonly report: NodeReport;
      /** When it was sent, on the sender's clock, ms; not from old versions. */
      readonly sentMs?: number;
    }
  | {readonly kind: FrameKind.REPORT; readonly report: NodeReport}
  | {readonly kind: FrameKind.GET_CONFIGURATION}
  | {readonly kind: FrameKind.CONFIGURATION; readonly content: Uint8Array}
  | {readonly kind: FrameKind.GET_NODES}
  | {readonly kind: FrameKind.NODES; readonly nodes: readonly NodeRecord[]}
  | {readonly kind: FrameKind.GOODBYE}
  | {readonly kind: FrameKind.RESUMED}
  | {readonly kind: FrameKind.LEAVINGS; readonly notice: LeavingNotice}
  | {readonly kind: FrameKind.TOKENS_ASK; readonly message: AskMessage}
  | {readonly kind: FrameKind.TOKENS_GRANT; readonly message: GrantMessage}
  | {readonly kind: FrameKind.RESUME; readonly pendingIds: readonly number[]}
  | {
      readonly kind: FrameKind.SUSPECTS;
      readonly suspects: readonly CrashSuspect[];
    };
