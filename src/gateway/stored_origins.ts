/**
 * Keeps in the store which versions began the streams of this VM: if all VMs end at once, nobody else can tell the
 * callers that come back.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import {
  decodeOriginRows,
  type FoundOrigin,
  ORIGIN_TTL_MS,
  type OriginRow,
  splitKeys,
} from "../region/mod.ts";

/** Lease of what a process stored. */
const LEASE_MS = ORIGIN_TTL_MS;
const RENEW_INTERVAL_MS = LEASE_MS / 4;
/** Least time between two writes, and between two reads. A stream that began since the last write may be lost. */
const MIN_INTERVAL_MS = 100;
/** Pause after a write that failed. */
const RETRY_MS = 1_000;
/** Share of the writes that the store allows to all VMs together. */
const WRITE_SHARE = 0.2;
/** How long a stream waits for what is stored: a round trip to another region and some more. */
const READ_TIMEOUT_MS = 500;

/** Options of {@link StoredOrigins}. */
export interface StoredOriginsOptions {
  readonly store: KeyValue;
  /** Key prefix of what all processes stored. */
  readonly prefix: string;
  /** Identifies this process among all that stored something. */
  readonly processId: string;
  readonly leastLeaseMs: number;
  /** Write calls a second that the store allows to all VMs together. */
  readonly writesPerS: number;
  /** Number of VMs that share them; a VM that has just started has not heard of all others. */
  readonly sharerCount: () => number;
  /** Called after each write, as streams may have begun meanwhile. */
  readonly onWritten: () => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** A lease, and the store's generation in which it was granted; see {@link KeyValue.generation}. */
interface Lease {
  readonly id: string;
  readonly generation: number | undefined;
}

/** Stores the origins of this process's streams, and finds those of all. */
export class StoredOrigins {
  readonly #options: StoredOriginsOptions;
  /** What was written last. */
  #written: ReadonlySet<string> = new Set();
  #lease: Lease | undefined;
  #renewedMs = -Infinity;
  #wroteMs = -Infinity;
  #failedMs = -Infinity;
  #isWriting = false;
  /** What all processes had stored when it was read last. */
  #found: ReadonlyMap<string, FoundOrigin> = new Map();
  #readMs = -Infinity;
  #reading: Promise<void> | undefined;
  #isOpen = true;

  constructor(options: StoredOriginsOptions) {
    this.#options = options;
  }

  get #intervalMs(): number {
    const { sharerCount, writesPerS } = this.#options;
    const fairMs = 1_000 * sharerCount() / (WRITE_SHARE * writesPerS);
    return Math.max(MIN_INTERVAL_MS, fairMs);
  }

  /** Writes the origins of the streams that may be taken up, if that is due and there is a new one. */
  tick(listOrigins: () => readonly OriginRow[]): void {
    if (this.#isWriting || this.dueInMs > 0) return;
    const nowMs = this.#options.clock.monoMs();
    const rows = listOrigins();
    if (rows.length === 0) return;
    const entries = new Set(rows.flatMap(splitRow));
    const isNew = [...entries].some((entry) => !this.#written.has(entry));
    const isLapsing = nowMs - this.#renewedMs >= RENEW_INTERVAL_MS;
    if (!isNew && !isLapsing) return;
    this.#wroteMs = nowMs;
    this.#isWriting = true;
    void this.#write(rows, isNew).then((isStored) => {
      this.#isWriting = false;
      this.#written = isStored ? entries : new Set();
      if (!isStored) this.#failedMs = this.#options.clock.monoMs();
      if (this.#isOpen) this.#options.onWritten();
    });
  }

  /** Time until the next write may begin, in ms; 0 if it may now. */
  get dueInMs(): number {
    const dueMs = Math.max(
      this.#wroteMs + this.#intervalMs,
      this.#failedMs + RETRY_MS,
    );
    return Math.max(0, dueMs - this.#options.clock.monoMs());
  }

  /** Finds the origin of a stream in what all processes stored, which is read again unless that was just done. */
  async find(key: string): Promise<FoundOrigin | undefined> {
    const { clock } = this.#options;
    await Promise.race([this.#read(), clock.sleep(READ_TIMEOUT_MS)]);
    return this.#found.get(key);
  }

  close(): void {
    this.#isOpen = false;
  }

  dump(): unknown {
    return { written: this.#written.size, found: this.#found.size };
  }

  /** Returns whether the origins are stored. */
  async #write(rows: readonly OriginRow[], isNew: boolean): Promise<boolean> {
    const isKept = await this.#keepLease();
    if (isKept && !isNew) return true;
    const { store, prefix, processId, log } = this.#options;
    if (!this.#lease || !this.#isOpen) return false;
    const put = await store.put(
      prefix + processId,
      JSON.stringify(rows),
      { leaseId: this.#lease.id },
      "other",
    );
    if (put.isOk()) return true;
    this.#lease = undefined;
    log.warn("origins not stored", { reason: put.error.message });
    return false;
  }

  /** Renews the lease or gets another one. Returns whether what was written under it is still there. */
  async #keepLease(): Promise<boolean> {
    const { store, clock, leastLeaseMs } = this.#options;
    const nowMs = clock.monoMs();
    const { generation } = store;
    if (this.#lease?.generation === generation && this.#lease) {
      if (nowMs - this.#renewedMs < RENEW_INTERVAL_MS) return true;
      const kept = await store.keepAlive(this.#lease.id, "other");
      if (kept.isOk()) this.#renewedMs = nowMs;
      const isGone = kept.isErr() && kept.error.kind === "leaseGone";
      if (!isGone && store.generation === generation) return true;
    }
    this.#lease = undefined;
    const granted = await store.grant(
      Math.max(leastLeaseMs, LEASE_MS),
      "other",
    );
    if (granted.isErr()) return false;
    this.#lease = { id: granted.value, generation: store.generation };
    this.#renewedMs = nowMs;
    return false;
  }

  /** Reads what all processes stored. Streams that come meanwhile wait for the same call. */
  #read(): Promise<void> {
    const nowMs = this.#options.clock.monoMs();
    if (!this.#reading && nowMs - this.#readMs < this.#intervalMs) {
      return Promise.resolve();
    }
    this.#reading ??= this.#list().finally(() => {
      this.#reading = undefined;
      this.#readMs = this.#options.clock.monoMs();
    });
    return this.#reading;
  }

  async #list(): Promise<void> {
    const { store, prefix, log } = this.#options;
    const listing = await store.list(prefix, {}, "other");
    if (listing.isErr()) {
      log.warn("origins not read", { reason: listing.error.message });
      return;
    }
    const found = new Map<string, FoundOrigin>();
    for (const { value } of listing.value.entries) {
      for (const row of decodeOriginRows(parse(value))) {
        const origin = toOrigin(row);
        for (const key of splitKeys(row[1])) {
          const isSame = isSameOrigin(found.get(key) ?? origin, origin);
          found.set(key, isSame ? origin : AMBIGUOUS);
        }
      }
    }
    this.#found = found;
  }
}

const AMBIGUOUS: FoundOrigin = { type: "ambiguous" };

function toOrigin([version, , service]: OriginRow): FoundOrigin {
  if (version === null) return AMBIGUOUS;
  return { type: "known", version, service, source: "stored", ageMs: 0 };
}

function isSameOrigin(one: FoundOrigin, other: FoundOrigin): boolean {
  if (one.type !== "known" || other.type !== "known") return false;
  return one.version === other.version && one.service === other.service;
}

function splitRow([version, keys, service]: OriginRow): string[] {
  return splitKeys(keys).map((key) => `${key} ${version} ${service}`);
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
