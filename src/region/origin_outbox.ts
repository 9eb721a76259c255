/**
 * The origins that other VMs are still to be told of, in batches whose rate is bounded.
 *
 * @module
 */

import {
  type KeyedOrigin,
  type OriginRow,
  toOriginRows,
} from "./origin_messages.ts";

/** Bytes a second that a VM spends on telling origins. With more to tell, batches are larger and rarer. */
const BYTES_PER_S = 1_000;
/** Bytes that it may spend at once after a quiet time, so that the origins of a burst don't wait. */
const BURST_BYTES = 4_000;
/** Streams that begin together are told together. A VM may end right after, so it is short. */
const GATHER_MS = 20;
/** Most origins of one batch, so that it delays the next one by about a second at most. */
const MAX_BATCH = 64;
/** Most origins that wait. The oldest are dropped: their streams have been running, or over, for longest. */
const MAX_WAITING = 2_048;
/** Bytes of a datagram besides its rows, with the headers of IP and UDP. */
const DATAGRAM_BYTES = 80;
const ROW_BYTES = 7;
const SERVICE_BYTES = 3;

/** The time in which so many bytes may be sent. */
function toMs(bytes: number): number {
  return bytes * 1_000 / BYTES_PER_S;
}

/** Collects origins to tell. Times are of a monotonic clock. */
export class OriginOutbox {
  /** By key. */
  readonly #waiting = new Map<string, KeyedOrigin>();
  #firstMs = Infinity;
  /** When all that was sent is paid for, at {@link BYTES_PER_S}. */
  #paidMs = -Infinity;

  get size(): number {
    return this.#waiting.size;
  }

  /** When the next batch is due; `Infinity` if there is none. */
  get dueMs(): number {
    return this.#waiting.size === 0
      ? Infinity
      : Math.max(this.#firstMs + GATHER_MS, this.#paidMs - toMs(BURST_BYTES));
  }

  /** Adds an origin; `null` if it can't be told which version began the stream. */
  add(
    key: string,
    version: string | null,
    nowMs: number,
    service?: string,
  ): void {
    if (this.#waiting.size === 0) this.#firstMs = nowMs;
    this.#waiting.delete(key);
    this.#waiting.set(key, [key, version, service]);
    if (this.#waiting.size <= MAX_WAITING) return;
    const [oldest] = this.#waiting.keys();
    this.#waiting.delete(oldest);
  }

  /** Drops the origin of a stream that nobody will take up again. */
  drop(key: string): void {
    this.#waiting.delete(key);
  }

  /** Takes the rows of the next batch, of the newest origins, which goes to `vmCount` VMs. */
  take(vmCount: number, nowMs: number): OriginRow[] {
    const batch = [...this.#waiting.values()].slice(-MAX_BATCH);
    for (const [key] of batch) this.#waiting.delete(key);
    const rows = toOriginRows(batch);
    const bytes = vmCount * countBytes(rows);
    this.#firstMs = nowMs;
    this.#paidMs = Math.max(this.#paidMs, nowMs) + toMs(bytes);
    return rows;
  }
}

/** Bytes of a datagram with these rows. */
export function countBytes(rows: readonly OriginRow[]): number {
  return rows.reduce(
    (sum, [version, keys, service]) =>
      sum + ROW_BYTES + Buffer.byteLength(version ?? "") + keys.length +
      (service === undefined ? 0 : SERVICE_BYTES + Buffer.byteLength(service)),
    DATAGRAM_BYTES,
  );
}
