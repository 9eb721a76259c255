/**
 * Where a stream stands by the ids of its events, and whether another answer goes on there.
 *
 * @module
 */

import type { EventIdentity } from "../base/mod.ts";

/** The number of an event; `undefined` if its id is not a number that can be compared. */
function numberOf(id: string | undefined): number | undefined {
  if (id === undefined || !/^\d+$/.test(id)) return undefined;
  const number = Number(id);
  return Number.isSafeInteger(number) ? number : undefined;
}

/** Whether an id is no larger than another one, or the same. */
function isRepeat(id: string, last: string): boolean {
  const number = numberOf(id);
  const lastNumber = numberOf(last);
  const areNumbers = number !== undefined && lastNumber !== undefined;
  return id === last || (areNumbers && number <= lastNumber);
}

/** The place in a stream that its caller has reached. */
export class StreamPosition {
  #lastId: string | undefined;
  /** How the numbers of the events grew so far. */
  #steps: "unknown" | "by one" | "otherwise" = "unknown";
  #isGrowing = true;

  /** `lastId` is that of the last event that the caller has from an earlier try. */
  constructor(lastId: string | undefined) {
    this.#lastId = lastId;
  }

  /** Whether no id was repeated so far, and no number went back; otherwise the last id may name another event too. */
  get isGrowing(): boolean {
    return this.#isGrowing;
  }

  /** Notes the next event that the caller gets. */
  note({ id }: EventIdentity): void {
    const last = numberOf(this.#lastId);
    if (this.#lastId !== undefined) {
      if (id !== undefined && isRepeat(id, this.#lastId)) {
        this.#isGrowing = false;
      }
      const isByOne = last !== undefined && numberOf(id) === last + 1;
      if (!isByOne) this.#steps = "otherwise";
      else if (this.#steps === "unknown") this.#steps = "by one";
    }
    this.#lastId = id;
  }

  /**
   * Why an event can't be the next one; `undefined` if it can. An upstream that doesn't know the last event, or ignores
   * it, would repeat events or leave some out.
   */
  whyNotNext({ id }: EventIdentity): string | undefined {
    if (id === undefined || this.#lastId === undefined) return undefined;
    const number = numberOf(id);
    const last = numberOf(this.#lastId);
    const isLate = this.#steps === "by one" && number !== undefined &&
      last !== undefined && number > last + 1;
    return isRepeat(id, this.#lastId) || isLate
      ? `continued with event ${id} after ${this.#lastId}`
      : undefined;
  }
}
