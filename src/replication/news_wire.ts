/**
 * News of the store as VMs send them to each other: long values are compressed. A configuration is far longer than all
 * else, each VM of a region gets it from one of a few others, and their links carry requests too.
 *
 * @module
 */

import { gunzipSync, gzipSync } from "node:zlib";
import { type Entry, MAX_TEXT_BYTES } from "../adapters/mod.ts";
import { ByteBudget } from "../base/mod.ts";
import type { ConfigNews } from "./config_in_force.ts";
import type { News } from "./replica.ts";

/** Shorter values gain nothing. */
const MIN_PACKED_LENGTH = 2_000;
/** Routes resemble each other so much that the fastest level gains most of what there is to gain. */
const GZIP_LEVEL = 1;
/** Largest value that is unpacked: three times what the store takes, as each byte that is no UTF-8 becomes three. */
const MAX_VALUE_BYTES = 3 * 1_048_576;
/** Most that is unpacked of one answer, in bytes: as much as one with unpacked values may hold. */
const MAX_ANSWER_BYTES = MAX_TEXT_BYTES;

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

/** Unpacks the news of another VM. Throws if a value is damaged, or if they are too long. */
export function unpackNews(news: SentNews): News {
  const budget = new ByteBudget(MAX_ANSWER_BYTES);
  return { ...news, entries: news.entries.map((sent) => unpack(sent, budget)) };
}

/** Unpacks an object with a value, within the budget of its answer. Throws if the value is damaged or too long. */
export function unpack<T extends { readonly value: string }>(
  sent: Sent<T>,
  budget: ByteBudget = new ByteBudget(MAX_ANSWER_BYTES),
): T {
  if (!("packed" in sent)) return sent;
  const { packed, ...rest } = sent;
  const value = gunzipSync(Buffer.from(packed, "base64"), {
    maxOutputLength: MAX_VALUE_BYTES,
  });
  // Unpacking costs time even if it gives nothing.
  const costBytes = Math.max(value.length, MIN_PACKED_LENGTH);
  if (!budget.tryReserve(costBytes)) throw new Error("the news are too long");
  return { ...rest, value: value.toString("utf8") } as unknown as T;
}
