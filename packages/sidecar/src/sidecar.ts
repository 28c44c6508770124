/** The process: opens the listeners, becomes ready, stops without a cut. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setImmediate as waitForWrites} from 'node:timers/promises';
import {EventCode} from 'sycamoreyoke/process/events';
import {StopSchedule} from 'sycamoreyoke/process/stopSchedule';
import {ROW_CHECK_MS, ROW_REMOVAL_MS} from './constants.js';
import {openListener} from './process/httpListeners.js';
import type {SidecarParts} from './wiring.js';

/** Interval at which a starting process looks whether it can take calls, ms. */
const START_POLL_MS = 50;
/** Interval at which a stopping process looks for requests in flight, ms. */
const STOP_POLL_MS = 50;

/** A sidecar that runs. */
export class Sidecar {
  private readonly servers: Server[] = [];
  private keeper: NodeJS.Timeout | undefined;
  private stopping: Promise<void> | undefined;

  constructor(private readonly parts: SidecarParts) {}

  /** Opens the listeners and starts to follow the store. */
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
    this.keeper = setInterval(() => {
      const lost = parts.peers.listUnreachable(ROW_REMOVAL_MS);
      if (lost.size > 0) void parts.fleet.removeUnreachable(lost);
    }, ROW_CHECK_MS);
    this.watchStart();
    record(EventCode.NODE_STARTED, {
      service: settings.service,
      peerPort: settings.peerPort,
    });
  }

  /** Tells the other nodes once this one takes calls. */
  private watchStart(): void {
    const timer = setInterval(() => {
      if (!this.parts.checkStarted()) return;
      clearInterval(timer);
      this.parts.peerServer.announceReport();
    }, START_POLL_MS);
  }

  /** Adds a listener that ends with the process. */
  add(server: Server): void {
    this.servers.push(server);
  }

  /** Follows the limits of the configuration in force. */
  private updateBounds(): void {
    const limits = this.parts.configuration.read()?.table.limits;
    if (limits) this.parts.clients.applyBounds(limits);
  }

  isReady(): boolean {
    return this.parts.lifecycle.stop === undefined && this.parts.checkStarted();
  }

  /**
   * Stops taking new clients, answers what is in flight, then closes. Clients
   * notice the missing readiness after two checks, so listeners stay open.
   */
  stop(signal: string, startedMs = this.parts.clock.readMs()): Promise<void> {
    this.stopping ??= this.runStop(signal, startedMs);
    return this.stopping;
  }

  private async runStop(signal: string, startedMs: number): Promise<void> {
    const {parts} = this;
    const {graceMs} = parts.settings;
    const handledMs = parts.clock.readMs();
    const schedule = new StopSchedule(startedMs, graceMs, handledMs);
    parts.lifecycle.stop = schedule;
    parts.record(EventCode.NODE_LEAVING, {cause: signal});
    parts.peerServer.announceReport();
    await this.takeRequests(schedule);
    await parts.clients.stopAccepting();
    const leftMs = Math.max(0, schedule.answerMs - parts.clock.readMs());
    const closingLinks = parts.peerServer.close(leftMs);
    await this.finishRequests(schedule);
    await this.endConnections(schedule);
    await closingLinks;
    parts.clients.closeAll();
    // What the closed sockets report belongs into the log.
    await wait(0);
    clearInterval(this.keeper);
    parts.fleet.stop();
    for (const follower of parts.followers) follower.stop();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    parts.peers.stop();
    parts.upstream.stop();
    parts.crashes.stop();
    parts.configuration.stop();
    const waitedMs = Math.round(parts.clock.readMs() - startedMs);
    parts.record(EventCode.NODE_STOPPED, {waitedMs});
    parts.log.flush();
  }

  /** Waits while the listener stays open. */
  private async takeRequests(schedule: StopSchedule): Promise<void> {
    const {clock, upstream} = this.parts;
    while (schedule.isListening(clock.readMs(), upstream.countCalls() > 0)) {
      await wait(STOP_POLL_MS);
    }
  }

  /** Waits until no request runs or waits for its answer. */
  private async finishRequests(schedule: StopSchedule): Promise<void> {
    const {clients, clock, upstream} = this.parts;
    while (clock.readMs() < schedule.answerMs) {
      clients.endIdle();
      if (upstream.countCalls() === 0 && clients.countOpen() === 0) return;
      await this.poll(schedule.answerMs);
    }
  }

  /** Answers what still runs, and waits until clients have closed. */
  private async endConnections(schedule: StopSchedule): Promise<void> {
    const {clients, clock, origin} = this.parts;
    origin.answerOpen();
    // The last answer of a connection is written in this turn, but later; a
    // process that is starved may have no time left to wait in the loop.
    await waitForWrites();
    while (clients.countConnections() > 0 && clock.readMs() < schedule.exitMs) {
      clients.endIdle();
      await this.poll(schedule.exitMs);
    }
  }

  /** Waits, but not past a point in time that has to be kept. */
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
