/** One connection of a client, and the requests on it that have no answer. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {EventRecorder} from 'sycamoreyoke/process/events';
import {EventCode} from 'sycamoreyoke/process/events';
import type {Metrics} from 'sycamoreyoke/process/metrics';

/** What a connection needs of its node. */
export interface ClientConnectionParts {
  readonly record: EventRecorder;
  readonly metrics: Metrics;
  readonly isStopping: () => boolean;
}

/** Tells when a connection ends before all of its answers are written. */
export class ClientConnection {
  private readonly open = new Set<ServerResponse>();
  private accepted = 0;

  constructor(
    private readonly socket: Socket,
    private readonly parts: ClientConnectionParts,
  ) {
    socket.once('close', () => this.reportCut());
  }

  /** Takes note of a request that was read. */
  add(response: ServerResponse): void {
    this.accepted += 1;
    this.open.add(response);
    response.once('finish', () => this.open.delete(response));
  }

  private reportCut(): void {
    if (this.open.size === 0) return;
    const answered = [...this.open].filter(
      ({writableEnded}) => writableEnded,
    ).length;
    const hasClientLeft = this.socket.readableEnded || this.socket.errored;
    const endedBy = hasClientLeft ? 'client' : 'node';
    this.parts.metrics.count('client_requests_cut_total', {endedBy});
    this.parts.record(EventCode.CLIENT_CONNECTION_CUT, {
      endedBy,
      accepted: this.accepted,
      unanswered: this.open.size - answered,
      unwritten: answered,
      isStopping: this.parts.isStopping(),
    });
  }
}
