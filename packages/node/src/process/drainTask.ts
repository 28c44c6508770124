/** Runs the graceful shutdown of the node and of its upstream. */
import type {Drain, DrainAction} from 'sycamoreyoke/process/drain';
import {DrainActionKind} from 'sycamoreyoke/process/drain';

const TICK_MS = 100;

/** Callbacks of a DrainTask. */
export interface DrainHandlers {
  readonly announceLeaving: () => void;
  readonly refuse: (ticket: string) => void;
}

/** Runs the library's drain state machine and applies its actions. */
export class DrainTask {
  private timer: NodeJS.Timeout | undefined;
  private readonly upstreamDrainWaiters: Array<() => void> = [];
  private readonly closeWaiters: Array<() => void> = [];

  constructor(
    private readonly drain: Drain,
    private readonly handlers: DrainHandlers,
  ) {}

  /** Starts to leave the service; the node stops once nothing is in flight. */
  stopNode(): void {
    this.start(this.drain.stopNode());
  }

  /**
   * Resolves when the listeners may be closed, whether the node or the upstream
   * started the shutdown.
   */
  waitClosed(): Promise<void> {
    return new Promise((resolve) => this.closeWaiters.push(resolve));
  }

  /** Starts to leave; resolves when the upstream has nothing in flight. */
  drainUpstream(): Promise<void> {
    const drained = new Promise<void>((resolve) =>
      this.upstreamDrainWaiters.push(resolve),
    );
    this.start(this.drain.drainUpstream());
    return drained;
  }

  /** Registers a call with its deadline in ms; false when it is refused. */
  admit(ticket: string, deadline: number): boolean {
    return this.drain.admit(ticket, deadline);
  }

  admitCall(parent: string | undefined): boolean {
    return this.drain.admitCall(parent);
  }

  startWork(ticket: string): boolean {
    return this.drain.start(ticket);
  }

  finish(ticket: string, recordDeadline?: number): void {
    this.apply(this.drain.finish(ticket, recordDeadline));
  }

  markDelivered(ticket: string): void {
    this.apply(this.drain.markDelivered(ticket));
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private start(actions: readonly DrainAction[]): void {
    this.timer ??= setInterval(() => this.apply(this.drain.tick()), TICK_MS);
    this.apply(actions);
  }

  private apply(actions: readonly DrainAction[]): void {
    for (const action of actions) {
      switch (action.kind) {
        case DrainActionKind.ANNOUNCE_LEAVING:
          this.handlers.announceLeaving();
          break;
        case DrainActionKind.REFUSE:
          this.handlers.refuse(action.ticket);
          break;
        case DrainActionKind.ANSWER_UPSTREAM:
          for (const resolve of this.upstreamDrainWaiters.splice(0)) resolve();
          break;
        case DrainActionKind.CLOSE_AND_EXIT:
          for (const resolve of this.closeWaiters.splice(0)) resolve();
          break;
      }
    }
  }
}
