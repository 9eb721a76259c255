/**
 * News of the store as VMs send them to each other: long values are compressed. A configuration is far longer than all
 * else, each VM of a region gets it from one of a few others, and their links carry requests too.
 *
 * @module
 */

import { gunzipSync, gzipSync } from "node:zlib";
import type { Entry } from "../adapters/mod.ts";
import type { ConfigNews } from "./config_in_force.ts";
import type { News } from "./replica.ts";

/** Shorter values gain nothing. */
const MIN_PACKED_LENGTH = 2_000;
/** Routes resemble each other so much that the fastest level gains most of what there is to gain. */
const GZIP_LEVEL = 1;
/** Largest value that is unpacked; the store's own limit is far lower. */
const MAX_VALUE_BYTES = 64_000_000;

/** A value that is sent compressed. */
interface PackedValue {
  /** The value, compressed by gzip, in base64. */
  readonly packed: string;
}

/** An object with a value, as it is sent. */
type Sent<T extends { readonly value: string }> =
  | T
  | (Omit<T, "value"> & PackedValue);

/** What a VM that asks can read; VMs of earlier programs don't say that they unpack. */
export interface ReaderAbility {
  readonly unpacks?: boolean;
}

/** News as they are sent. */
export type SentNews = Omit<News, "entries"> & {
  readonly entries: readonly Sent<Entry>[];
};

/** A configuration as it is sent. */
export type SentConfigNews = Sent<ConfigNews>;

/** Compresses values for other VMs, which ask for the same one at the same time. */
export class NewsPacker {
  #lastValue = "";
  #lastPacked = "";

  /** Packs news for a VM that asked with `ability`. */
  packNews(news: News, ability: ReaderAbility): SentNews {
    const entries = news.entries.map((entry) => this.pack(entry, ability));
    return { ...news, entries };
  }

  /** Packs an object with a value for a VM that asked with `ability`. */
  pack<T extends { readonly value: string }>(
    held: T,
    { unpacks = false }: ReaderAbility,
  ): Sent<T> {
    const { value, ...rest } = held;
    if (!unpacks || value.length < MIN_PACKED_LENGTH) return held;
    if (value !== this.#lastValue) {
      this.#lastPacked = gzipSync(value, { level: GZIP_LEVEL }).toString(
        "base64",
      );
      this.#lastValue = value;
    }
    return { ...rest, packed: this.#lastPacked };
  }
}

/** Unpacks the news of another VM. Throws if a value is damaged. */
export function unpackNews(news: SentNews): News {
  return { ...news, entries: news.entries.map((entry) => unpack(entry)) };
}

/** Unpacks an object with a value. Throws if the value is damaged. */
export function unpack<T extends { readonly value: string }>(
  sent: Sent<T>,
): T {
  if (!("packed" in sent)) return sent;
  const { packed, ...rest } = sent;
  const value = gunzipSync(Buffer.from(packed, "base64"), {
    maxOutputLength: MAX_VALUE_BYTES,
  }).toString("utf8");
  return { ...rest, value } as unknown as T;
}
