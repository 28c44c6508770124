/** Distributes the requests of a route over its services by weight. */

/** A service that gets a share of the requests of a route. */
export interface WeightedTarget {
  readonly service: string;
  readonly weight: number;
}

/**
 * Smooth weighted round robin: each choice adds to the credit of every target
 * its weight, and subtracts the sum of weights from the chosen one. The shares
 * thus hold over short sequences of requests too.
 */
export class WeightedRotation {
  private readonly credits = new Map<string, number[]>();

  /** Returns the service that gets the next request of the route. */
  choose(
    routeName: string,
    targets: readonly WeightedTarget[],
  ): string | undefined {
    if (targets.length <= 1) return targets[0]?.service;
    const credit = this.readCredit(routeName, targets);
    let total = 0;
    let best = 0;
    targets.forEach(({weight}, index) => {
      total += weight;
      credit[index] = (credit[index] ?? 0) + weight;
      if ((credit[index] ?? 0) > (credit[best] ?? 0)) best = index;
    });
    credit[best] = (credit[best] ?? 0) - total;
    return targets[best]?.service;
  }

  /** Returns the credits; changed weights start with none, to avoid skew. */
  private readCredit(
    routeName: string,
    targets: readonly WeightedTarget[],
  ): number[] {
    const shares = targets.map(({service, weight}) => `${service}=${weight}`);
    const key = `${routeName} ${shares.join(' ')}`;
    const credit = this.credits.get(key) ?? targets.map(() => 0);
    this.credits.set(key, credit);
    return credit;
  }
}
