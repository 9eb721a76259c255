/**
 * Decoding of the entries under which upstreams register themselves in the store.
 *
 * @module
 */

import type { UpstreamRecord } from "../routing/mod.ts";
import { numberField, parseRecord, RecordError, stringField } from "./keys.ts";

const ADDRESS = /^([0-9]{1,3}(?:\.[0-9]{1,3}){3}):([0-9]{1,5})$/;

/** Splits `IP:PORT`. Throws {@link RecordError}. */
export function splitAddress(address: string): { host: string; port: number } {
  const match = ADDRESS.exec(address);
  const port = Number(match?.[2]);
  if (!match || port < 1 || port > 65_535) {
    throw new RecordError("address is not IP:PORT");
  }
  return { host: match[1], port };
}

function stateField(record: Record<string, unknown>): "ready" | "draining" {
  const { state } = record;
  if (state !== "ready" && state !== "draining") {
    throw new RecordError("state is neither ready nor draining");
  }
  return state;
}

/** Decodes the version of an upstream's software; "", for an entry that names none, counts as a version of its own. */
function versionField({ version }: Record<string, unknown>): string {
  if (typeof version === "number") return String(version);
  if (typeof version !== "string") return "";
  // JSON can hold half a surrogate pair, which no header can.
  return Buffer.from(version, "utf8").toString("utf8");
}

/** Start time of upstreams whose entries tell none. */
const UNTOLD_BORN_MS = 0;

/**
 * Returns the key of one start of the upstream `id`. An upstream may restart with the same id and without its former
 * state; the start time distinguishes the two.
 */
export function upstreamKey(id: string, bornMs: number): string {
  return `${id}@${bornMs}`;
}

/** Whether the entry behind a key tells when its upstream was started. */
export function tellsBorn(
  { id, key }: Pick<UpstreamRecord, "id" | "key">,
): boolean {
  return key !== upstreamKey(id, UNTOLD_BORN_MS);
}

/**
 * Decodes the entry of the upstream `id`. Throws {@link RecordError} if the entry does not describe an upstream, which
 * can happen because others may write such entries too.
 */
export function decodeUpstream(id: string, text: string): UpstreamRecord {
  const record = parseRecord(text);
  const { host, port } = splitAddress(stringField(record, "address"));
  const bornMs = numberField(record, "born", UNTOLD_BORN_MS);
  return {
    id,
    key: upstreamKey(id, bornMs),
    service: stringField(record, "service"),
    host,
    port,
    failureDomain: stringField(record, "zone"),
    slots: numberField(record, "slots"),
    state: stateField(record),
    version: versionField(record),
    coldLeftMs: numberField(record, "cold_left_ms", 0),
  };
}
