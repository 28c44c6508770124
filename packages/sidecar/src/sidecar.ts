/** Starts and stops the sidecar; a stop lets open requests finish. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setImmediate as waitForWrites} from 'node:timers/promises';
import {EventCode} from 'sycamoreyoke/process/events';
import {StopSchedule} from 'sycamoreyoke/process/stopSchedule';
import {ROW_CHECK_INTERVAL_MS, ROW_REMOVAL_MS} from './constants.js';
import {openListener} from './process/httpListeners.js';
import {LOOP_TICK_MS} from './process/loopWatch.js';
import type {SidecarParts} from './wiring.js';

/** Interval at which a starting node checks whether it can take calls. */
const START_POLL_MS = 50;
/** Interval at which a stopping node checks for open requests. */
const STOP_POLL_MS = 50;

/** A sidecar process. */
export class Sidecar {
  private readonly servers: Server[] = [];
  private rowRemovalTimer: NodeJS.Timeout | undefined;
  private loopTimer: NodeJS.Timeout | undefined;
  private stopPromise: Promise<void> | undefined;

  constructor(private readonly parts: SidecarParts) {}

  /**
   * Opens the listeners and starts to follow the store; rejects if an address
   * cannot be bound.
   */
  async start(): Promise<void> {
    const {parts} = this;
    const {settings, record} = parts;
    await parts.peerServer.listen(settings.ip, settings.peerPort);
    for (const follower of parts.followers) void follower.run();
    void parts.fleet.announce();
    await parts.clients.listen(settings.outbound);
    parts.lifecycle.handleConfiguration = () => this.updateBounds();
    this.servers.push(
      await openListener(settings.ready, (_request, response) =>
        this.answerReady(response),
      ),
    );
    if (settings.metricsPort !== undefined) {
      const address = {host: settings.ip, port: settings.metricsPort};
      this.servers.push(
        await openListener(address, (request, response) =>
          this.answerMetrics(request, response),
        ),
      );
    }
    this.rowRemovalTimer = setInterval(() => {
      const lost = parts.peers.listUnreachable(ROW_REMOVAL_MS);
      if (lost.size > 0) void parts.fleet.removeUnreachable(lost);
    }, ROW_CHECK_INTERVAL_MS);
    this.loopTimer = setInterval(() => parts.loop.observe(), LOOP_TICK_MS);
    this.watchStart();
    record(EventCode.NODE_STARTED, {
      service: settings.service,
      peerPort: settings.peerPort,
    });
  }

  /** Announces to the other nodes when this one starts to take calls. */
  private watchStart(): void {
    const timer = setInterval(() => {
      if (!this.parts.checkStarted()) return;
      clearInterval(timer);
      this.parts.status.run();
      this.parts.peerServer.announceReport();
    }, START_POLL_MS);
  }

  /** Adds a listener that is closed when the sidecar stops. */
  add(server: Server): void {
    this.servers.push(server);
  }

  /** Applies the limits of the active configuration. */
  private updateBounds(): void {
    const limits = this.parts.configuration.read()?.table.limits;
    if (limits) this.parts.clients.applyBounds(limits);
  }

  isReady(): boolean {
    return this.parts.lifecycle.stop === undefined && this.parts.checkStarted();
  }

  /**
   * Becomes unready, answers the open requests and closes. Clients notice only
   * after two readiness checks, so the listeners stay open until then.
   */
  stop(signal: string, startedMs = this.parts.clock.readMs()): Promise<void> {
    this.stopPromise ??= this.runStop(signal, startedMs);
    return this.stopPromise;
  }

  private async runStop(signal: string, startedMs: number): Promise<void> {
    const {parts} = this;
    const {graceMs} = parts.settings;
    const handledMs = parts.clock.readMs();
    const schedule = new StopSchedule(startedMs, graceMs, handledMs);
    parts.lifecycle.stop = schedule;
    parts.record(EventCode.NODE_LEAVING, {cause: signal});
    parts.peerServer.announceReport();
    parts.leavings.startHandover();
    await this.takeRequests(schedule);
    await parts.clients.stopAccepting();
    const leftMs = Math.max(0, schedule.answerMs - parts.clock.readMs());
    // From here on the address refuses connections, so the next owner lends.
    parts.allotments.retire();
    const closingLinks = parts.peerServer.close(leftMs);
    await this.finishRequests(schedule);
    await this.endConnections(schedule);
    await closingLinks;
    parts.clients.closeAll();
    await parts.leavings.finishHandover(schedule.exitMs);
    // Let the closed sockets log their events first.
    await wait(0);
    clearInterval(this.rowRemovalTimer);
    clearInterval(this.loopTimer);
    parts.fleet.stop();
    for (const follower of parts.followers) follower.stop();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    parts.peers.stop();
    parts.allotments.stop();
    parts.upstream.stop();
    parts.crashes.stop();
    parts.configuration.stop();
    const waitedMs = Math.round(parts.clock.readMs() - startedMs);
    parts.record(EventCode.NODE_STOPPED, {waitedMs});
    parts.log.flush();
  }

  /** Waits until the listener may be closed. */
  private async takeRequests(schedule: StopSchedule): Promise<void> {
    const {clock, upstream} = this.parts;
    while (schedule.isListening(clock.readMs(), upstream.countCalls() > 0)) {
      await wait(STOP_POLL_MS);
    }
  }

  /** Waits until all requests are answered, or the schedule's answer time. */
  private async finishRequests(schedule: StopSchedule): Promise<void> {
    const {clients, clock, upstream} = this.parts;
    while (clock.readMs() < schedule.answerMs) {
      clients.endIdle();
      if (upstream.countCalls() === 0 && clients.countOpen() === 0) return;
      await this.poll(schedule.answerMs);
    }
  }

  /** Answers the requests still open and waits for clients to disconnect. */
  private async endConnections(schedule: StopSchedule): Promise<void> {
    const {clients, clock, origin} = this.parts;
    origin.answerOpenRequests();
    // The last answer of a connection is written by setImmediate. A process
    // that is short of CPU time may have none left to wait for it in the loop.
    await waitForWrites();
    while (clients.countConnections() > 0 && clock.readMs() < schedule.exitMs) {
      clients.endIdle();
      await this.poll(schedule.exitMs);
    }
  }

  /** Waits for the poll interval, but not past the given time. */
  private poll(untilMs: number): Promise<void> {
    const leftMs = untilMs - this.parts.clock.readMs();
    return wait(Math.min(STOP_POLL_MS, Math.max(0, leftMs)));
  }

  private answerReady(response: ServerResponse): void {
    response.writeHead(this.isReady() ? 200 : 503, {'Content-Length': 0});
    response.end();
  }

  private answerMetrics(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    request.resume();
    response.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
    response.end(this.parts.metrics.render());
  }
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
