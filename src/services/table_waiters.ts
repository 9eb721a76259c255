/**
 * Callers that wait until a version of the table is in force.
 *
 * @module
 */

import type { Table } from "../agreement/mod.ts";
import type { Clock } from "../base/mod.ts";

interface Waiter {
  readonly version: number;
  readonly resolve: (table: Table | undefined) => void;
}

/** Holds the waiting callers, each with the version it waits for and a deadline. */
export class TableWaiters {
  readonly #waiters = new Set<Waiter>();
  #closed = false;

  /** Resolves with the first table at `version` or newer, or with `undefined` at `deadlineMs` (wall clock). */
  wait(
    clock: Clock,
    version: number,
    deadlineMs: number,
  ): Promise<Table | undefined> {
    const delayMs = deadlineMs - clock.nowMs();
    if (delayMs <= 0 || this.#closed) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const waiter: Waiter = {
        version,
        resolve: (table) => {
          timer.close();
          this.#waiters.delete(waiter);
          resolve(table);
        },
      };
      const timer = clock.after(delayMs, () => waiter.resolve(undefined));
      this.#waiters.add(waiter);
    });
  }

  /** Resolves the waiters whose version is reached by this table, which has come into force. */
  resolve(table: Table): void {
    for (const waiter of this.#waiters) {
      if (waiter.version <= table.version) waiter.resolve(table);
    }
  }

  /** Resolves all waiters with `undefined`. */
  close(): void {
    this.#closed = true;
    for (const waiter of this.#waiters) waiter.resolve(undefined);
  }
}
