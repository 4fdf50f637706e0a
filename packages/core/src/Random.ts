/**
 * Seeded random numbers (xoroshiro128+ of the `pure-rand` library), so that every random decision
 * can be replayed from a printed seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number in [0, 1). */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** An integer between `min` and `max`, both inclusive. */
  integer(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /** True with the given probability. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }

  /** A random element of `items`; undefined if it is empty. */
  pick<T>(items: readonly T[]): T | undefined {
    if (items.length === 0) return undefined;
    return items[this.integer(0, items.length - 1)];
  }

  /** A sample of the exponential distribution with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** A shuffled copy (Fisher-Yates shuffle). */
  shuffle<T>(items: readonly T[]): T[] {
    const copy = [...items];
    for (let last = copy.length - 1; last > 0; last -= 1) {
      const other = this.integer(0, last);
      [copy[last], copy[other]] = [copy[other] as T, copy[last] as T];
    }
    return copy;
  }
}
