/**
 * Encodes and decodes the messages in which VMs report crashes to each other.
 *
 * @module
 */

import type { CrashRow } from "./crash.ts";

/** A message in which a VM reports crashes to another. */
export interface CrashMessage {
  /** Region of the VM that sends the message. */
  readonly region: string;
  readonly rows: readonly CrashRow[];
}

/** Maximum number of rows in one message, which is about a kilobyte. */
export const MAX_ROWS = 20;
/** Digests and keys of upstreams are shorter; a longer text comes from another program. */
const MAX_TEXT_LENGTH = 200;

function isShortText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}

function isRow(value: unknown): value is CrashRow {
  if (!Array.isArray(value) || value.length !== 4) return false;
  const [digest, key, agoMs, isCleared] = value;
  return isShortText(digest) && isShortText(key) && Number.isFinite(agoMs) &&
    agoMs >= 0 && typeof isCleared === "boolean";
}

/** Splits rows into messages. */
export function encodeCrashes(
  region: string,
  rows: readonly CrashRow[],
): CrashMessage[] {
  const messages: CrashMessage[] = [];
  for (let start = 0; start < rows.length; start += MAX_ROWS) {
    messages.push({ region, rows: rows.slice(start, start + MAX_ROWS) });
  }
  return messages;
}

/** Decodes a message; `undefined` if `params` is not one. */
export function decodeCrashes(params: unknown): CrashMessage | undefined {
  const message = params as Partial<CrashMessage> | null;
  if (!isShortText(message?.region) || !Array.isArray(message.rows)) {
    return undefined;
  }
  return { region: message.region, rows: message.rows.filter(isRow) };
}
