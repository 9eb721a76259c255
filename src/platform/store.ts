/**
 * Client of the platform's key-value service over HTTP.
 *
 * @module
 */

import { Agent } from "node:http";
import { err, ok, type Result } from "neverthrow";
import {
  type Entry,
  KeyValue,
  type Listing,
  type PutOptions,
  type StoreError,
  type StorePurpose,
  type Watch,
  type WatchEvent,
  type Write,
} from "../adapters/mod.ts";
import {
  callStore,
  storeError,
  type StoreMethod,
  type StoreResponse,
} from "./store_call.ts";
import {
  decodeChanges,
  decodeConflict,
  decodeEntry,
  decodeLease,
  decodePage,
  decodeRevision,
  encodeValue,
  encodeWrites,
} from "./store_wire.ts";

/** How long one poll for changes may wait at the store; short, so that a silent connection is detected soon. */
const WATCH_WAIT_MS = 3_000;
/** Maximum connections; further concurrent calls wait for a free one. */
const MAX_CONNECTIONS = 6;

/** Changes after a revision. */
export interface Changes {
  readonly events: readonly WatchEvent[];
  /** Revision after which to ask next. */
  readonly rev: number;
  /** See {@link Listing.generation}. */
  readonly generation?: number | undefined;
}

/** A failed poll for changes; `compacted` means that the history is gone and all keys must be listed again. */
export type ChangesError = StoreError | {
  readonly kind: "compacted";
  readonly message: string;
};

const SHORT_ANSWER = storeError("lost", "the answer broke off");

/** Client of the platform's store. `address` is `IP:PORT`. */
export class PlatformKeyValue extends KeyValue {
  readonly #host: string;
  readonly #port: number;
  readonly #agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_CONNECTIONS,
    scheduling: "lifo",
  });

  #generation: number | undefined;

  constructor(address: string) {
    super();
    const colon = address.lastIndexOf(":");
    this.#host = address.slice(0, colon);
    this.#port = Number(address.slice(colon + 1));
  }

  override get generation(): number | undefined {
    return this.#generation;
  }

  async get(key: string, purpose: StorePurpose) {
    const answer = await this.#call(
      "GET",
      `/api/kv-key?key=${encodeURIComponent(key)}`,
      undefined,
      purpose,
    );
    if (answer.isErr()) return err(answer.error);
    if (answer.value.status === 404) return ok(undefined);
    return this.#decodeOk(answer.value, decodeEntry);
  }

  async list(
    prefix: string,
    options: { readonly fromKey?: string; readonly limit?: number },
    purpose: StorePurpose,
  ): Promise<Result<Listing, StoreError>> {
    const entries: Entry[] = [];
    const limit = options.limit ?? Infinity;
    let rev: number | undefined;
    let generation: number | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await this.#listPage(prefix, after, purpose);
      if (page.isErr()) return err(page.error);
      if (rev !== undefined && page.value.generation !== generation) {
        return err(storeError("unavailable", "restored between two pages"));
      }
      generation = page.value.generation;
      // Pages are not a snapshot. Watching from the first page's revision repeats what changed between the pages.
      rev ??= page.value.rev;
      const fromKey = options.fromKey ?? "";
      entries.push(...page.value.entries.filter(({ key }) => key >= fromKey));
      after = page.value.lastKey;
      if (entries.length > limit) {
        return ok({
          entries: entries.slice(0, limit),
          rev,
          more: true,
          generation,
        });
      }
      if (!page.value.more) {
        return ok({ entries, rev, more: false, generation });
      }
    }
  }

  /** Returns the changes under `prefix` after `afterRev`. The store waits up to `waitMs` until there are any. */
  async changes(
    prefix: string,
    afterRev: number,
    waitMs: number,
    purpose: StorePurpose,
  ): Promise<Result<Changes, ChangesError>> {
    const path = `/api/kv-watch?path_prefix=${encodeURIComponent(prefix)}` +
      `&after=${afterRev}&wait_ms=${Math.round(waitMs)}`;
    const answer = await this.#call("GET", path, undefined, purpose, waitMs);
    if (answer.isErr()) return err(answer.error);
    const { status, generation } = answer.value;
    if (status === 410) {
      return err({ kind: "compacted", message: "history is gone" });
    }
    return this.#decodeOk(answer.value, decodeChanges).map((changes) => ({
      events: changes.events,
      rev: Math.max(afterRev, changes.rev),
      generation,
    }));
  }

  async put(
    key: string,
    value: string,
    options: PutOptions,
    purpose: StorePurpose,
  ) {
    return await this.#transact(
      options.ifRev === undefined ? [] : [{ key, revision: options.ifRev }],
      [{ key, value: encodeValue(value), lease: Number(options.leaseId ?? 0) }],
      [],
      purpose,
    );
  }

  async transact(writes: readonly Write[], purpose: StorePurpose) {
    const { precondition, changes, removed } = encodeWrites(writes);
    return await this.#transact(precondition, changes, removed, purpose);
  }

  async grant(ttlMs: number, purpose: StorePurpose) {
    const answer = await this.#call("POST", "/api/kv-lease", {
      ttl_ms: Math.round(ttlMs),
    }, purpose);
    if (answer.isErr()) return err(answer.error);
    return this.#decodeOk(answer.value, decodeLease);
  }

  async keepAlive(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>> {
    const answer = await this.#call(
      "POST",
      `/api/kv-keep/${leaseId}`,
      undefined,
      purpose,
    );
    if (answer.isErr()) return err(answer.error);
    if (answer.value.status === 404) {
      return err(storeError("leaseGone", "the lease has ended"));
    }
    return this.#checkStatus(answer.value);
  }

  async revoke(
    leaseId: string,
    purpose: StorePurpose,
  ): Promise<Result<void, StoreError>> {
    const answer = await this.#call(
      "DELETE",
      `/api/kv-lease-end/${leaseId}`,
      undefined,
      purpose,
    );
    if (answer.isErr()) return err(answer.error);
    if (answer.value.status === 404) return ok(undefined);
    return this.#checkStatus(answer.value);
  }

  watch(
    prefix: string,
    fromRev: number,
    onEvent: (event: WatchEvent) => void,
    purpose: StorePurpose,
  ): Watch {
    let isOpen = true;
    const poll = async () => {
      let afterRev = fromRev - 1;
      while (isOpen) {
        const changes = await this.changes(
          prefix,
          afterRev,
          WATCH_WAIT_MS,
          purpose,
        );
        if (!isOpen) return;
        if (changes.isErr()) {
          onEvent({ type: "lost", message: changes.error.message });
          return;
        }
        afterRev = changes.value.rev;
        for (const event of changes.value.events) onEvent(event);
      }
    };
    void poll();
    return { close: () => void (isOpen = false) };
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }

  async #listPage(
    prefix: string,
    after: string | undefined,
    purpose: StorePurpose,
  ) {
    const path = `/api/kv-range?path_prefix=${encodeURIComponent(prefix)}` +
      (after === undefined ? "" : `&after=${encodeURIComponent(after)}`);
    const answer = await this.#call("GET", path, undefined, purpose);
    if (answer.isErr()) return err(answer.error);
    const { generation } = answer.value;
    return this.#decodeOk(answer.value, decodePage).map((page) => ({
      ...page,
      generation,
    }));
  }

  async #transact(
    precondition: readonly { key: string; revision: number }[],
    writes: readonly { key: string; value: string; lease: number }[],
    remove: readonly string[],
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>> {
    const answer = await this.#call("POST", "/api/kv-txn", {
      precondition,
      writes,
      remove,
    }, purpose);
    if (answer.isErr()) return err(answer.error);
    const { status, body } = answer.value;
    if (status === 412) {
      const entries = decodeConflict(body);
      if (!entries) return err(SHORT_ANSWER);
      return err({
        kind: "conflict",
        message: "the precondition does not hold",
        current: entries[0],
      });
    }
    if (status === 404) {
      return err(storeError("leaseGone", "there is no such lease"));
    }
    return this.#decodeOk(answer.value, decodeRevision);
  }

  /** Decodes the body of a success; a short one is as good as none. */
  #decodeOk<T>(
    answer: StoreResponse,
    decode: (body: unknown) => T | undefined,
  ): Result<T, StoreError> {
    return this.#checkStatus(answer).andThen((): Result<T, StoreError> => {
      const value = decode(answer.body);
      return value === undefined ? err(SHORT_ANSWER) : ok(value);
    });
  }

  #checkStatus({ status }: StoreResponse): Result<void, StoreError> {
    if (status === 200) return ok(undefined);
    if (status === 429) {
      return err(storeError("limited", "the store's rate limit is reached"));
    }
    if (status === 413) {
      return err({ kind: "tooLarge", message: "the value is too large" });
    }
    return err(storeError("unavailable", `the store answered ${status}`));
  }

  #call(
    method: StoreMethod,
    path: string,
    body: unknown,
    purpose: StorePurpose,
    extraWaitMs = 0,
  ): Promise<Result<StoreResponse, StoreError>> {
    this.countCall(purpose);
    return callStore({
      agent: this.#agent,
      host: this.#host,
      port: this.#port,
      method,
      path,
      body,
      extraWaitMs,
      onGeneration: (generation) => {
        this.#generation = Math.max(this.#generation ?? 0, generation);
      },
    });
  }
}
