/** What the caller knows of classes and members, read from the nodes. */
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
/** An entry is read again at this age; the epoch of a pin lasts 60 s. */
const REFRESH_MS = 1_000;
/** An older entry is read again before it is used: its pins may be expired. */
const MAX_AGE_MS = 20_000;
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

/** What is known of a request class. */
export type ClassEntry = Omit<z.output<typeof entrySchema>, 'members'>;

interface CachedEntry {
  readonly entry: ClassEntry;
  readonly readMs: number;
}

/** Caches the directory and keeps the router up to date. */
export class Directory {
  private readonly cache = new Map<string, CachedEntry>();
  private readonly pending = new Map<string, Promise<ClassEntry>>();

  constructor(
    private readonly options: CallerOptions,
    private readonly dispatcher: Dispatcher,
    private readonly router: Router,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** The entry of a class; read from a node when it is not known. */
  async find(requestClass: string): Promise<ClassEntry> {
    const cached = this.cache.get(requestClass);
    if (!cached) return this.refresh(requestClass);
    const ageMs = this.clock.readMs() - cached.readMs;
    if (ageMs >= MAX_AGE_MS) return this.refresh(requestClass);
    const isOld = ageMs >= REFRESH_MS;
    // An old entry still serves: a node that is gone is found out by the call.
    if (isOld) void this.refresh(requestClass).catch(() => undefined);
    return cached.entry;
  }

  /** Reads the entry again, at most once at a time. */
  refresh(requestClass: string): Promise<ClassEntry> {
    const known = this.pending.get(requestClass);
    if (known) return known;
    const reading = this.read(requestClass).finally(() =>
      this.pending.delete(requestClass),
    );
    this.pending.set(requestClass, reading);
    return reading;
  }

  private async read(requestClass: string): Promise<ClassEntry> {
    let cause: unknown;
    const failed = new Set<string>();
    for (let attempt = 0; attempt < READ_ATTEMPTS; attempt += 1) {
      const origin = this.chooseOrigin(requestClass, failed);
      try {
        return await this.readFrom(origin, requestClass);
      } catch (error) {
        cause = error;
        failed.add(origin);
      }
    }
    throw new SycamoreyokeError(
      `directory entry of class "${requestClass}" cannot be read`,
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
        `${origin} answered the directory look-up with ${response.statusCode}: ${text}`,
      );
    }
    const {members, ...entry} = entrySchema.parse(JSON.parse(text));
    if (members.length > 0) {
      this.router.update(entry.service, members as unknown as Member[]);
    }
    this.cache.set(requestClass, {entry, readMs: this.clock.readMs()});
    return entry;
  }

  /**
   * A known member of the service or one of the entries; one that failed only
   * when there is no other.
   */
  private chooseOrigin(
    requestClass: string,
    failed: ReadonlySet<string>,
  ): string {
    const service = this.cache.get(requestClass)?.entry.service;
    const members = service === undefined ? [] : this.router.list(service);
    const known = members.map(
      ({address, publicPort}) => `http://${address}:${publicPort}`,
    );
    const all = [...known, ...this.options.entries].map(
      (url) => new URL(url).origin,
    );
    const untried = all.filter((origin) => !failed.has(origin));
    const origins = untried.length > 0 ? untried : all;
    const origin = origins[takeInteger(this.random, origins.length)];
    if (origin === undefined) throw new SycamoreyokeError('no entry is given');
    return origin;
  }
}
