/**
 * The store of a claims world: compares and writes, may be down or cut off, delays writes and loses answers.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import type { Entry, StoreError, Write } from "../src/adapters/mod.ts";
import {
  type ClaimEvent,
  parseSegment,
  segmentKey,
  type ShardKeys,
} from "../src/agreement/mod.ts";

function failed(kind: "unavailable" | "lost"): StoreError {
  return { kind, message: kind };
}

/** See the module. */
export class FuzzStore {
  isDown = false;
  /** VMs that cannot reach it. */
  readonly cutOff = new Set<number>();
  /** How many of the next writes take effect while their answers are lost. */
  loseAnswers = 0;
  /** How many of the next writes land later, if at all. */
  delayWrites = 0;
  readonly #keys: ShardKeys;
  readonly #ignoresRev: boolean;
  readonly #entries = new Map<string, Entry>();
  #rev = 0;
  #late: (readonly Write[])[] = [];

  constructor(keys: ShardKeys, ignoresRev: boolean) {
    this.#keys = keys;
    this.#ignoresRev = ignoresRev;
  }

  /** Ends all its faults. */
  heal(): void {
    this.isDown = false;
    this.cutOff.clear();
    this.loseAnswers = 0;
    this.delayWrites = 0;
  }

  /** A VM's call, unless the store is away from it. */
  call<T>(slot: number, act: () => Result<T, StoreError>) {
    const isAway = this.isDown || this.cutOff.has(slot);
    return isAway ? err(failed("unavailable")) : act();
  }

  readHead(): Result<Entry | undefined, StoreError> {
    return ok(this.#entries.get(this.#keys.head));
  }

  load(from: number, to: number): Result<ClaimEvent[][], StoreError> {
    const found = [];
    for (let segment = from; segment < to; segment++) {
      const entry = this.#entries.get(segmentKey(this.#keys, segment));
      const events = entry && parseSegment(entry.value).unwrapOr(undefined);
      if (!events) return err(failed("unavailable"));
      found.push(events);
    }
    return ok(found);
  }

  write(writes: readonly Write[]): Result<number, StoreError> {
    if (this.delayWrites > 0) {
      this.delayWrites--;
      this.#late.push(writes);
      return err(failed("lost"));
    }
    const result = this.#transact(writes);
    if (this.loseAnswers === 0) return result;
    this.loseAnswers--;
    return err(failed("lost"));
  }

  /** A delayed write lands; returns whether it took effect, `undefined` if there is none. */
  landLateWrite(): boolean | undefined {
    const writes = this.#late.shift();
    return writes && this.#transact(writes).isOk();
  }

  #transact(writes: readonly Write[]): Result<number, StoreError> {
    for (const { key, ifRev } of writes) {
      const current = this.#entries.get(key);
      if (ifRev === undefined || this.#ignoresRev) continue;
      if ((current?.rev ?? 0) !== ifRev) {
        return err({ kind: "conflict", message: "", current });
      }
    }
    const rev = ++this.#rev;
    for (const write of writes) {
      const { key } = write;
      if (write.type === "delete") this.#entries.delete(key);
      else this.#entries.set(key, { key, value: write.value, rev });
    }
    return ok(rev);
  }
}
