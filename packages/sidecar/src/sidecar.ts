/** The process: opens the listeners, becomes ready, stops without a cut. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {EventCode} from 'sycamoreyoke/process/events';
import {
  ROW_CHECK_MS,
  ROW_REMOVAL_MS,
  STOP_ANSWER_MS,
  STOP_LINGER_MS,
  STOP_MARGIN_MS,
} from './constants.js';
import {applyBounds, openListener} from './process/httpListeners.js';
import type {SidecarParts} from './wiring.js';

/** Interval at which a starting process looks whether it can take calls, ms. */
const START_POLL_MS = 50;
/** Interval at which a stopping process looks for requests in flight, ms. */
const STOP_POLL_MS = 50;

/** A sidecar that runs. */
export class Sidecar {
  private readonly servers: Server[] = [];
  private outbound: Server | undefined;
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
    this.outbound = await openListener(settings.outbound, (request, response) =>
      parts.origin.handle(request, response),
    );
    this.servers.push(this.outbound);
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
    if (limits && this.outbound) applyBounds(this.outbound, limits);
  }

  isReady(): boolean {
    return !this.parts.lifecycle.isStopping && this.parts.checkStarted();
  }

  /**
   * Stops taking new clients, answers what is in flight, then closes. Clients
   * notice the missing readiness after two checks, so listeners stay open.
   */
  stop(signal: string): Promise<void> {
    this.stopping ??= this.runStop(signal);
    return this.stopping;
  }

  private async runStop(signal: string): Promise<void> {
    const {parts} = this;
    parts.lifecycle.isStopping = true;
    parts.record(EventCode.NODE_LEAVING, {cause: signal});
    const startedMs = parts.clock.readMs();
    const endMs = startedMs + parts.settings.graceMs - STOP_MARGIN_MS;
    parts.peerServer.announceReport();
    while (this.needsLinger(startedMs, endMs)) await wait(STOP_POLL_MS);
    // A connection with a request on it stays open until it is answered.
    for (const server of this.servers) server.close();
    const leftMs = Math.max(0, endMs - parts.clock.readMs());
    const closingLinks = parts.peerServer.close(leftMs);
    while (this.hasWork() && parts.clock.readMs() < endMs) {
      await wait(STOP_POLL_MS);
      for (const server of this.servers) server.closeIdleConnections();
    }
    clearInterval(this.keeper);
    parts.fleet.stop();
    for (const follower of parts.followers) follower.stop();
    for (const server of this.servers) server.closeAllConnections();
    parts.peers.stop();
    await closingLinks;
    parts.upstream.stop();
    parts.configuration.stop();
    const waitedMs = Math.round(parts.clock.readMs() - startedMs);
    parts.record(EventCode.NODE_STOPPED, {waitedMs});
    parts.log.flush();
  }

  /**
   * Requests that still run on the upstream make calls, so the listener stays
   * for them, but leaves time for the requests that it has taken.
   */
  private needsLinger(startedMs: number, endMs: number): boolean {
    const nowMs = this.parts.clock.readMs();
    if (nowMs < startedMs + STOP_LINGER_MS) return true;
    const hasCalls = this.parts.upstream.countCalls() > 0;
    return hasCalls && nowMs < endMs - STOP_ANSWER_MS;
  }

  private hasWork(): boolean {
    const {origin, upstream} = this.parts;
    return origin.countRunning() > 0 || upstream.countCalls() > 0;
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
