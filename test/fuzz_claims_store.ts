/**
 * The store of a claims simulation, with compare-and-swap writes. It can be down or unreachable for some VMs, delay
 * writes and lose answers.
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

function storeError(kind: "unavailable" | "lost"): StoreError {
  return { kind, message: kind };
}

/** A simulated store with faults. */
export class FuzzStore {
  isDown = false;
  /** Indices of the VMs that cannot reach it. */
  readonly cutOffVms = new Set<number>();
  /** Number of next writes that take effect although their answers are lost. */
  answersToLose = 0;
  /** Number of next writes that are applied later, if at all. */
  writesToDelay = 0;
  readonly #keys: ShardKeys;
  readonly #ignoresRev: boolean;
  readonly #entries = new Map<string, Entry>();
  #rev = 0;
  #delayedWrites: (readonly Write[])[] = [];

  constructor(keys: ShardKeys, ignoresRev: boolean) {
    this.#keys = keys;
    this.#ignoresRev = ignoresRev;
  }

  /** Ends all faults. */
  endFaults(): void {
    this.isDown = false;
    this.cutOffVms.clear();
    this.answersToLose = 0;
    this.writesToDelay = 0;
  }

  /** Runs a VM's call, or fails it if the VM cannot reach the store. */
  call<T>(vm: number, operation: () => Result<T, StoreError>) {
    const isUnavailable = this.isDown || this.cutOffVms.has(vm);
    return isUnavailable ? err(storeError("unavailable")) : operation();
  }

  readHead(): Result<Entry | undefined, StoreError> {
    return ok(this.#entries.get(this.#keys.head));
  }

  load(from: number, to: number): Result<ClaimEvent[][], StoreError> {
    const segments = [];
    for (let segment = from; segment < to; segment++) {
      const entry = this.#entries.get(segmentKey(this.#keys, segment));
      const events = entry && parseSegment(entry.value).unwrapOr(undefined);
      if (!events) return err(storeError("unavailable"));
      segments.push(events);
    }
    return ok(segments);
  }

  write(writes: readonly Write[]): Result<number, StoreError> {
    if (this.writesToDelay > 0) {
      this.writesToDelay--;
      this.#delayedWrites.push(writes);
      return err(storeError("lost"));
    }
    const result = this.#transact(writes);
    if (this.answersToLose === 0) return result;
    this.answersToLose--;
    return err(storeError("lost"));
  }

  /** Applies the oldest delayed write. Returns whether it took effect, `undefined` if there is none. */
  applyDelayedWrite(): boolean | undefined {
    const writes = this.#delayedWrites.shift();
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
