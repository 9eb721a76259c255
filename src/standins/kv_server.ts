/**
 * A stand-in for the store of the users' platform: its HTTP interface on top of a {@link PlatformStore}, with faults.
 *
 * @module
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { prefixEnd } from "../adapters/mod.ts";
import { PlatformFaults, RateLimit } from "./platform_faults.ts";
import {
  PlatformStore,
  type StoreChange,
  type StoreCopy,
  type StoredEntry,
} from "./platform_store.ts";

/** Items of one page; small, so that listings in tests have several pages. */
const PAGE_ITEMS = 50;
const MAX_TXN_ENTRIES = 32;

/** Settings of the stand-in. */
export interface KvServerOptions {
  readonly writesPerS?: number;
  readonly readsPerS?: number;
}

function formatItem({ key, value, rev, leaseId }: StoredEntry) {
  return {
    key,
    value: Buffer.from(value, "utf8").toString("base64"),
    revision: rev,
    created: rev,
    lease: Number(leaseId ?? 0),
  };
}

function formatEvent(change: StoreChange) {
  return change.type === "put"
    ? formatItem(change.entry)
    : { key: change.key, revision: change.rev, deleted: true };
}

async function readJson(
  request: IncomingMessage,
): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

interface Transaction {
  readonly precondition?: readonly { key: string; revision: number }[];
  readonly writes?: readonly { key: string; value: string; lease: number }[];
  readonly remove?: readonly string[];
}

/** Serves a {@link PlatformStore} over HTTP. Each VM gets its own address, so that faults can apply to single VMs. */
export class KvServer {
  readonly store = new PlatformStore(() => performance.now());
  readonly faults = new PlatformFaults();
  readonly #servers: Server[] = [];
  readonly #reads: RateLimit;
  readonly #writes: RateLimit;
  /** Sent in every answer; one higher after each restore. `undefined`: the header is left out. */
  era: number | undefined = 1;
  /** VMs whose calls for keys with this prefix get no answer from now on, those that wait included. */
  silence: { readonly vms: readonly string[]; readonly keyPrefix: string } = {
    vms: [],
    keyPrefix: "",
  };
  /** Calls so far, refused ones included. */
  calls = 0;
  readonly #timer = setInterval(() => this.store.expireLeases(), 20);

  constructor(options: KvServerOptions = {}) {
    const nowMs = () => performance.now();
    this.#reads = new RateLimit(options.readsPerS ?? 2000, nowMs);
    this.#writes = new RateLimit(options.writesPerS ?? 400, nowMs);
  }

  /** Opens the address that a VM calls and returns it as `IP:PORT`. */
  async openAddressFor(vmId: string): Promise<string> {
    const server = createServer((request, response) =>
      void this.#handleRequest(vmId, request, response)
    );
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    this.#servers.push(server);
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Writes a value without a lease or a precondition, as an operator or an upstream would. */
  put(key: string, value: unknown): void {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.store.transact([], [{ type: "put", key, value: text }]);
  }

  /** Removes a key, as an operator or an expired lease would. */
  remove(key: string): void {
    this.store.transact([], [{ type: "delete", key }]);
  }

  /** Comes back as of a copy: later changes and all leases are lost, and revisions are given out again. */
  restore(copy: StoreCopy): void {
    this.store.restore(copy);
    if (this.era !== undefined) this.era++;
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    for (const server of this.#servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }

  async #handleRequest(
    vmId: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.calls++;
    const url = new URL(request.url ?? "/", "http://store");
    const isWrite = request.method !== "GET" &&
      !url.pathname.startsWith("/api/kv-keep/");
    const key = url.searchParams.get("path_prefix") ??
      url.searchParams.get("key") ?? "";
    const body = await readJson(request).catch(() => undefined);
    const { outage, slowMs, loseAnswer } = this.faults.take(vmId, key, isWrite);
    if (slowMs > 0) await new Promise((resolve) => setTimeout(resolve, slowMs));
    if (outage === "cut") return void request.socket.resetAndDestroy();
    const send = (status: number, value: unknown = {}) => {
      if (this.#isSilent(vmId, key)) return;
      if (loseAnswer) return void request.socket.resetAndDestroy();
      response.writeHead(status, {
        "content-type": "application/json",
        ...(this.era === undefined ? {} : { "store-era": this.era }),
      }).end(JSON.stringify(value));
    };
    if (outage === "refuse") return send(503);
    if (body === undefined) return send(400);
    if (!(isWrite ? this.#writes : this.#reads).tryTake()) return send(429);
    if (url.pathname === "/api/kv-watch") {
      return this.#watch(vmId, url, request, send);
    }
    const [status, value] = this.#handleCall(
      request.method ?? "GET",
      url,
      body,
    );
    send(status, value);
  }

  #isSilent(vmId: string, key: string): boolean {
    const { vms, keyPrefix } = this.silence;
    return vms.includes(vmId) && key.startsWith(keyPrefix);
  }

  #handleCall(
    method: string,
    url: URL,
    body: Record<string, unknown>,
  ): [number, unknown] {
    const { pathname, searchParams } = url;
    const id = pathname.split("/").at(-1) ?? "";
    if (pathname === "/api/kv-key") {
      const entry = this.store.get(searchParams.get("key") ?? "");
      return entry
        ? [200, { ...formatItem(entry), current_rev: this.store.rev }]
        : [404, {}];
    }
    if (pathname === "/api/kv-range") {
      return [200, this.#listPage(searchParams)];
    }
    if (pathname === "/api/kv-txn") return this.#transact(body as Transaction);
    if (pathname === "/api/kv-lease") {
      return [200, {
        lease: Number(this.store.grant(Number(body.ttl_ms))),
        ttl_ms: body.ttl_ms,
      }];
    }
    if (pathname.startsWith("/api/kv-keep/")) {
      return [this.store.keepAlive(id) ? 200 : 404, {}];
    }
    if (pathname.startsWith("/api/kv-lease-end/") && method === "DELETE") {
      return [this.store.revoke(id) ? 200 : 404, {}];
    }
    return [404, {}];
  }

  #listPage(query: URLSearchParams) {
    const prefix = query.get("path_prefix") ?? "";
    const after = query.get("after");
    const from = after === null ? prefix : `${after}\0`;
    const { entries, more } = this.store.range(
      from,
      prefixEnd(prefix),
      PAGE_ITEMS,
    );
    return {
      items: entries.map(formatItem),
      more_pages: more,
      current_rev: this.store.rev,
    };
  }

  #transact(
    { precondition = [], writes = [], remove = [] }: Transaction,
  ): [number, unknown] {
    if (
      precondition.length + writes.length + remove.length > MAX_TXN_ENTRIES
    ) return [400, {}];
    const result = this.store.transact(
      precondition.map(({ key, revision }) => ({ key, rev: revision })),
      [
        ...writes.map(({ key, value, lease }) => ({
          type: "put" as const,
          key,
          value: Buffer.from(value, "base64").toString("utf8"),
          leaseId: lease > 0 ? String(lease) : undefined,
        })),
        ...remove.map((key) => ({ type: "delete" as const, key })),
      ],
    );
    if (result.type === "done") return [200, { revision: result.rev }];
    if (result.type === "leaseGone") return [404, {}];
    if (result.type === "tooLarge") return [413, {}];
    const items = precondition.map(({ key }) => this.store.get(key))
      .filter((entry) => entry !== undefined).map(formatItem);
    return [412, { items }];
  }

  /** Answers with the changes as soon as there are any; resets the connection of a VM that is cut off meanwhile. */
  #watch(
    vmId: string,
    { searchParams }: URL,
    request: IncomingMessage,
    send: (status: number, value?: unknown) => void,
  ): void {
    const prefix = searchParams.get("path_prefix") ?? "";
    const after = Number(searchParams.get("after"));
    let changes: StoreChange[] = [];
    let isDone = false;
    let stopWatch = () => {};
    const finishOnce = (respond: () => void) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      request.socket.off("close", cancelWatch);
      stopWatch();
      stopFaultListener();
      respond();
    };
    const cancelWatch = () => finishOnce(() => {});
    const sendChanges = () =>
      finishOnce(() =>
        send(200, {
          events: changes.map(formatEvent),
          current_rev: this.store.rev,
        })
      );
    const timer = setTimeout(sendChanges, Number(searchParams.get("wait_ms")));
    const stopFaultListener = this.faults.onChange(() => {
      if (this.faults.isCutOff(vmId, prefix)) {
        finishOnce(() => void request.socket.resetAndDestroy());
      }
    });
    request.socket.once("close", cancelWatch);
    stopWatch = this.store.watch(
      prefix,
      after + 1,
      (change) => {
        changes = [...changes, change];
        setImmediate(sendChanges);
      },
      () => finishOnce(() => send(410)),
    );
    if (isDone) stopWatch();
  }
}
