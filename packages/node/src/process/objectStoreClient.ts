import type {Got} from 'got';
import got, {HTTPError, RequestError} from 'got';
import {PlatformUnavailableError} from 'sycamoreyoke/errors';
import type {ObjectStore} from 'sycamoreyoke/platform';

/** Request timeout; longer than for the table, since objects are larger. */
const OBJECT_TIMEOUT_MS = 10_000;

/**
 * HTTP client of the platform's object store. Every method throws a
 * PlatformUnavailableError when its request fails.
 */
export class ObjectStoreClient implements ObjectStore {
  private readonly http: Got;

  constructor(url: string) {
    this.http = got.extend({
      prefixUrl: url,
      retry: {limit: 0},
      timeout: {request: OBJECT_TIMEOUT_MS},
    });
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    try {
      return await this.http.get(formatPath(name)).buffer();
    } catch (error) {
      if (error instanceof HTTPError && error.response.statusCode === 404) {
        return undefined;
      }
      throw createStoreError(error);
    }
  }

  async write(name: string, content: Uint8Array): Promise<void> {
    try {
      await this.http.put(formatPath(name), {body: Buffer.from(content)});
    } catch (error) {
      throw createStoreError(error);
    }
  }

  async list(prefix: string): Promise<string[]> {
    try {
      const body = await this.http
        .get('v1/objects', {searchParams: {prefix}})
        .json<{names: string[]}>();
      return body.names;
    } catch (error) {
      throw createStoreError(error);
    }
  }
}

function formatPath(name: string): string {
  return `v1/objects/${encodeURIComponent(name)}`;
}

function createStoreError(error: unknown): Error {
  if (!(error instanceof RequestError)) return error as Error;
  const message = `object store request failed: ${error.message}`;
  return new PlatformUnavailableError(message, {cause: error});
}
