/**
 * Takes turns among more items than one message holds.
 *
 * @module
 */

/** See the module. Items are told apart by name; new ones and ones that go don't disturb the order. */
export class RoundRobin {
  #lastName = "";

  /** The next `most` of the items, after those of the turn before; all of them if they are no more. */
  next<T>(
    items: readonly T[],
    max: number,
    nameOf: (item: T) => string,
  ): readonly T[] {
    if (items.length <= max) return items;
    const from = items.findIndex((item) => nameOf(item) === this.#lastName) + 1;
    const batch = [...items.slice(from), ...items.slice(0, from)].slice(0, max);
    this.#lastName = nameOf(batch[max - 1]);
    return batch;
  }
}
