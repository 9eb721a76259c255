/**
 * The client of the platform's key-value service, which uses etcd v3's HTTP/JSON gateway.
 *
 * @module
 */

import { createInterface } from "node:readline";
import { err, ok, type Result } from "neverthrow";
import {
  encodeBase64,
  type EtcdWrite,
  findFailedCompare,
  type RangeResponse,
  toEntry,
  toTxnRequest,
  type TxnResponse,
  type WatchResponse,
} from "./etcd_codec.ts";
import {
  type Entry,
  KeyValue,
  type Listing,
  prefixEnd,
  type PutOptions,
  type StoreError,
  type StorePurpose,
  type Watch,
  type WatchEvent,
  type Write,
} from "./key_value.ts";
import {
  type PlatformAnswer,
  PlatformClient,
  type PlatformOptions,
  toPlatformError,
} from "./platform_client.ts";

/** A connection to etcd. It never retries a call: the caller has to find out what a call with a lost answer did. */
export class EtcdKeyValue extends KeyValue {
  readonly #client: PlatformClient;
  readonly #watches = new Set<Watch>();

  constructor(options: PlatformOptions) {
    super();
    this.#client = new PlatformClient(options);
  }

  async get(
    key: string,
    purpose: StorePurpose,
  ): Promise<Result<Entry | undefined, StoreError>> {
    const answer = await this.#call<RangeResponse>(
      "/v3/kv/range",
      { key: encodeBase64(key) },
      purpose,
    );
    return answer.map(({ kvs }) => kvs?.[0] && toEntry(kvs[0]));
  }

  async list(
    prefix: string,
    options: { readonly fromKey?: string; readonly limit?: number },
    purpose: StorePurpose,
  ): Promise<Result<Listing, StoreError>> {
    const answer = await this.#call<RangeResponse>("/v3/kv/range", {
      key: encodeBase64(options.fromKey ?? prefix),
      range_end: encodeBase64(prefixEnd(prefix)),
      limit: String(options.limit ?? 0),
    }, purpose);
    return answer.map(({ header, kvs, more }) => ({
      entries: (kvs ?? []).map(toEntry),
      rev: Number(header?.revision ?? 0),
      more: more ?? false,
    }));
  }

  put(
    key: string,
    value: string,
    options: PutOptions,
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>> {
    return this.#transact([{ type: "put", key, value, ...options }], purpose);
  }

  transact(
    writes: readonly Write[],
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>> {
    return this.#transact(writes, purpose);
  }

  async grant(
    ttlMs: number,
    purpose: StorePurpose,
  ): Promise<Result<string, StoreError>> {
    const answer = await this.#call<{ ID: string }>("/v3/lease/grant", {
      TTL: String(Math.ceil(ttlMs / 1000)),
      ID: "0",
    }, purpose);
    return answer.map(({ ID }) => ID);
  }

  async keepAlive(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>> {
    const answer = await this.#call<{ result?: { TTL?: string } }>(
      "/v3/lease/keepalive",
      { ID: leaseId },
      purpose,
    );
    // For an expired lease etcd answers a TTL of 0, which the gateway omits.
    return answer.andThen(({ result }): Result<void, StoreError> =>
      Number(result?.TTL ?? 0) > 0
        ? ok(undefined)
        : err({ kind: "leaseGone", message: `lease ${leaseId} has lapsed` })
    );
  }

  async revoke(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>> {
    const answer = await this.#call(
      "/v3/lease/revoke",
      { ID: leaseId },
      purpose,
    );
    return answer.map(() => undefined);
  }

  watch(
    prefix: string,
    fromRev: number,
    onEvent: (event: WatchEvent) => void,
    purpose: StorePurpose,
  ): Watch {
    this.countCall(purpose);
    const stream = this.#client.stream("/v3/watch", {
      create_request: {
        key: encodeBase64(prefix),
        range_end: encodeBase64(prefixEnd(prefix)),
        start_revision: String(fromRev),
      },
    });
    let isOpen = true;
    const end = (message?: string) => {
      if (!isOpen) return;
      isOpen = false;
      this.#watches.delete(watch);
      lines.close();
      stream.destroy();
      if (message !== undefined) onEvent({ type: "lost", message });
    };
    const lines = createInterface({ input: stream });
    const watch = { close: () => end() };
    this.#watches.add(watch);
    lines.on("line", (line) => {
      if (isOpen) readWatchLine(line, onEvent, end);
    });
    lines.on("close", () => end("the stream ended"));
    // The line reader emits the stream's error again. An unhandled error event of either would end the process.
    for (const source of [stream, lines]) {
      source.on("error", (error: Error) => end(error.message));
    }
    return watch;
  }

  close(): Promise<void> {
    for (const watch of [...this.#watches]) watch.close();
    this.#client.close();
    return Promise.resolve();
  }

  async #transact(
    writes: readonly EtcdWrite[],
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>> {
    const answer = await this.#call<TxnResponse>(
      "/v3/kv/txn",
      toTxnRequest(writes),
      purpose,
    );
    return answer.andThen((txn): Result<number, StoreError> => {
      if (txn.succeeded) return ok(Number(txn.header?.revision ?? 0));
      const { key, current } = findFailedCompare(writes, txn);
      const message = `${key} has changed`;
      return err({ kind: "conflict", message, current });
    });
  }

  async #call<T>(
    path: string,
    body: unknown,
    purpose: StorePurpose,
  ): Promise<Result<T, StoreError>> {
    this.countCall(purpose);
    const answer = await this.#client.call("POST", path, body);
    return answer.andThen((response: PlatformAnswer): Result<T, StoreError> => {
      if (response.status !== 200) return err(toPlatformError(response));
      // Each answer is an object; one without a length may have broken off before it.
      return response.body instanceof Object
        ? ok(response.body as T)
        : err({ kind: "lost", message: "the answer broke off" });
    });
  }
}

function readWatchLine(
  line: string,
  onEvent: (event: WatchEvent) => void,
  end: (message: string) => void,
): void {
  if (line.trim() === "") return;
  let response: WatchResponse;
  try {
    response = JSON.parse(line) as WatchResponse;
  } catch {
    return end("a line of the stream is not JSON");
  }
  if (!response.result) return end(response.error?.message ?? "no result");
  for (const { type, kv } of response.result.events ?? []) {
    const entry = toEntry(kv);
    if (type === "DELETE") {
      onEvent({ type: "delete", key: entry.key, rev: entry.rev });
    } else onEvent({ type: "put", entry });
  }
  if (response.result.canceled) {
    end(`canceled; compacted up to ${response.result.compact_revision}`);
  }
}
