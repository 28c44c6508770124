/** Settings of request classes and lists of members, read from the nodes. */
import {SycamoreyokeError} from 'sycamoreyoke/errors';
import type {Clock} from 'sycamoreyoke/clock';
import type {Member, Router} from 'sycamoreyoke/process/types';
import type {Random} from 'sycamoreyoke/random';
import {takeInteger} from 'sycamoreyoke/random';
import {RepeatGuard} from 'sycamoreyoke/types';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {CallerOptions} from '../types.js';

const DIRECTORY_PATH = '/.well-known/sycamoreyoke/directory';
/**
 * Age at which an entry is refreshed in the background. The epoch that a pin
 * names lasts 60 s.
 */
const REFRESH_AGE_MS = 1_000;
/** Entries of this age are not used: the epochs in them may have expired. */
const MAX_ENTRY_AGE_MS = 20_000;
const READ_TIMEOUT_MS = 1_000;
const READ_ATTEMPTS = 3;

const entrySchema = z.object({
  service: z.string(),
  idempotent: z.boolean(),
  guard: z.enum(RepeatGuard),
  timeoutMs: z.number(),
  retries: z.number(),
  backoffBaseMs: z.number(),
  backoffMaxMs: z.number(),
  members: z.array(
    z.looseObject({
      incarnation: z.string(),
      address: z.string(),
      publicPort: z.number(),
      epoch: z.number(),
    }),
  ),
});

/** Service, timeout and retry settings of a request class. */
export type ClassEntry = Omit<z.output<typeof entrySchema>, 'members'>;

interface CachedEntry {
  readonly entry: ClassEntry;
  /** Time of the read on the caller's clock, in milliseconds. */
  readonly readAtMs: number;
}

/** Caches directory entries and updates the router with their members. */
export class Directory {
  private readonly cachedEntries = new Map<string, CachedEntry>();
  private readonly pendingReads = new Map<string, Promise<ClassEntry>>();

  constructor(
    private readonly options: CallerOptions,
    private readonly dispatcher: Dispatcher,
    private readonly router: Router,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Returns the entry of a class, from the cache or from a node. Rejects with a
   * `SycamoreyokeError` when it has to be read and cannot be.
   */
  async find(requestClass: string): Promise<ClassEntry> {
    const cachedEntry = this.cachedEntries.get(requestClass);
    if (!cachedEntry) return this.refresh(requestClass);
    const ageMs = this.clock.readMs() - cachedEntry.readAtMs;
    if (ageMs >= MAX_ENTRY_AGE_MS) return this.refresh(requestClass);
    const isStale = ageMs >= REFRESH_AGE_MS;
    // A stale entry is still usable: if a member is gone, the call fails over.
    if (isStale) void this.refresh(requestClass).catch(() => undefined);
    return cachedEntry.entry;
  }

  /** Reads the entry from a node; concurrent calls share one read. */
  refresh(requestClass: string): Promise<ClassEntry> {
    const pendingRead = this.pendingReads.get(requestClass);
    if (pendingRead) return pendingRead;
    const newRead = this.read(requestClass).finally(() =>
      this.pendingReads.delete(requestClass),
    );
    this.pendingReads.set(requestClass, newRead);
    return newRead;
  }

  private async read(requestClass: string): Promise<ClassEntry> {
    let cause: unknown;
    const failedOrigins = new Set<string>();
    for (let attempt = 0; attempt < READ_ATTEMPTS; attempt += 1) {
      const origin = this.chooseOrigin(requestClass, failedOrigins);
      try {
        return await this.readFrom(origin, requestClass);
      } catch (error) {
        cause = error;
        failedOrigins.add(origin);
      }
    }
    throw new SycamoreyokeError(
      `cannot read the directory entry of class "${requestClass}"`,
      {cause},
    );
  }

  private async readFrom(
    origin: string,
    requestClass: string,
  ): Promise<ClassEntry> {
    const response = await this.dispatcher.request({
      origin,
      path: DIRECTORY_PATH,
      method: 'GET',
      headers: {
        'sycamoreyoke-class': requestClass,
        'sycamoreyoke-caller': this.options.caller,
        authorization: `Bearer ${this.options.token}`,
      },
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new SycamoreyokeError(
        `${origin} answered the directory request with status ${response.statusCode}: ${text}`,
      );
    }
    const {members, ...entry} = entrySchema.parse(JSON.parse(text));
    if (members.length > 0) {
      this.router.update(entry.service, members as unknown as Member[]);
    }
    this.cachedEntries.set(requestClass, {
      entry,
      readAtMs: this.clock.readMs(),
    });
    return entry;
  }

  /**
   * Chooses a known member of the service or one of the configured nodes at
   * random. Origins that failed are chosen only when there is no other.
   */
  private chooseOrigin(
    requestClass: string,
    failedOrigins: ReadonlySet<string>,
  ): string {
    const service = this.cachedEntries.get(requestClass)?.entry.service;
    const members = service === undefined ? [] : this.router.list(service);
    const memberUrls = members.map(
      ({address, publicPort}) => `http://${address}:${publicPort}`,
    );
    const allOrigins = [...memberUrls, ...this.options.entries].map(
      (url) => new URL(url).origin,
    );
    const untriedOrigins = allOrigins.filter(
      (origin) => !failedOrigins.has(origin),
    );
    const origins = untriedOrigins.length > 0 ? untriedOrigins : allOrigins;
    const origin = origins[takeInteger(this.random, origins.length)];
    if (origin === undefined)
      throw new SycamoreyokeError(
        'no node URL in the "entries" of the caller options',
      );
    return origin;
  }
}
