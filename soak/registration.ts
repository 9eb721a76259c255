/**
 * An upstream's entry in the store: written at each heartbeat, and removed after some heartbeats without a write.
 *
 * @module
 */

import type { KvServer } from "../src/standins/mod.ts";

/** Interval of an upstream's writes. */
export const HEARTBEAT_MS = 1_000;
/** Number of heartbeats without a write after which the store removes the entry. */
const MAX_SILENT_HEARTBEATS = 3;

/**
 * The entry of the upstream that currently runs on a host. Time is counted in heartbeats, so a soak process that is held
 * up does not remove entries by mistake.
 */
export class Registration {
  /** Whether the store also removes entries while it is down. Otherwise an outage does not count as silence. */
  lapsesWhileDown = false;
  readonly #store: KvServer;
  readonly #startTimer: NodeJS.Timeout;
  #heartbeatTimer: NodeJS.Timeout | undefined;
  #entry: { readonly key: string; readonly value: object } | undefined;
  #silentHeartbeats = 0;
  #silentUntilMs = -Infinity;

  /** `phaseMs` is added to the time of the first heartbeat. */
  constructor(store: KvServer, phaseMs: number, heartbeatMs = HEARTBEAT_MS) {
    this.#store = store;
    this.#startTimer = setTimeout(() => {
      this.#heartbeatTimer = setInterval(() => this.#beat(), heartbeatMs);
    }, phaseMs);
  }

  /** Writes the entry of an upstream, which replaces the previous upstream on the host. */
  write(id: string, value: object): void {
    this.#entry = { key: `servers/${id}`, value };
    this.#put();
  }

  /** The key of the entry of the upstream that runs now. */
  get key(): string | undefined {
    return this.#entry?.key;
  }

  /** Removes the entry of an upstream that leaves. */
  remove(): void {
    if (this.#entry) this.#store.remove(this.#entry.key);
    this.#entry = undefined;
  }

  /** Skips the heartbeats of the next `forMs`; the upstream serves on. */
  silence(forMs: number): void {
    const untilMs = performance.now() + forMs;
    this.#silentUntilMs = Math.max(this.#silentUntilMs, untilMs);
  }

  /** Removes the entry as the store does after silence; a heartbeat writes it again. */
  lapse(): void {
    if (this.#entry) this.#store.remove(this.#entry.key);
  }

  close(): void {
    clearTimeout(this.#startTimer);
    clearInterval(this.#heartbeatTimer);
  }

  #beat(): void {
    if (!this.#entry) return;
    const isSilent = performance.now() < this.#silentUntilMs;
    const isDown = this.#store.faults.isCutOff("", this.#entry.key);
    if (!isSilent && !isDown) return this.#put();
    if (isDown && !this.lapsesWhileDown) return;
    this.#silentHeartbeats++;
    if (this.#silentHeartbeats === MAX_SILENT_HEARTBEATS) this.lapse();
  }

  #put(): void {
    this.#silentHeartbeats = 0;
    this.#store.put(this.#entry!.key, this.#entry!.value);
  }
}
