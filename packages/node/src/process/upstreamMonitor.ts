/** Watches whether the upstream beside the node accepts connections. */
import {connect} from 'node:net';

const PROBE_INTERVAL_MS = 200;
const PROBE_TIMEOUT_MS = 1_000;

/** Called when the upstream is gone or back. */
export type UpstreamListener = (isUp: boolean) => void;

/** Owns the probes of the upstream. */
export class UpstreamMonitor {
  private isUp = true;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly url: URL,
    private readonly listener: UpstreamListener,
  ) {}

  /** Checks at once; resolves with the result. */
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

  /** Probes again until the upstream is back. */
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
