/**
 * Round-robin selection among more items than one message holds.
 *
 * @module
 */

/** Selects items in turn. It identifies them by name, so added and removed items don't disturb the order. */
export class RoundRobin {
  #lastName = "";

  /** The next `max` items after those of the previous call; all items if there are no more than `max`. */
  next<T>(
    items: readonly T[],
    max: number,
    nameOf: (item: T) => string,
  ): readonly T[] {
    if (items.length <= max) return items;
    if (max === 0) return [];
    const from = items.findIndex((item) => nameOf(item) === this.#lastName) + 1;
    const batch = [...items.slice(from), ...items.slice(0, from)].slice(0, max);
    this.#lastName = nameOf(batch[max - 1]);
    return batch;
  }
}
