/** Settings of the upstream stand-in. */
import {z} from 'zod';

/** Behaviour that may be switched while the stand-in runs. */
export const behaviourSchema = z.strictObject({
  /** Requests that run at once; more are shed with a 503. */
  slots: z.coerce.number().int().min(1).max(10_000).default(50),
  serviceTimeMs: z.coerce.number().min(0).max(60_000).default(5),
  /** Service time while cold, as a multiple. */
  coldFactor: z.coerce.number().min(1).max(100).default(3),
  coldMs: z.coerce.number().int().min(0).max(600_000).default(2_000),
  /** Bytes of payload in a response. */
  payloadBytes: z.coerce.number().int().min(0).max(4_000_000).default(200),
  /** The load endpoint reports the load of this long ago. */
  loadLagMs: z.coerce.number().int().min(0).max(600_000).default(5_000),
  /** Exit when a request carries the header x-stand-in-crash. */
  crashOnMark: z.stringbool().or(z.boolean()).default(true),
});

export type Behaviour = z.output<typeof behaviourSchema>;

/** A call that the upstream makes for each request that it runs. */
export interface CallBelow {
  readonly onClass: string;
  readonly requestClass: string;
}

/** Everything that an upstream stand-in is started with. */
export interface UpstreamOptions {
  readonly name: string;
  readonly connections: number;
  /** URL of the local port of the node beside it. */
  readonly egress?: string;
  readonly callsBelow: readonly CallBelow[];
  readonly behaviour: Behaviour;
}

/** Parses "booking>status,booking>photo" into calls. */
export function parseCallsBelow(text: string): CallBelow[] {
  return text
    .split(',')
    .filter((part) => part !== '')
    .map((part) => {
      const [onClass = '', requestClass = ''] = part.split('>');
      return {onClass, requestClass};
    });
}
