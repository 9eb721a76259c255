/**
 * Encoding and decoding of what the platform's store takes and answers.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Entry, WatchEvent, Write } from "../adapters/mod.ts";

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

/** Encodes the writes of a transaction, without leases, and their conditions. */
export function encodeWrites(writes: readonly Write[]) {
  return {
    precondition: writes.filter(({ ifRev }) => ifRev !== undefined)
      .map(({ key, ifRev }) => ({ key, revision: ifRev! })),
    changes: writes.flatMap((write) =>
      write.type === "put"
        ? [{ key: write.key, value: encodeValue(write.value), lease: 0 }]
        : []
    ),
    removed: writes.filter(({ type }) => type === "delete")
      .map(({ key }) => key),
  };
}

type Fields = Readonly<Record<string, unknown>>;

/** The fields of an answer's body. One without a body, or with one that is no object, has none. */
function fieldsOf(body: unknown): Fields {
  return typeof body === "object" && body !== null ? body as Fields : {};
}

/** Decodes a revision or the id of a lease; `undefined` if it is neither. */
function decodePositive(value: unknown): number | undefined {
  return Number.isSafeInteger(value) && Number(value) > 0
    ? Number(value)
    : undefined;
}

/** Decodes a list; `undefined` if the field is missing. The store may write an empty list as `null`. */
function decodeList(value: unknown): readonly unknown[] | undefined {
  if (value === null) return [];
  return Array.isArray(value) ? value : undefined;
}

function isDefined<T>(value: T | undefined): value is T {
  return value !== undefined;
}

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
function decodeEvent(item: unknown): WatchEvent | undefined {
  const { key, revision, deleted } = (item ?? {}) as Fields;
  if (deleted) {
    return { type: "delete", key: String(key), rev: Number(revision) };
  }
  const entry = decodeEntry(item);
  return entry && { type: "put", entry };
}

/** One page of a listing. */
export interface Page {
  readonly entries: readonly Entry[];
  /** Key after which the next page begins; `undefined` if the page has no items. */
  readonly lastKey: string | undefined;
  readonly more: boolean;
  readonly rev: number;
}

/** Decodes a page of a listing; `undefined` if it is none. */
export function decodePage(body: unknown): Page | undefined {
  const { items, more_pages: more, current_rev } = fieldsOf(body);
  const list = decodeList(items);
  const rev = decodePositive(current_rev);
  if (!list || rev === undefined || typeof more !== "boolean") return undefined;
  const lastKey = (list.at(-1) as { key?: string } | undefined)?.key;
  // Without a key to go on from, the listing would end here as if it were whole.
  if (more && lastKey === undefined) return undefined;
  return {
    entries: list.map(decodeEntry).filter(isDefined),
    lastKey,
    more,
    rev,
  };
}

/** Decodes the answer to a watch; `undefined` if it is none. */
export function decodeChanges(
  body: unknown,
):
  | { readonly events: readonly WatchEvent[]; readonly rev: number }
  | undefined {
  const { events, current_rev } = fieldsOf(body);
  const list = decodeList(events);
  const rev = decodePositive(current_rev);
  if (!list || rev === undefined) return undefined;
  return { events: list.map(decodeEvent).filter(isDefined), rev };
}

/** Decodes the id of a new lease; `undefined` if there is none. */
export function decodeLease(body: unknown): string | undefined {
  const lease = decodePositive(fieldsOf(body).lease);
  return lease === undefined ? undefined : String(lease);
}

/** Decodes the revision of a write; `undefined` if there is none. */
export function decodeRevision(body: unknown): number | undefined {
  return decodePositive(fieldsOf(body).revision);
}

/** Decodes the entries that a refused write names; `undefined` if they are missing. */
export function decodeConflict(body: unknown): readonly Entry[] | undefined {
  return decodeList(fieldsOf(body).items)?.map(decodeEntry).filter(isDefined);
}
