/** Simulated network for membership messages, with faults. */
import type {VirtualClock} from '../clock.js';
import type {Random} from '../random.js';
import type {
  Endpoint,
  MembershipAction,
  MembershipRequest,
  MembershipResponse,
} from './membershipMessages.js';
import {MembershipActionKind} from './membershipMessages.js';

const TICK_MS = 100;

/** Protocol logic of a process: membership of a node or view of a caller. */
export interface VirtualPeer {
  tick(): MembershipAction[];
  handleRequest(
    request: MembershipRequest,
    replyTo: string,
  ): MembershipAction[];
  handleResponse(
    requestId: number,
    response: MembershipResponse,
  ): MembershipAction[];
  handleFailure(requestId: number, refused: boolean): MembershipAction[];
}

export enum VirtualState {
  RUNNING = 'running',
  /** Its incoming messages are queued until it resumes. */
  PAUSED = 'paused',
  /** Its address refuses connections. */
  STOPPED = 'stopped',
  /** Its address does not respond. */
  LOST = 'lost',
}

/** A simulated process at an address. */
export interface VirtualHost {
  readonly address: string;
  readonly dataCentre: string;
  peer: VirtualPeer;
  state: VirtualState;
  readonly inbox: Array<() => void>;
}

export interface VirtualNetworkOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  /** Returns the delay of a message, ms. */
  readonly getDelayMs: (from: VirtualHost, to: VirtualHost) => number;
  /** Returns true if the message is lost or the hosts are partitioned. */
  readonly isLost: (from: VirtualHost, to: VirtualHost) => boolean;
  readonly observeMessage?: (
    from: VirtualHost,
    to: VirtualHost,
    message: MembershipRequest | MembershipResponse,
    isRequest: boolean,
  ) => void;
}

/** Hosts and the messages in transit between them. */
export class VirtualNetwork {
  readonly hosts = new Map<string, VirtualHost>();
  private readonly scheduledTasks = new Map<number, Array<() => void>>();

  constructor(private readonly options: VirtualNetworkOptions) {}

  /** Adds a host, replacing any host at the same address. */
  add(address: string, dataCentre: string, peer: VirtualPeer): VirtualHost {
    const state = VirtualState.RUNNING;
    const host = {address, dataCentre, peer, state, inbox: []};
    this.hosts.set(address, host);
    this.schedule(this.options.random() * TICK_MS, () => this.tick(host));
    return host;
  }

  /** Carries out the actions of a host. */
  apply(host: VirtualHost, actions: readonly MembershipAction[]): void {
    for (const action of actions) {
      if (action.kind === MembershipActionKind.SEND) {
        this.send(host, action.requestId, action.to, action.request);
      } else if (action.kind === MembershipActionKind.RESPOND) {
        this.sendResponse(host, action.replyTo, action.response);
      }
    }
  }

  /** Resumes a paused host and delivers its queued messages. */
  resume(host: VirtualHost): void {
    host.state = VirtualState.RUNNING;
    for (const run of host.inbox.splice(0)) run();
  }

  schedule(delayMs: number, run: () => void): void {
    const delay = Math.max(1, Math.round(delayMs));
    const dueMs = this.options.clock.readMs() + delay;
    const tasks = this.scheduledTasks.get(dueMs);
    if (tasks) tasks.push(run);
    else this.scheduledTasks.set(dueMs, [run]);
  }

  /** Runs the simulation for the given time. */
  run(durationMs: number): void {
    const {clock} = this.options;
    for (let elapsed = 0; elapsed < durationMs; elapsed += 1) {
      clock.advance(1);
      const nowMs = clock.readMs();
      for (const run of this.scheduledTasks.get(nowMs) ?? []) run();
      this.scheduledTasks.delete(nowMs);
    }
  }

  private tick(host: VirtualHost): void {
    if (this.hosts.get(host.address) !== host) return;
    if (host.state === VirtualState.RUNNING) {
      this.apply(host, host.peer.tick());
    }
    this.schedule(TICK_MS, () => this.tick(host));
  }

  private send(
    from: VirtualHost,
    requestId: number,
    to: Endpoint,
    request: MembershipRequest,
  ): void {
    const target = this.hosts.get(to.address);
    if (!target) return;
    this.options.observeMessage?.(from, target, request, true);
    this.deliver(from, target, () => {
      const host = this.hosts.get(to.address) ?? target;
      if (host.state === VirtualState.STOPPED) {
        this.deliver(host, from, () => {
          this.apply(from, from.peer.handleFailure(requestId, true));
        });
        return;
      }
      const replyTo = `${from.address} ${requestId}`;
      this.apply(host, host.peer.handleRequest(request, replyTo));
    });
  }

  private sendResponse(
    from: VirtualHost,
    replyTo: string,
    response: MembershipResponse,
  ): void {
    const [address = '', requestId = ''] = replyTo.split(' ');
    const target = this.hosts.get(address);
    if (!target) return;
    this.options.observeMessage?.(from, target, response, false);
    this.deliver(from, target, () => {
      if (target.state === VirtualState.STOPPED) return;
      const actions = target.peer.handleResponse(Number(requestId), response);
      this.apply(target, actions);
    });
  }

  private deliver(from: VirtualHost, to: VirtualHost, run: () => void): void {
    if (this.options.isLost(from, to)) return;
    this.schedule(this.options.getDelayMs(from, to), () => {
      const {state} = to;
      if (state === VirtualState.LOST) return;
      if (state === VirtualState.PAUSED) to.inbox.push(run);
      else run();
    });
  }
}
