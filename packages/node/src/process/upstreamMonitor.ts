/** Checks whether the upstream beside the node accepts TCP connections. */
import {connect} from 'node:net';

const PROBE_INTERVAL_MS = 200;
const PROBE_TIMEOUT_MS = 1_000;

/** Called when the upstream stops or starts to accept connections. */
export type UpstreamListener = (isUp: boolean) => void;

/** Probes the upstream on demand, and periodically while it is down. */
export class UpstreamMonitor {
  private isUp = true;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly url: URL,
    private readonly listener: UpstreamListener,
  ) {}

  /** Probes the upstream now; resolves with true when it is up. */
  async check(): Promise<boolean> {
    const isUp = await this.probe();
    if (isUp !== this.isUp) {
      this.isUp = isUp;
      this.listener(isUp);
    }
    if (!isUp) this.schedule();
    return isUp;
  }

  read(): boolean {
    return this.isUp;
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /** Schedules the next probe of an upstream that is down. */
  private schedule(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.check(), PROBE_INTERVAL_MS);
  }

  private probe(): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect(Number(this.url.port), this.url.hostname);
      const finish = (isUp: boolean) => {
        socket.destroy();
        resolve(isUp);
      };
      socket.setTimeout(PROBE_TIMEOUT_MS, () => finish(false));
      socket.once('connect', () => finish(true));
      socket.once('error', () => finish(false));
    });
  }
}
