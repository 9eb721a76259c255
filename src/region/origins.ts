/**
 * Which software version began a stream, by the id of the attempt that did. Streams that callers take up again may only
 * go on at that version.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";

/** How long an origin is kept after it was last noted. Callers take a stream up again within seconds. */
export const ORIGIN_TTL_MS = 30_000;
/** Most origins that a VM keeps: about 8 MB. */
const MAX_ORIGINS = 65_536;
/** Characters of an origin's key. 48 bits make it unlikely that two of the streams of a large fleet share a key. */
export const ORIGIN_KEY_LENGTH = 8;

/**
 * How a VM learned of an origin: it forwarded the first event itself, another VM told it, unasked or asked, or a VM that
 * may have ended had stored it.
 */
export type OriginSource = "self" | "told" | "asked" | "stored";

/** What is known of a stream's origin; `ambiguous` if it can't be told which version began it. */
export type FoundOrigin =
  | {
    readonly type: "known";
    readonly version: string;
    /** The service that began it, as {@link fitName} makes it; absent if a VM of the former program told of it. */
    readonly service?: string | undefined;
    readonly source: OriginSource;
    /** Time since the stream began, as far as this VM knows. */
    readonly ageMs: number;
  }
  | { readonly type: "ambiguous" };

interface OriginEntry {
  /** `undefined` if it is ambiguous. */
  readonly version: string | undefined;
  readonly service: string | undefined;
  readonly source: OriginSource;
  readonly beganMs: number;
  readonly notedMs: number;
}

/** Returns the short key under which the VMs know an attempt. */
export function originKey(attemptId: string): string {
  return Buffer.from(digest64([attemptId]), "hex").toString("base64url")
    .slice(0, ORIGIN_KEY_LENGTH);
}

/** The key under which a VM keeps the origin of an attempt that was relayed to it. */
export function relayedKey(attemptId: string): string {
  return originKey(`relayed ${attemptId}`);
}

/** Keeps the origins of streams for {@link ORIGIN_TTL_MS}. Times are of a monotonic clock. */
export class Origins {
  /** The one that was noted longest ago comes first. */
  readonly #entries = new Map<string, OriginEntry>();
  readonly #mostEntries: number;

  constructor(mostEntries = MAX_ORIGINS) {
    this.#mostEntries = mostEntries;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Notes that a version of a service began a stream `ageMs` ago; `undefined` if it can't be told which version. */
  note(
    key: string,
    version: string | undefined,
    source: OriginSource,
    nowMs: number,
    ageMs = 0,
    service?: string,
  ): void {
    this.#expire(nowMs);
    const before = this.#entries.get(key);
    this.#entries.delete(key);
    const isSame = !before || before.version === version &&
        (before.service ?? service) === (service ?? before.service);
    this.#entries.set(key, {
      version: isSame ? version : undefined,
      service: service ?? before?.service,
      source: before?.source ?? source,
      beganMs: Math.min(before?.beganMs ?? Infinity, nowMs - ageMs),
      notedMs: nowMs,
    });
    if (this.#entries.size > this.#mostEntries) this.#deleteOldest();
  }

  /** Keeps an origin for another {@link ORIGIN_TTL_MS}. */
  renew(key: string, nowMs: number): void {
    const entry = this.#entries.get(key);
    if (!entry) return;
    this.#entries.delete(key);
    this.#entries.set(key, { ...entry, notedMs: nowMs });
  }

  /** Returns what is known of a stream's origin. */
  find(key: string, nowMs: number): FoundOrigin | undefined {
    this.#expire(nowMs);
    const entry = this.#entries.get(key);
    if (!entry) return undefined;
    const { version, service, source, beganMs } = entry;
    if (version === undefined) return { type: "ambiguous" };
    const ageMs = nowMs - beganMs;
    return service === undefined
      ? { type: "known", version, source, ageMs }
      : { type: "known", version, service, source, ageMs };
  }

  #expire(nowMs: number): void {
    for (const [key, { notedMs }] of this.#entries) {
      if (nowMs - notedMs < ORIGIN_TTL_MS) return;
      this.#entries.delete(key);
    }
  }

  #deleteOldest(): void {
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest);
  }
}
