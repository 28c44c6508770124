import type {Got} from 'got';
import got, {HTTPError, RequestError} from 'got';
import {PlatformUnavailableError} from 'sycamoreyoke/errors';
import type {
  TableRow,
  TableService,
  TableTransaction,
  TransactionResult,
} from 'sycamoreyoke/platform';

/** Request timeout. */
const PLATFORM_TIMEOUT_MS = 2_000;

/** Called when the table service becomes unavailable or available again. */
export type AvailabilityListener = (isUp: boolean, message: string) => void;

/**
 * HTTP client of the platform's table service. Every method throws a
 * PlatformUnavailableError when its request fails.
 */
export class TableClient implements TableService {
  private readonly http: Got;

  private isUp = true;

  constructor(
    url: string,
    private readonly reportAvailability: AvailabilityListener = () => undefined,
  ) {
    this.http = got.extend({
      prefixUrl: url,
      retry: {limit: 0},
      timeout: {request: PLATFORM_TIMEOUT_MS},
    });
  }

  async read(key: string): Promise<TableRow | undefined> {
    const path = `v1/table/rows/${encodeURIComponent(key)}`;
    try {
      return await this.sendRequest(() => this.http.get(path).json<TableRow>());
    } catch (error) {
      if (isNotFound(error)) return undefined;
      throw createPlatformError(error);
    }
  }

  async list(prefix: string, after: string, limit: number) {
    const searchParams = {prefix, after, limit};
    try {
      const body = await this.sendRequest(() =>
        this.http
          .get('v1/table/rows', {searchParams})
          .json<{rows: TableRow[]}>(),
      );
      return body.rows;
    } catch (error) {
      throw createPlatformError(error);
    }
  }

  async run(transaction: TableTransaction): Promise<TransactionResult> {
    try {
      return await this.sendRequest(() =>
        this.http
          .post('v1/table/transactions', {json: transaction})
          .json<TransactionResult>(),
      );
    } catch (error) {
      throw createPlatformError(error);
    }
  }

  private async sendRequest<T>(send: () => Promise<T>): Promise<T> {
    try {
      const result = await send();
      this.setAvailability(true, '');
      return result;
    } catch (error) {
      this.setAvailability(isNotFound(error), (error as Error).message);
      throw error;
    }
  }

  private setAvailability(isUp: boolean, message: string): void {
    if (isUp === this.isUp) return;
    this.isUp = isUp;
    this.reportAvailability(isUp, message);
  }
}

function isNotFound(error: unknown): boolean {
  return error instanceof HTTPError && error.response.statusCode === 404;
}

function createPlatformError(error: unknown): Error {
  if (!(error instanceof RequestError)) return error as Error;
  const message = `table service request failed: ${error.message}`;
  return new PlatformUnavailableError(message, {cause: error});
}
