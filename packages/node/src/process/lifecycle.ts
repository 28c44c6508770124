import {RefusalReason} from 'sycamoreyoke/types';

/** Whether the node takes new work. */
export enum LifecycleState {
  STARTING = 'starting',
  ACTIVE = 'active',
  /** Woke up from a pause and refreshes what it knows. */
  RESUMING = 'resuming',
  LEAVING = 'leaving',
}

const REFUSALS: ReadonlyMap<LifecycleState, RefusalReason> = new Map([
  [LifecycleState.STARTING, RefusalReason.STARTING],
  [LifecycleState.RESUMING, RefusalReason.PAUSED],
  [LifecycleState.LEAVING, RefusalReason.LEAVING],
]);

/** Owns the state of the node as a whole. */
export class Lifecycle {
  private state = LifecycleState.STARTING;
  private inFlight = 0;

  get(): LifecycleState {
    return this.state;
  }

  /** Leaving is final. */
  set(state: LifecycleState): void {
    if (this.state !== LifecycleState.LEAVING) this.state = state;
  }

  /** Why new work is refused now; undefined when it is taken. */
  getRefusal(): RefusalReason | undefined {
    return REFUSALS.get(this.state);
  }

  /** Counts a call from its first byte to the end of its response. */
  start(): void {
    this.inFlight += 1;
  }

  finish(): void {
    this.inFlight -= 1;
  }

  countInFlight(): number {
    return this.inFlight;
  }
}
