/**
 * Takes turns among more items than one message holds.
 *
 * @module
 */

/** See the module. Items are told apart by name; new ones and ones that go don't disturb the order. */
export class Turns {
  #last = "";

  /** The next `most` of the items, after those of the turn before; all of them if they are no more. */
  next<T>(
    items: readonly T[],
    most: number,
    nameOf: (item: T) => string,
  ): readonly T[] {
    if (items.length <= most) return items;
    const from = items.findIndex((item) => nameOf(item) === this.#last) + 1;
    const turn = [...items.slice(from), ...items.slice(0, from)].slice(0, most);
    this.#last = nameOf(turn[most - 1]);
    return turn;
  }
}
