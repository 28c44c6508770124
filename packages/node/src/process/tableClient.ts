import type {Got} from 'got';
import got, {HTTPError, RequestError} from 'got';
import {PlatformUnavailableError} from 'sycamoreyoke/errors';
import type {
  TableRow,
  TableService,
  TableTransaction,
  TransactionResult,
} from 'sycamoreyoke/platform';

/** Longest wait for an answer of the platform. */
const PLATFORM_TIMEOUT_MS = 2_000;

/** Client of the platform's table service. */
export class TableClient implements TableService {
  private readonly http: Got;

  constructor(url: string) {
    this.http = got.extend({
      prefixUrl: url,
      retry: {limit: 0},
      timeout: {request: PLATFORM_TIMEOUT_MS},
    });
  }

  async read(key: string): Promise<TableRow | undefined> {
    const path = `v1/table/rows/${encodeURIComponent(key)}`;
    try {
      return await this.http.get(path).json<TableRow>();
    } catch (error) {
      if (error instanceof HTTPError && error.response.statusCode === 404) {
        return undefined;
      }
      throw createPlatformError(error);
    }
  }

  async list(prefix: string, after: string, limit: number) {
    const searchParams = {prefix, after, limit};
    try {
      const body = await this.http
        .get('v1/table/rows', {searchParams})
        .json<{rows: TableRow[]}>();
      return body.rows;
    } catch (error) {
      throw createPlatformError(error);
    }
  }

  async run(transaction: TableTransaction): Promise<TransactionResult> {
    try {
      return await this.http
        .post('v1/table/transactions', {json: transaction})
        .json<TransactionResult>();
    } catch (error) {
      throw createPlatformError(error);
    }
  }
}

function createPlatformError(error: unknown): Error {
  if (!(error instanceof RequestError)) return error as Error;
  const message = `platform request failed: ${error.message}`;
  return new PlatformUnavailableError(message, {cause: error});
}
