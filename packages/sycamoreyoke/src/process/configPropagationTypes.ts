/** Messages and actions of the configuration propagation. */

/** Sets the object of a key; null removes it. */
export interface KeyedEdit<T> {
  readonly key: string;
  readonly value: T | null;
}

/** Objects by key. */
export type KeyedSet<T> = ReadonlyMap<string, T>;

/** Changes that one version makes to its predecessor. */
export interface VersionDelta<T> {
  readonly version: number;
  readonly edits: ReadonlyArray<KeyedEdit<T>>;
}

/**
 * Response to a pull or a table read: the versions after the requested one, or
 * a snapshot of all objects.
 */
export type PropagationResponse<T> =
  | {
      readonly kind: PropagationResponseKind.DELTA;
      /** Version that the first delta builds on; the deltas have no gaps. */
      readonly since: number;
      readonly deltas: ReadonlyArray<VersionDelta<T>>;
    }
  | {
      readonly kind: PropagationResponseKind.SNAPSHOT;
      readonly version: number;
      readonly objects: KeyedSet<T>;
    }
  /** The peer has no configuration or is still starting. */
  | {readonly kind: PropagationResponseKind.NOT_READY};

export enum PropagationResponseKind {
  DELTA = 'delta',
  SNAPSHOT = 'snapshot',
  NOT_READY = 'not-ready',
}

export enum PropagationActionKind {
  PULL_PEER = 'pull-peer',
  READ_HEAD = 'read-head',
  READ_TABLE = 'read-table',
  ANNOUNCE = 'announce',
  ADOPT = 'adopt',
  REFUSE_STALE = 'refuse-stale',
}

/** Action that the owner of the state machine must perform. */
export type PropagationAction<T> =
  | {
      readonly kind: PropagationActionKind.PULL_PEER;
      readonly peer: string;
      readonly since: number;
    }
  | {readonly kind: PropagationActionKind.READ_HEAD}
  /** Reads the changes since a version, or a snapshot if they are gone. */
  | {readonly kind: PropagationActionKind.READ_TABLE; readonly since: number}
  | {
      readonly kind: PropagationActionKind.ANNOUNCE;
      readonly peers: readonly string[];
      readonly version: number;
    }
  | {
      readonly kind: PropagationActionKind.ADOPT;
      readonly version: number;
      readonly objects: KeyedSet<T>;
    }
  | {
      readonly kind: PropagationActionKind.REFUSE_STALE;
      readonly offered: number;
      readonly inForce: number;
    };
