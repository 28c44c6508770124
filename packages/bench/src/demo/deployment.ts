/** A small version of the Suelas deployment for the demo. */
import {createHash} from 'node:crypto';
import {RepeatGuard} from 'sycamoreyoke/types';
import type {
  ConfigurationObject,
  RequestClassObject,
} from 'sycamoreyoke/version/types';
import {ImportanceName, Lean, ObjectKind} from 'sycamoreyoke/version/types';
import type {DemoClass, DemoService} from './types.js';

/** Services, with two upstreams each in different data centres. */
export const SERVICES: readonly DemoService[] = [
  {
    name: 'tracking',
    dataCentres: ['oviedo', 'santander'],
    slots: 14,
    connections: 300,
    serviceTimeMs: 10,
    calls: 'read-status>fetch-photo',
  },
  {
    name: 'booking-and-donations',
    dataCentres: ['gijon', 'torrelavega'],
    slots: 18,
    connections: 350,
    serviceTimeMs: 15,
    calls: 'book-resole>read-status',
  },
  {
    name: 'pattern-library',
    dataCentres: ['oviedo', 'gijon'],
    slots: 18,
    connections: 350,
    serviceTimeMs: 15,
    calls: '',
  },
  {
    name: 'photos',
    dataCentres: ['santander', 'torrelavega'],
    slots: 6,
    connections: 200,
    serviceTimeMs: 12,
    calls: '',
  },
];

/** Retry limit for one request of any class. */
const RETRIES = 2;
const RETRY_LIMIT = 'two-retries';
const POLICY = 'recover-first';

type ClassSettings = Pick<
  RequestClassObject,
  'name' | 'service' | 'importance' | 'timeoutMs'
> & {readonly guard?: RepeatGuard};

const CLASSES: readonly ClassSettings[] = [
  {
    name: 'book-resole',
    service: 'booking-and-donations',
    importance: ImportanceName.CRITICAL,
    timeoutMs: 5_000,
    guard: RepeatGuard.PIN,
  },
  {
    name: 'donate',
    service: 'booking-and-donations',
    importance: ImportanceName.CRITICAL,
    timeoutMs: 5_000,
    guard: RepeatGuard.CLAIM,
  },
  {
    name: 'fetch-pattern',
    service: 'pattern-library',
    importance: ImportanceName.HIGH,
    timeoutMs: 2_000,
  },
  {
    name: 'fetch-photo',
    service: 'photos',
    importance: ImportanceName.NORMAL,
    timeoutMs: 2_000,
  },
  {
    name: 'read-status',
    service: 'tracking',
    importance: ImportanceName.NORMAL,
    timeoutMs: 1_000,
  },
  {
    name: 'refresh-status',
    service: 'tracking',
    importance: ImportanceName.LOW,
    timeoutMs: 1_000,
  },
];

/** Callers of the demo, each with its own token. */
export enum DemoCaller {
  /** Sends plain HTTP and resends failed requests at once. */
  SITE = 'site',
  /** Uses the caller library. */
  DESK = 'desk',
}

/** Builds the token of a demo caller. */
export function buildToken(caller: DemoCaller): string {
  return `demo-token-of-${caller}`;
}

function isGuarded({guard}: ClassSettings): boolean {
  return guard !== undefined;
}

/** Lists the properties of the request classes that the checks use. */
export function listClasses(): DemoClass[] {
  return CLASSES.map((settings) => ({
    name: settings.name,
    isIdempotent: !isGuarded(settings),
    isCritical: settings.importance === ImportanceName.CRITICAL,
    retries: RETRIES,
  }));
}

/** Maps each request class to its service. */
export function listServiceOfClass(): Record<string, string> {
  return Object.fromEntries(CLASSES.map(({name, service}) => [name, service]));
}

/** Builds the complete set of configuration objects. */
export function buildObjects(): ConfigurationObject[] {
  return [
    {
      kind: ObjectKind.POLICY,
      name: POLICY,
      lean: Lean.RECOVERY,
      queueLimit: 100,
    },
    {
      kind: ObjectKind.RETRY_LIMIT,
      name: RETRY_LIMIT,
      perRequest: RETRIES,
      shareOfTraffic: 0.1,
      backoffBaseMs: 20,
      backoffMaxMs: 200,
    },
    ...SERVICES.map(
      ({name}) => ({kind: ObjectKind.SERVICE, name, policy: POLICY}) as const,
    ),
    ...CLASSES.map(
      (settings) =>
        ({
          ...settings,
          kind: ObjectKind.REQUEST_CLASS,
          idempotent: !isGuarded(settings),
          guard: settings.guard ?? RepeatGuard.NONE,
          retryLimit: RETRY_LIMIT,
        }) as const,
    ),
    ...Object.values(DemoCaller).map(
      (caller) =>
        ({
          kind: ObjectKind.CALLER,
          name: caller,
          tokenSha256: hashToken(buildToken(caller)),
          classes: CLASSES.map(({name}) => name),
          trusted: caller === DemoCaller.DESK,
        }) as const,
    ),
  ];
}

function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}
