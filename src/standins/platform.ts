/**
 * A small stand-in for the platform: the key-value service, the weight store, the callers' directory and the VM list,
 * which may lag, with a control interface for faults. It stores nothing on disk.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import Router from "@koa/router";
import Koa from "koa";
import { z } from "zod";
import { decodeBase64 } from "../adapters/etcd_codec.ts";
import type { ListedVm } from "../adapters/platform.ts";
import {
  type PlatformFault,
  PlatformFaults,
  platformFaultSchema,
  RateLimit,
} from "./platform_faults.ts";
import {
  EtcdGateway,
  type EtcdResponse,
  makeEtcdError,
  type WatchRequest,
} from "./etcd_gateway.ts";
import { PlatformStore, type StoreCopy } from "./platform_store.ts";

/** Settings of the stand-in; every field has a default. */
export interface PlatformSettings {
  readonly port?: number;
  readonly host?: string;
  readonly writesPerS?: number;
  /** Each open watch uses one read a second of this rate. */
  readonly readsPerS?: number;
  readonly weightWritesPerS?: number;
  /** Age of the list that `GET /vms` returns. */
  readonly listLagMs?: number;
}

/** Counts of the calls to the stand-in, as `GET /counts` returns them. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  limited: number;
  watchesOpened: number;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;

interface CallTarget {
  readonly key: string;
  readonly isWrite: boolean;
}

/** The stand-in's server; see {@link openPlatform}. */
export class Platform {
  readonly store = new PlatformStore(() => performance.now());
  readonly faults = new PlatformFaults();
  readonly counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    limited: 0,
    watchesOpened: 0,
  };
  readonly weights = new Map<string, unknown>();
  readonly directory = new Map<string, unknown>();
  readonly #settings: PlatformSettings;
  readonly #etcd = new EtcdGateway(this.store);
  readonly #copies = new Map<string, StoreCopy>();
  readonly #reads: RateLimit;
  readonly #writes: RateLimit;
  readonly #weightWrites: RateLimit;
  readonly #server: Server;
  readonly #leaseTimer;
  #vms: readonly ListedVm[] = [];

  constructor(settings: PlatformSettings) {
    this.#settings = settings;
    const nowMs = () => performance.now();
    this.#reads = new RateLimit(settings.readsPerS ?? 2000, nowMs);
    this.#writes = new RateLimit(settings.writesPerS ?? 400, nowMs);
    this.#weightWrites = new RateLimit(settings.weightWritesPerS ?? 10, nowMs);
    const app = new Koa();
    app.silent = true;
    app.use(this.#createRouter().routes());
    this.#server = createServer(app.callback());
    this.#leaseTimer = setInterval(() => this.store.expireLeases(), 50);
  }

  /** Base URL. */
  get url(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `http://${address}:${port}`;
  }

  listen(): Promise<void> {
    const { port = 0, host = "127.0.0.1" } = this.#settings;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Replaces the VM list; callers see it after the list's lag. */
  setVms(vms: readonly ListedVm[]): void {
    const lagMs = this.#settings.listLagMs ?? 0;
    if (lagMs === 0) this.#vms = vms;
    else setTimeout(() => void (this.#vms = vms), lagMs).unref();
  }

  /** Saves a copy of the key-value store under a name. */
  saveCopy(name: string): void {
    this.#copies.set(name, this.store.copy());
  }

  /** Restores a saved copy; returns false if there is none of this name. */
  restoreCopy(name: string): boolean {
    const copy = this.#copies.get(name);
    if (copy) this.store.restore(copy);
    return copy !== undefined;
  }

  close(): Promise<void> {
    clearInterval(this.#leaseTimer);
    this.#server.closeAllConnections();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #createRouter(): Router {
    const router = new Router();
    this.#addStoreRoutes(router);
    this.#addPlatformRoutes(router);
    this.#addControlRoutes(router);
    return router;
  }

  #addStoreRoutes(router: Router): void {
    const etcd = this.#etcd;
    this.#addStoreCall(
      router,
      "/v3/kv/range",
      etcd.range.bind(etcd),
      rangeTarget,
    );
    this.#addStoreCall(router, "/v3/kv/txn", etcd.txn.bind(etcd), txnTarget);
    this.#addStoreCall(router, "/v3/lease/grant", etcd.grant.bind(etcd));
    this.#addStoreCall(
      router,
      "/v3/lease/keepalive",
      etcd.keepAlive.bind(etcd),
    );
    this.#addStoreCall(router, "/v3/lease/revoke", etcd.revoke.bind(etcd));
    router.post("/v3/watch", async (context) => {
      const request = await readJson(context.req) as WatchRequest;
      const vmId = parseVmId(context.req);
      const prefix = decodeBase64(request.create_request.key);
      if (this.faults.isCutOff(vmId, prefix)) return dropConnection(context);
      if (!this.#tryTake(false)) {
        return sendResponse(context, tooManyRequests());
      }
      context.respond = false;
      this.counts.watchesOpened++;
      const endWatch = this.#etcd.watch(request, context.res);
      const stopFaultListener = this.faults.onChange(() => {
        if (this.faults.isCutOff(vmId, prefix)) context.res.destroy();
      });
      context.res.on("close", () => {
        endWatch();
        stopFaultListener();
      });
    });
  }

  #addPlatformRoutes(router: Router): void {
    router.get("/vms", async (context) => {
      if (await this.#applyFault(context, { key: "", isWrite: false })) return;
      context.body = { vms: this.#vms };
    });
    router.put("/weights/:service/:region", async (context) => {
      const body = await readJson(context.req);
      if (await this.#applyFault(context, { key: "", isWrite: false })) return;
      if (!this.#weightWrites.tryTake()) {
        return sendResponse(context, tooManyRequests());
      }
      const { service, region } = context.params;
      this.weights.set(`${service}/${region}`, body);
      context.body = {};
    });
    router.put("/directory/:region", async (context) => {
      const body = await readJson(context.req);
      if (await this.#applyFault(context, { key: "", isWrite: false })) return;
      this.directory.set(context.params.region, body);
      context.body = {};
    });
    router.get("/directory", (context) => {
      context.body = Object.fromEntries(this.directory);
    });
    router.get("/weights", (context) => {
      context.body = Object.fromEntries(this.weights);
    });
  }

  #addControlRoutes(router: Router): void {
    const faultsBody = z.strictObject({ faults: z.array(platformFaultSchema) });
    router.post("/faults", async (context) => {
      const body = faultsBody.safeParse(await readJson(context.req));
      if (!body.success) {
        return sendResponse(context, badRequest(body.error.message));
      }
      this.faults.set(body.data.faults);
      context.body = {};
    });
    router.post("/save/:name", (context) => {
      this.saveCopy(context.params.name);
      context.body = {};
    });
    router.post("/restore/:name", (context) => {
      context.status = this.restoreCopy(context.params.name) ? 200 : 404;
      context.body = {};
    });
    router.post("/vms", async (context) => {
      const { vms } = await readJson(context.req) as { vms: ListedVm[] };
      this.setVms(vms);
      context.body = {};
    });
    router.get("/counts", (context) => {
      context.body = { ...this.counts, watches: this.store.watchCount };
    });
  }

  #addStoreCall<T>(
    router: Router,
    path: string,
    run: (request: T) => EtcdResponse,
    getTarget: (request: T) => CallTarget = () => ({ key: "", isWrite: true }),
  ): void {
    router.post(path, async (context) => {
      const request = await readJson(context.req) as T;
      const target = getTarget(request);
      const fault = this.faults.take(
        parseVmId(context.req),
        target.key,
        target.isWrite,
      );
      if (fault.outage === "cut") return dropConnection(context);
      if (fault.outage === "refuse") return sendResponse(context, noLeader());
      if (!this.#tryTake(target.isWrite)) {
        return sendResponse(context, tooManyRequests());
      }
      if (fault.slowMs > 0) await sleep(fault.slowMs);
      const result = run(request);
      if (fault.loseAnswer) dropConnection(context);
      else sendResponse(context, result);
    });
  }

  /** Applies a delay or an outage to a call that does not touch the store; returns true if an outage ended the call. */
  async #applyFault(
    context: Koa.Context,
    target: CallTarget,
  ): Promise<boolean> {
    const fault = this.faults.take(
      parseVmId(context.req),
      target.key,
      target.isWrite,
    );
    if (fault.slowMs > 0) await sleep(fault.slowMs);
    if (fault.outage === "cut") dropConnection(context);
    else if (fault.outage === "refuse") sendResponse(context, noLeader());
    return fault.outage !== undefined;
  }

  #tryTake(isWrite: boolean): boolean {
    if (isWrite) this.counts.writes++;
    else this.counts.reads++;
    const isAllowed = isWrite
      ? this.#writes.tryTake()
      : this.#reads.tryTake(this.store.watchCount);
    if (!isAllowed) this.counts.limited++;
    return isAllowed;
  }
}

/** Starts a stand-in; port 0 takes a free port. */
export async function openPlatform(
  settings: PlatformSettings = {},
): Promise<Platform> {
  const platform = new Platform(settings);
  await platform.listen();
  return platform;
}

/** Sets the faults of a stand-in in another process. */
export async function postPlatformFaults(
  url: string,
  faults: readonly PlatformFault[],
): Promise<void> {
  const response = await fetch(`${url}/faults`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ faults }),
  });
  if (!response.ok) throw new Error(`POST /faults: ${response.status}`);
}

function rangeTarget(request: { readonly key: string }): CallTarget {
  return { key: decodeBase64(request.key), isWrite: false };
}

function txnTarget(
  request: {
    readonly success?: readonly {
      readonly request_put?: { readonly key: string };
      readonly request_delete_range?: { readonly key: string };
    }[];
  },
): CallTarget {
  const first = request.success?.[0];
  const key = first?.request_put?.key ?? first?.request_delete_range?.key;
  return { key: decodeBase64(key), isWrite: true };
}

function parseVmId(request: IncomingMessage): string {
  return /^ibisgapd\/(\S+)/.exec(request.headers["user-agent"] ?? "")?.[1] ??
    "";
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) throw new Error("request body is too large");
    chunks.push(chunk as Buffer);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function dropConnection(context: Koa.Context): void {
  context.respond = false;
  context.req.socket.destroy();
}

function sendResponse(
  context: Koa.Context,
  { status, body }: EtcdResponse,
): void {
  context.status = status;
  context.body = body;
}

const tooManyRequests = () =>
  makeEtcdError(429, 8, "etcdserver: too many requests");
const noLeader = () => makeEtcdError(503, 14, "etcdserver: no leader");
const badRequest = (message: string) => makeEtcdError(400, 3, message);

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
