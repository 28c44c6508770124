/** Settings of the upstream stand-in. */
import {z} from 'zod';

/** Behaviour that can be changed while the stand-in runs. */
export const behaviourSchema = z.strictObject({
  /** Maximum of concurrent requests; others are refused with status 503. */
  slots: z.coerce.number().int().min(1).max(10_000).default(50),
  serviceTimeMs: z.coerce.number().min(0).max(60_000).default(5),
  /** Factor by which requests take longer during the first `coldMs`. */
  coldFactor: z.coerce.number().min(1).max(100).default(3),
  coldMs: z.coerce.number().int().min(0).max(600_000).default(2_000),
  /** Size of the payload of a response, in bytes. */
  payloadBytes: z.coerce.number().int().min(0).max(4_000_000).default(200),
  /** Age of the load that the load endpoint reports. */
  loadLagMs: z.coerce.number().int().min(0).max(600_000).default(5_000),
  /** Exit the process on a request with the header x-stand-in-crash. */
  crashOnMark: z.stringbool().or(z.boolean()).default(true),
});

export type Behaviour = z.output<typeof behaviourSchema>;

/** A call that the upstream makes for each request of a class. */
export interface OutgoingCall {
  /** Class of the requests that cause the call. */
  readonly servedClass: string;
  /** Class of the call. */
  readonly requestClass: string;
}

/** Options of an upstream stand-in. */
export interface UpstreamOptions {
  readonly name: string;
  /** Maximum of concurrent connections. */
  readonly connections: number;
  /** URL of the local port of the upstream's node; without it, no calls. */
  readonly egress?: string;
  readonly callsBelow: readonly OutgoingCall[];
  readonly behaviour: Behaviour;
}

/** Parses text such as "booking>status,booking>photo". */
export function parseOutgoingCalls(text: string): OutgoingCall[] {
  return text
    .split(',')
    .filter((part) => part !== '')
    .map((part) => {
      const [servedClass = '', requestClass = ''] = part.split('>');
      return {servedClass, requestClass};
    });
}
