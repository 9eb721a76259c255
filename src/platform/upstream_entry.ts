/**
 * What an upstream says of itself in the store, decoded.
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

/**
 * Decodes the entry of the upstream `id`. An entry may come from another writer; it then names no upstream.
 * Throws {@link RecordError}.
 */
export function decodeUpstream(id: string, text: string): UpstreamRecord {
  const record = parseRecord(text);
  const { host, port } = splitAddress(stringField(record, "address"));
  const bornMs = numberField(record, "born", 0);
  return {
    id,
    // The same id may start again and then knows nothing of before; the start time tells the two apart.
    key: `${id}@${bornMs}`,
    service: stringField(record, "service"),
    host,
    port,
    failureDomain: stringField(record, "zone"),
    slots: numberField(record, "slots"),
    state: stateField(record),
    coldLeftMs: numberField(record, "cold_left_ms", 0),
  };
}
