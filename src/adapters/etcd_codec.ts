/**
 * The messages of etcd v3's HTTP/JSON gateway that ibisgap uses. Keys and values are base64, 64-bit integers are
 * strings.
 *
 * @module
 */

import type { Entry, PutOptions, Write } from "./key_value.ts";

/** A key-value pair as the gateway sends it. */
export interface EtcdPair {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision?: string;
}

/** The header of every response. */
export interface EtcdHeader {
  readonly revision?: string;
}

/** The response of `/v3/kv/range`. */
export interface RangeResponse {
  readonly header?: EtcdHeader;
  readonly kvs?: readonly EtcdPair[];
  readonly more?: boolean;
}

/** The response of `/v3/kv/txn`. */
export interface TxnResponse {
  readonly header?: EtcdHeader;
  readonly succeeded?: boolean;
  readonly responses?: readonly { readonly response_range?: RangeResponse }[];
}

/** One line of the response of `/v3/watch`. */
export interface WatchResponse {
  readonly result?: {
    readonly canceled?: boolean;
    readonly compact_revision?: string;
    readonly events?: readonly {
      /** The gateway omits `PUT`, which is the enumeration's default. */
      readonly type?: "PUT" | "DELETE";
      readonly kv: EtcdPair;
    }[];
  };
  readonly error?: { readonly message?: string };
}

/** Encodes text as base64 of its UTF-8 bytes. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes base64 to text; `undefined` gives an empty text. */
export function decodeBase64(base64: string | undefined): string {
  return Buffer.from(base64 ?? "", "base64").toString("utf8");
}

/** Converts a pair to an {@link Entry}. */
export function toEntry(pair: EtcdPair): Entry {
  return {
    key: decodeBase64(pair.key),
    value: decodeBase64(pair.value),
    rev: Number(pair.mod_revision ?? 0),
  };
}

/** A {@link Write} that may be bound to a lease. */
export type EtcdWrite = Write & Pick<PutOptions, "leaseId">;

/**
 * Builds the request of `/v3/kv/txn`. If a compare fails, the transaction reads the compared keys, so that the writer
 * gets the stored entries.
 */
export function toTxnRequest(writes: readonly EtcdWrite[]): unknown {
  const compared = writes.filter((write) => write.ifRev !== undefined);
  return {
    compare: compared.map((write) => ({
      key: encodeBase64(write.key),
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(write.ifRev),
    })),
    success: writes.map((write) =>
      write.type === "delete"
        ? { request_delete_range: { key: encodeBase64(write.key) } }
        : {
          request_put: {
            key: encodeBase64(write.key),
            value: encodeBase64(write.value),
            lease: write.leaseId ?? "0",
          },
        }
    ),
    failure: compared.map((write) => ({
      request_range: { key: encodeBase64(write.key) },
    })),
  };
}

/** Finds the key whose compare failed and its stored entry in the response to {@link toTxnRequest}. */
export function findFailedCompare(
  writes: readonly EtcdWrite[],
  response: TxnResponse,
): { readonly key: string; readonly current?: Entry } {
  const compared = writes.filter((write) => write.ifRev !== undefined);
  for (const [i, write] of compared.entries()) {
    const pair = response.responses?.[i]?.response_range?.kvs?.[0];
    const current = pair && toEntry(pair);
    if ((current?.rev ?? 0) !== write.ifRev) return { key: write.key, current };
  }
  return { key: compared[0]?.key ?? "" };
}
