import {Importance} from 'sycamoreyoke/types';
import type {CallTree, Deployment} from './types.js';

function createCall(
  service: string,
  processingMs: number,
  ...childCalls: CallTree[]
): CallTree {
  return {service, processingMs, childCalls};
}

/**
 * The Suelas deployment: booking-and-donations calls tracking, which calls
 * photos and pattern-library; pattern-library calls photos.
 */
export const SUELAS: Deployment = {
  name: 'Suelas',
  dataCentres: ['oviedo', 'santander', 'gijon', 'torrelavega'],
  dataCentreLatencyMs: 0.5,
  callerLatencyMs: 8,
  slowService: 'photos',
  services: [
    {name: 'tracking', upstreams: 5, slots: 35},
    {name: 'booking-and-donations', upstreams: 4, slots: 45},
    {name: 'pattern-library', upstreams: 4, slots: 45},
    {name: 'photos', upstreams: 4, slots: 15},
  ],
  kinds: [
    {
      name: 'book-resole',
      importance: Importance.CRITICAL,
      ratePerSecond: 250,
      timeoutMs: 2_000,
      rootCall: createCall(
        'booking-and-donations',
        80,
        createCall('tracking', 30, createCall('photos', 20)),
      ),
    },
    {
      name: 'charge-donation',
      importance: Importance.CRITICAL,
      ratePerSecond: 300,
      timeoutMs: 2_000,
      rootCall: createCall('booking-and-donations', 60),
    },
    {
      name: 'track-parcel',
      importance: Importance.HIGH,
      ratePerSecond: 500,
      timeoutMs: 1_000,
      rootCall: createCall(
        'tracking',
        60,
        createCall('photos', 20),
        createCall('pattern-library', 20),
      ),
    },
    {
      name: 'fetch-pattern',
      importance: Importance.NORMAL,
      ratePerSecond: 400,
      timeoutMs: 1_000,
      rootCall: createCall('pattern-library', 100, createCall('photos', 20)),
    },
    {
      name: 'list-patterns',
      importance: Importance.NORMAL,
      ratePerSecond: 500,
      timeoutMs: 1_000,
      rootCall: createCall('pattern-library', 100),
    },
    {
      name: 'browse-photos',
      importance: Importance.LOW,
      ratePerSecond: 300,
      timeoutMs: 1_000,
      rootCall: createCall('photos', 20),
    },
  ],
};

/**
 * The Thekkady deployment: bookings calls checklist and fitting, and both call
 * albums.
 */
export const THEKKADY: Deployment = {
  name: 'Thekkady',
  dataCentres: ['kochi-a', 'tvm-a', 'kochi-b'],
  dataCentreLatencyMs: 1,
  callerLatencyMs: 1,
  slowService: 'fitting',
  services: [
    {name: 'checklist', upstreams: 3, slots: 90},
    {name: 'bookings', upstreams: 3, slots: 90},
    {name: 'albums', upstreams: 3, slots: 90},
    {name: 'fitting', upstreams: 3, slots: 30},
  ],
  kinds: [
    {
      name: 'book-van',
      importance: Importance.CRITICAL,
      ratePerSecond: 300,
      timeoutMs: 2_000,
      rootCall: createCall(
        'bookings',
        120,
        createCall('checklist', 40),
        createCall('fitting', 30, createCall('albums', 20)),
      ),
    },
    {
      name: 'fetch-album',
      importance: Importance.HIGH,
      ratePerSecond: 600,
      timeoutMs: 1_500,
      rootCall: createCall('albums', 120),
    },
    {
      name: 'fit-plan',
      importance: Importance.NORMAL,
      ratePerSecond: 500,
      timeoutMs: 2_000,
      rootCall: createCall('fitting', 50, createCall('albums', 40)),
    },
    {
      name: 'view-checklist',
      importance: Importance.NORMAL,
      ratePerSecond: 800,
      timeoutMs: 1_500,
      rootCall: createCall('checklist', 100, createCall('albums', 20)),
    },
    {
      name: 'browse-checklists',
      importance: Importance.LOW,
      ratePerSecond: 500,
      timeoutMs: 1_500,
      rootCall: createCall('checklist', 60),
    },
  ],
};

export const DEPLOYMENTS: readonly Deployment[] = [SUELAS, THEKKADY];
