import type {TableService} from 'sycamoreyoke/platform';
import type {CompiledConfiguration} from 'sycamoreyoke/version/compile';
import {compileConfiguration} from 'sycamoreyoke/version/compile';
import type {Configuration} from 'sycamoreyoke/version/types';

/** Row that holds the version in force. */
export const HEAD_KEY = 'configuration/head';
const POLL_MS = 1_000;

const EMPTY: CompiledConfiguration = compileConfiguration({
  version: 0,
  objects: [],
});

/** Owns the configuration in force. */
export class ConfigurationTask {
  private current = EMPTY;
  private timer?: NodeJS.Timeout;

  constructor(private readonly table: TableService) {}

  async start(): Promise<void> {
    await this.pull();
    this.timer = setInterval(() => void this.pull(), POLL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  get(): CompiledConfiguration {
    return this.current;
  }

  private async pull(): Promise<void> {
    const row = await this.table.read(HEAD_KEY).catch(() => undefined);
    if (!row) return;
    const configuration = JSON.parse(row.value) as Configuration;
    if (configuration.version > this.current.version) {
      this.current = compileConfiguration(configuration);
    }
  }
}
