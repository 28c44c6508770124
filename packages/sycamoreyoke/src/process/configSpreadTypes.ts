/** Messages and actions of the spread of the configuration. */

/** New value of an object; null removes it. */
export interface KeyedEdit<T> {
  readonly key: string;
  readonly value: T | null;
}

/** Objects by key. */
export type KeyedSet<T> = ReadonlyMap<string, T>;

/** What one version changed. */
export interface SpreadDelta<T> {
  readonly version: number;
  readonly edits: ReadonlyArray<KeyedEdit<T>>;
}

/** Answer of a peer: versions since the one asked for, or a whole set. */
export type SpreadResponse<T> =
  | {
      readonly kind: SpreadResponseKind.DELTA;
      /** The deltas follow this version without a gap. */
      readonly since: number;
      readonly deltas: ReadonlyArray<SpreadDelta<T>>;
    }
  | {
      readonly kind: SpreadResponseKind.SNAPSHOT;
      readonly version: number;
      readonly objects: KeyedSet<T>;
    }
  /** The peer has no configuration that it vouches for. */
  | {readonly kind: SpreadResponseKind.NOT_READY};

export enum SpreadResponseKind {
  DELTA = 'delta',
  SNAPSHOT = 'snapshot',
  NOT_READY = 'not-ready',
}

export enum SpreadActionKind {
  PULL_PEER = 'pull-peer',
  READ_HEAD = 'read-head',
  READ_TABLE = 'read-table',
  ANNOUNCE = 'announce',
  ADOPT = 'adopt',
  REFUSE_STALE = 'refuse-stale',
}

/** What the daemon has to do. */
export type SpreadAction<T> =
  | {
      readonly kind: SpreadActionKind.PULL_PEER;
      readonly peer: string;
      readonly since: number;
    }
  | {readonly kind: SpreadActionKind.READ_HEAD}
  /** Changes since a version; the whole set when they are not kept. */
  | {readonly kind: SpreadActionKind.READ_TABLE; readonly since: number}
  | {
      readonly kind: SpreadActionKind.ANNOUNCE;
      readonly peers: readonly string[];
      readonly version: number;
    }
  | {
      readonly kind: SpreadActionKind.ADOPT;
      readonly version: number;
      readonly objects: KeyedSet<T>;
    }
  | {
      readonly kind: SpreadActionKind.REFUSE_STALE;
      readonly offered: number;
      readonly inForce: number;
    };
