/**
 * The streams that began at this VM and that their callers may take up again.
 *
 * @module
 */

import { ORIGIN_TTL_MS } from "./origins.ts";

/** Most streams that are kept after they broke off; the oldest go first. */
const MAX_BROKEN = 2_048;

/** A stream and the version that began it. */
export interface OwnStream {
  readonly service: string;
  /** The name under which the targets of its route are watched; absent if they are not. */
  readonly route: string | undefined;
  /** `null` if it can't be told which version began it. */
  readonly version: string | null;
  /** When other VMs were last told of it; `-Infinity` if never. */
  toldMs: number;
}

/** A stream that runs. */
export interface OpenStream extends OwnStream {
  readonly version: string;
}

interface BrokenStream extends OwnStream {
  readonly endedMs: number;
}

/** Keeps the streams that began here, by their keys. Times are of a monotonic clock. */
export class OwnStreams {
  readonly #open = new Map<string, OpenStream>();
  /** Those that broke off, the one that ended first coming first. */
  readonly #broken = new Map<string, BrokenStream>();

  /** The streams that still run. */
  get open(): ReadonlyMap<string, OpenStream> {
    return this.#open;
  }

  /** Notes that a stream began. */
  begin(
    key: string,
    service: string,
    version: string,
    route?: string,
  ): OpenStream {
    const stream = { service, route, version, toldMs: -Infinity };
    this.#open.set(key, stream);
    return stream;
  }

  /** Notes that a stream ended; nobody takes up one that is whole. Returns whether it had begun here. */
  end(key: string, isWhole: boolean, nowMs: number): boolean {
    const stream = this.#open.get(key);
    if (!stream) return false;
    this.#open.delete(key);
    if (!isWhole) this.#broken.set(key, { ...stream, endedMs: nowMs });
    this.#forget(nowMs);
    return true;
  }

  /** Notes that it can't be told any more which version began a stream that broke off. */
  doubt(key: string): void {
    const stream = this.#broken.get(key);
    if (stream) this.#broken.set(key, { ...stream, version: null });
  }

  /** All streams that may be taken up. */
  *all(nowMs: number): Iterable<readonly [key: string, stream: OwnStream]> {
    this.#forget(nowMs);
    yield* this.#broken;
    yield* this.#open;
  }

  #forget(nowMs: number): void {
    for (const [key, { endedMs }] of this.#broken) {
      const isOver = nowMs - endedMs >= ORIGIN_TTL_MS;
      if (!isOver && this.#broken.size <= MAX_BROKEN) return;
      this.#broken.delete(key);
    }
  }
}
