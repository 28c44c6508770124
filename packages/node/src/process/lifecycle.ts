import {RefusalReason} from 'sycamoreyoke/types';

/** Lifecycle of the node; it accepts new work only while ACTIVE. */
export enum LifecycleState {
  STARTING = 'starting',
  ACTIVE = 'active',
  /** Refreshing its state after a pause of the process. */
  RESUMING = 'resuming',
  LEAVING = 'leaving',
}

const REFUSALS: ReadonlyMap<LifecycleState, RefusalReason> = new Map([
  [LifecycleState.STARTING, RefusalReason.STARTING],
  [LifecycleState.RESUMING, RefusalReason.PAUSED],
  [LifecycleState.LEAVING, RefusalReason.LEAVING],
]);

/** Holds the lifecycle state of the node and counts calls in flight. */
export class Lifecycle {
  private state = LifecycleState.STARTING;
  private inFlight = 0;

  get(): LifecycleState {
    return this.state;
  }

  /** Sets the state, unless the node is leaving, which is final. */
  set(state: LifecycleState): void {
    if (this.state !== LifecycleState.LEAVING) this.state = state;
  }

  /** Why new work is refused; undefined when it is accepted. */
  getRefusal(): RefusalReason | undefined {
    return REFUSALS.get(this.state);
  }

  /** Counts a call that has started; finish() must follow. */
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
