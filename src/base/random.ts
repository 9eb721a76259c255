/**
 * Seeded random numbers by `pure-rand`, for decisions, tests and benchmarks. They depend on no global state.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A stream of random numbers; the same seed gives the same stream. */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed | 0);
  }
  /** A number in [0, 1). */
  next(): number {
    return (this.#generator.next() >>> 0) / 0x1_0000_0000;
  }
  /** An integer in [0, `below`). */
  int(below: number): number {
    return Math.floor(this.next() * below);
  }
  /** A draw from the exponential distribution with this mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }
  /** Up to `max` of the items, in random order. */
  sample<T>(items: readonly T[], max: number): T[] {
    const rest = [...items];
    const sample: T[] = [];
    while (rest.length > 0 && sample.length < max) {
      sample.push(rest.splice(this.int(rest.length), 1)[0]);
    }
    return sample;
  }
  /** One of the items, chosen at random. */
  pick<T>(items: readonly T[]): T {
    return items[this.int(items.length)];
  }
}
