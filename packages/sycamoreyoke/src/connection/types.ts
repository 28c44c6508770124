import type {Outcome} from '../types.js';

/** How a request may be written again when its response is missing. */
export enum RepeatRule {
  /** To any member; nothing is lost if it runs twice. */
  IDEMPOTENT = 'idempotent',
  /** To the same member only, where it joins the running execution. */
  PINNED = 'pinned',
  /** Not at all. */
  NEVER = 'never',
}

/** A request on its way to one member. */
export interface LinkRequest {
  readonly id: string;
  readonly rule: RepeatRule;
  readonly deadline: number;
  /** Asks budget and ledger for one retry. */
  readonly takeRetry: () => boolean;
}

export enum LinkActionKind {
  OPEN = 'open',
  WRITE = 'write',
  CLOSE = 'close',
  /** Send the request to another member too; the first response counts. */
  SEND_ELSEWHERE = 'send-elsewhere',
  /** The request ends without a response on this link. */
  GIVE_UP = 'give-up',
  /** The response of the connection completes the request. */
  COMPLETE = 'complete',
  /** Choose other members for new work. */
  SUSPECT_MEMBER = 'suspect-member',
}

/** What the owner of the call connections has to do. */
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
  /** Use this connection for new messages from now on. */
  SWITCH = 'switch',
  CLOSE = 'close',
  /** Neither the connection nor its replacement answers. */
  UNREACHABLE = 'unreachable',
}

/** What the owner of a control connection has to do. */
export type HeartbeatAction =
  | {
      readonly kind: Exclude<
        HeartbeatActionKind,
        HeartbeatActionKind.UNREACHABLE
      >;
      readonly connection: number;
    }
  | {readonly kind: HeartbeatActionKind.UNREACHABLE};
