/**
 * How ends are told between VMs.
 *
 * @module
 */

import type { EndNews } from "./end_book.ts";

/** A message between VMs. */
export interface ToldEnds {
  /** Region of the VM that tells. */
  readonly region: string;
  readonly rows: readonly EndNews[];
}

/** Rows of one message, about a kilobyte. */
export const MOST_ROWS = 20;
/** Digests and keys of upstreams are shorter; a longer text is not ours. */
const MOST_TEXT = 200;

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MOST_TEXT;
}

function isRow(value: unknown): value is EndNews {
  if (!Array.isArray(value) || value.length !== 4) return false;
  const [digest, key, agoMs, isCleared] = value;
  return isText(digest) && isText(key) && Number.isFinite(agoMs) &&
    agoMs >= 0 && typeof isCleared === "boolean";
}

/** Parts rows into messages. */
export function encodeEnds(
  region: string,
  rows: readonly EndNews[],
): ToldEnds[] {
  const messages: ToldEnds[] = [];
  for (let at = 0; at < rows.length; at += MOST_ROWS) {
    messages.push({ region, rows: rows.slice(at, at + MOST_ROWS) });
  }
  return messages;
}

/** Reads a message; `undefined` if it is none. */
export function decodeEnds(params: unknown): ToldEnds | undefined {
  const told = params as Partial<ToldEnds> | null;
  if (!isText(told?.region) || !Array.isArray(told.rows)) return undefined;
  return { region: told.region, rows: told.rows.filter(isRow) };
}
