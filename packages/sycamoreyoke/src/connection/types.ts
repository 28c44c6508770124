import type {Outcome} from '../types.js';

/** Whether and where a request may be resent if its response is missing. */
export enum ResendRule {
  /** To any member; running the request twice does no harm. */
  IDEMPOTENT = 'idempotent',
  /** Only to the same member, where it joins the running execution. */
  PINNED = 'pinned',
  /** Never, since a second run would do harm. */
  NEVER = 'never',
}

/** A request to be sent to one member. */
export interface LinkRequest {
  readonly id: string;
  readonly rule: ResendRule;
  readonly deadline: number;
  /** Takes one retry from the budget and the ledger; false if none is left. */
  readonly takeRetry: () => boolean;
}

export enum LinkActionKind {
  OPEN = 'open',
  WRITE = 'write',
  CLOSE = 'close',
  /** Also send the request to another member; the first response is used. */
  SEND_ELSEWHERE = 'send-elsewhere',
  /** The request ends without a response on this link. */
  GIVE_UP = 'give-up',
  /** The response on the connection completes the request. */
  COMPLETE = 'complete',
  /** The member may be unresponsive: prefer other members for new requests. */
  SUSPECT_MEMBER = 'suspect-member',
}

/** Action that the owner of the call connections must perform. */
export type LinkAction =
  | {readonly kind: LinkActionKind.OPEN; readonly connection: number}
  | {
      readonly kind: LinkActionKind.WRITE;
      readonly connection: number;
      readonly requestId: string;
    }
  | {readonly kind: LinkActionKind.CLOSE; readonly connection: number}
  | {readonly kind: LinkActionKind.SEND_ELSEWHERE; readonly requestId: string}
  | {
      readonly kind: LinkActionKind.GIVE_UP;
      readonly requestId: string;
      readonly outcome: Outcome.NOT_RUN | Outcome.UNKNOWN;
    }
  | {
      readonly kind: LinkActionKind.COMPLETE;
      readonly connection: number;
      readonly requestId: string;
    }
  | {readonly kind: LinkActionKind.SUSPECT_MEMBER};

export enum HeartbeatActionKind {
  OPEN = 'open',
  SEND = 'send',
  /** Use this connection for new messages. */
  SWITCH = 'switch',
  CLOSE = 'close',
  /** Neither the active connection nor a replacement works. */
  UNREACHABLE = 'unreachable',
}

/** Action that the owner of a control connection must perform. */
export type HeartbeatAction =
  | {
      readonly kind: Exclude<
        HeartbeatActionKind,
        HeartbeatActionKind.UNREACHABLE
      >;
      readonly connection: number;
    }
  | {readonly kind: HeartbeatActionKind.UNREACHABLE};
