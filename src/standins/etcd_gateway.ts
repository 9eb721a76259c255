/**
 * The subset of etcd v3's HTTP/JSON gateway that the platform's stand-in serves.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { decodeBase64, encodeBase64 } from "../adapters/etcd_codec.ts";
import type {
  PlatformStore,
  StoreChange,
  StoredEntry,
} from "./platform_store.ts";

/** An HTTP status with its JSON body. */
export interface EtcdResponse {
  readonly status: number;
  readonly body: unknown;
}

interface RangeRequest {
  readonly key: string;
  readonly range_end?: string;
  readonly limit?: string;
}

interface TxnRequest {
  readonly compare?: readonly {
    readonly key: string;
    readonly mod_revision: string;
  }[];
  readonly success?: readonly {
    readonly request_put?: {
      readonly key: string;
      readonly value: string;
      readonly lease?: string;
    };
    readonly request_delete_range?: { readonly key: string };
  }[];
  readonly failure?: readonly { readonly request_range?: RangeRequest }[];
}

/** The body of `/v3/watch`. */
export interface WatchRequest {
  readonly create_request: {
    readonly key: string;
    readonly start_revision?: string;
  };
}

/** Makes an error response of etcd's gateway; `code` is the gRPC code. */
export function makeEtcdError(
  status: number,
  code: number,
  message: string,
): EtcdResponse {
  return { status, body: { code, message, error: message } };
}

/** Maximum number of operations in one transaction, as in etcd. */
const MAX_TXN_OPERATIONS = 128;

/** Answers calls of etcd's gateway from a {@link PlatformStore}. */
export class EtcdGateway {
  readonly #store: PlatformStore;

  constructor(store: PlatformStore) {
    this.#store = store;
  }

  range(request: RangeRequest): EtcdResponse {
    const key = decodeBase64(request.key);
    const limit = Number(request.limit ?? 0) || Infinity;
    const end = request.range_end
      ? decodeBase64(request.range_end)
      : `${key}\0`;
    const { entries, more } = this.#store.range(key, end, limit);
    const kvs = entries.map(formatPair);
    return this.#makeResponse({ kvs, more, count: String(kvs.length) });
  }

  txn(request: TxnRequest): EtcdResponse {
    const success = request.success ?? [];
    if (success.length > MAX_TXN_OPERATIONS) {
      return makeEtcdError(400, 3, "etcdserver: too many operations");
    }
    const compares = (request.compare ?? []).map((compare) => ({
      key: decodeBase64(compare.key),
      rev: Number(compare.mod_revision),
    }));
    const writes = success.map(({ request_put, request_delete_range }) =>
      request_put
        ? {
          type: "put" as const,
          key: decodeBase64(request_put.key),
          value: decodeBase64(request_put.value),
          leaseId: parseLeaseId(request_put.lease),
        }
        : {
          type: "delete" as const,
          key: decodeBase64(request_delete_range!.key),
        }
    );
    const result = this.#store.transact(compares, writes);
    switch (result.type) {
      case "done":
        return this.#makeResponse({ succeeded: true });
      case "conflict":
        return this.#makeResponse({
          responses: this.#readFailureRanges(request),
        });
      case "leaseGone":
        return makeLeaseNotFound();
      case "tooLarge":
        return makeEtcdError(400, 3, "etcdserver: request is too large");
    }
  }

  grant(request: { readonly TTL: string }): EtcdResponse {
    const ID = this.#store.grant(Number(request.TTL) * 1000);
    return this.#makeResponse({ ID, TTL: request.TTL });
  }

  keepAlive(request: { readonly ID: string }): EtcdResponse {
    const alive = this.#store.keepAlive(request.ID);
    const result = { ID: request.ID, ...(alive ? { TTL: "1" } : {}) };
    return { status: 200, body: { result } };
  }

  revoke(request: { readonly ID: string }): EtcdResponse {
    return this.#store.revoke(request.ID)
      ? this.#makeResponse({})
      : makeLeaseNotFound();
  }

  /** Streams changes to `response` as NDJSON until it closes; returns a function that ends the watch. */
  watch(request: WatchRequest, response: ServerResponse): () => void {
    const { key, start_revision } = request.create_request;
    const prefix = decodeBase64(key);
    const send = (result: unknown) =>
      response.write(`${JSON.stringify({ result })}\n`);
    const fromRev = Number(start_revision ?? 0) || this.#store.rev + 1;
    response.writeHead(200, { "content-type": "application/json" });
    send({ header: this.#responseHeader(), created: true });
    return this.#store.watch(
      prefix,
      fromRev,
      (change) =>
        send({ header: this.#responseHeader(), events: [formatEvent(change)] }),
      () => {
        const compact_revision = String(this.#store.rev);
        send({
          header: this.#responseHeader(),
          canceled: true,
          compact_revision,
        });
        response.end();
      },
    );
  }

  #readFailureRanges(request: TxnRequest): unknown[] {
    return (request.failure ?? []).map(({ request_range }) => ({
      response_range: this.range(request_range!).body,
    }));
  }

  #responseHeader() {
    return { revision: String(this.#store.rev) };
  }

  #makeResponse(body: Record<string, unknown>): EtcdResponse {
    return { status: 200, body: { header: this.#responseHeader(), ...body } };
  }
}

function makeLeaseNotFound(): EtcdResponse {
  return makeEtcdError(404, 5, "etcdserver: requested lease not found");
}

function parseLeaseId(lease: string | undefined): string | undefined {
  return lease === undefined || lease === "0" ? undefined : lease;
}

function formatPair(entry: StoredEntry) {
  return {
    key: encodeBase64(entry.key),
    value: encodeBase64(entry.value),
    mod_revision: String(entry.rev),
  };
}

function formatEvent(change: StoreChange) {
  if (change.type === "put") return { kv: formatPair(change.entry) };
  const kv = {
    key: encodeBase64(change.key),
    mod_revision: String(change.rev),
  };
  return { type: "DELETE", kv };
}
