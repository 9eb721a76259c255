/**
 * Encoding and decoding of what the platform's store takes and answers.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Entry, WatchEvent } from "../adapters/mod.ts";

/** The generation that the head of an answer names; see {@link Listing.generation}. */
export function decodeGeneration(
  { headers }: IncomingMessage,
): number | undefined {
  const value = headers["store-era"];
  return typeof value === "string" && /^\d{1,15}$/.test(value)
    ? Number(value)
    : undefined;
}

/** Encodes a value as the store takes it. */
export function encodeValue(value: string): string {
  return Buffer.from(value, "utf8").toString("base64");
}

type Fields = Readonly<Record<string, unknown>>;

/** Decodes an item; `undefined` if it is none. */
export function decodeEntry(item: unknown): Entry | undefined {
  const { key, value, revision } = (item ?? {}) as Fields;
  if (typeof key !== "string" || typeof value !== "string") return undefined;
  return {
    key,
    value: Buffer.from(value, "base64").toString("utf8"),
    rev: Number(revision),
  };
}

/** Decodes an event of a watch; `undefined` if it is none. */
export function decodeEvent(item: unknown): WatchEvent | undefined {
  const { key, revision, deleted } = (item ?? {}) as Fields;
  if (deleted) {
    return { type: "delete", key: String(key), rev: Number(revision) };
  }
  const entry = decodeEntry(item);
  return entry && { type: "put", entry };
}
