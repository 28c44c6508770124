import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of numbers in [0, 1). */
export type Random = () => number;

/** Creates a reproducible random source. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** A random integer in [0, limit). */
export function takeInteger(random: Random, limit: number): number {
  return Math.floor(random() * limit);
}

/** Consecutive items from a random place on, each as likely as any other. */
export function sampleEvenly<T>(
  random: Random,
  items: readonly T[],
  count: number,
): readonly T[] {
  if (items.length <= count) return items;
  const first = takeInteger(random, items.length);
  return [...items, ...items].slice(first, first + count);
}
