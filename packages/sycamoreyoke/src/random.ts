import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns uniformly distributed random numbers in [0, 1). */
export type Random = () => number;

/** Creates a random source that is reproducible from its seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Returns a uniformly distributed integer in [0, limit). */
export function takeInteger(random: Random, limit: number): number {
  return Math.floor(random() * limit);
}

/**
 * Returns `count` consecutive items, starting at a random position and wrapping
 * around, so that each item is equally likely. Returns all items if there are
 * no more than `count`.
 */
export function sampleEvenly<T>(
  random: Random,
  items: readonly T[],
  count: number,
): readonly T[] {
  if (items.length <= count) return items;
  const startIndex = takeInteger(random, items.length);
  return [...items, ...items].slice(startIndex, startIndex + count);
}
