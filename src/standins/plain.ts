/**
 * A stand-in for a plain HTTP service, such as a photo portal or a departure log. It takes any path, method and body,
 * and records each run.
 *
 * It answers `{"service", "run", "method", "path", "idempotencyKey", "bodyDigest", "bytes"}`; a caller compares the
 * digest with the digest of the body that it sent.
 *
 * @module
 */

import Koa, { type Context } from "koa";
import { secretDigest } from "../base/mod.ts";
import { Faults, type PlainFault, plainFaultSchema } from "./faults.ts";
import {
  createControlRouter,
  getHeader,
  listen,
  listenControl,
  type Listener,
  type ListenOptions,
  readBody,
  sendError,
} from "./http.ts";
import { type RunRecord, RunRecords } from "./records.ts";

/** Settings of a stand-in plain service. */
export interface PlainServiceOptions extends ListenOptions {
  readonly name?: string;
  /** Duration of a run. */
  readonly runMs?: number;
}

const DEFAULT_RUN_MS = 5;

/** A running stand-in service; see {@link openPlainService}. */
export class PlainService {
  readonly faults: Faults<PlainFault>;
  readonly #options: PlainServiceOptions;
  readonly #records = new RunRecords();
  #listener!: Listener;
  #control!: Listener;

  /** Creates a service that does not listen yet; use {@link openPlainService}. */
  constructor(options: PlainServiceOptions) {
    this.#options = options;
    this.faults = new Faults(
      (input) => plainFaultSchema.parse(input),
      () => this.#listener.setDead(this.faults.peek("dead") !== undefined),
    );
  }

  /** Base URL for the gateway. */
  get url(): string {
    return this.#listener.url;
  }
  /** Base URL of the control routes, which answer even while the service is dead. */
  get controlUrl(): string {
    return this.#control.url;
  }

  /** Records of all requests that arrived. */
  records(): readonly RunRecord[] {
    return this.#records.list();
  }

  /** Starts to listen. */
  async open(): Promise<void> {
    const control = createControlRouter(this.faults, this.#records);
    const app = new Koa();
    app.use(control.routes());
    app.use((ctx) => this.#handleRequest(ctx));
    this.#listener = await listen(app, this.#options);
    this.#control = await listenControl(control, this.#options);
  }

  /** Closes the listeners and all connections. */
  async close(): Promise<void> {
    await this.#listener.close();
    await this.#control.close();
  }

  async #handleRequest(ctx: Context): Promise<void> {
    const body = await readBody(ctx.req);
    const faults = this.faults.take();
    const bodyDigest = secretDigest(body.toString("latin1"));
    const record = this.#records.add({
      method: ctx.method,
      path: ctx.path,
      requestId: getHeader(ctx, "x-request-id") ?? "",
      idempotencyKey: getHeader(ctx, "idempotency-key"),
      nonce: bodyDigest,
    });
    ctx.set("x-request-id", record.requestId);
    if (faults.get("cutBeforeRun")) return resetConnection(ctx);
    if (faults.get("refuse")) {
      record.refused = true;
      ctx.set("x-ran", "no");
      return sendError(ctx, 503, "the service takes no requests now");
    }
    await sleep(faults.get("delay")?.delayMs ?? 0);
    record.startedAtMs = Date.now();
    const factor = this.faults.peek("slow")?.factor ?? 1;
    await sleep((this.#options.runMs ?? DEFAULT_RUN_MS) * factor);
    record.finishedAtMs = Date.now();
    if (faults.get("cutAfterRun")) return resetConnection(ctx);
    if (faults.get("failAfterRun")) {
      return sendError(ctx, 500, "failed after run");
    }
    ctx.body = {
      service: this.#options.name ?? "plain",
      run: record.run,
      method: record.method,
      path: record.path,
      idempotencyKey: record.idempotencyKey,
      bodyDigest,
      bytes: body.length,
    };
  }
}

function resetConnection(ctx: Context): void {
  ctx.respond = false;
  ctx.req.socket.resetAndDestroy();
}

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}

/** Opens a stand-in plain service. */
export async function openPlainService(
  options: PlainServiceOptions = {},
): Promise<PlainService> {
  const service = new PlainService(options);
  await service.open();
  return service;
}
