/**
 * The edge task: serves the HTTP API of callers and operators on one listener.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { randomUUID } from "node:crypto";
import Router from "@koa/router";
import Koa from "koa";
import { codes, type Failure, failure, secretMatches } from "../base/mod.ts";
import { HttpUpstreamClient, isLastAnswer } from "../adapters/mod.ts";
import { type Kernel, Task } from "../kernel/mod.ts";
import type { VmInfo } from "../services/mod.ts";
import { hasEnded, sendFailure, setVmHeaders } from "./answer.ts";
import { type Call, isBound, parseCallHeaders } from "./call.ts";
import type { EdgeContext, EdgeLimits } from "./context.ts";
import { authenticate, readBearerToken } from "./identity.ts";
import type { CallerListener } from "./listener.ts";
import { ModelCallHandler } from "./model_call.ts";
import { PlainCallHandler } from "./plain_call.ts";
import type { ModelPath } from "./model_request.ts";
import { type OpenRequest, OpenRequests } from "./open_requests.ts";
import { findVms, listModels, lookUpRequest } from "./queries.ts";

/** Options of the {@link Edge}. */
export interface EdgeOptions {
  readonly vmId: string;
  readonly region: string;
  readonly listener: CallerListener;
  readonly limits: EdgeLimits;
  readonly operatorTokenDigests: readonly string[];
  /** Additional routes for operators, below `/admin`. */
  readonly adminRoutes?: (kernel: Kernel) => readonly Router[];
}

/** Messages of the `edge` task. */
export type EdgeMessages = {
  address: { in: void; out: { readonly host: string; readonly port: number } };
  /**
   * Refuses new requests from now on. Requests that are still open at the deadline are ended with an answer. Resolves
   * when no request is open and all answers are written out, or shortly after the deadline.
   */
  drain: { in: { readonly deadlineMs: number }; out: DrainResult };
};

/** What a drain could not let end. */
export interface DrainResult {
  /** Number of requests that were ended at the deadline. */
  readonly cutRequests: number;
  /** Number of answers that their callers' connections have not taken. */
  readonly unwrittenAnswers: number;
}

/** How often a drain checks whether all requests have ended. */
const DRAIN_POLL_MS = 20;
/** How long connections may take the last answers after a drain's deadline. */
const MAX_FLUSH_MS = 1_000;

/** Accepts callers' requests and passes them to their handlers; see {@link EdgeMessages}. */
export class Edge extends Task<EdgeMessages> {
  readonly name = "edge";
  readonly #options: EdgeOptions;
  readonly #upstreams: HttpUpstreamClient;
  readonly #requests = new OpenRequests();
  #openCalls = 0;
  #kernel!: Kernel;
  #context!: EdgeContext;
  #draining: Promise<DrainResult> | undefined;
  #servedCount = 0;

  protected readonly handlers = {
    address: () => this.#options.listener.address,
    drain: ({ deadlineMs }: EdgeMessages["drain"]["in"]) =>
      this.#drain(deadlineMs),
  };

  constructor(options: EdgeOptions) {
    super();
    this.#options = options;
    // The relay detects stalled streams itself and does not count its own pauses. This timeout is for other answers.
    this.#upstreams = new HttpUpstreamClient(
      2 * options.limits.upstreamStallMs,
    );
  }

  start(kernel: Kernel): Promise<void> {
    const { vmId, region, limits } = this.#options;
    this.#kernel = kernel;
    this.#context = {
      vm: { vmId, region },
      limits,
      clock: kernel.clock,
      log: kernel.log,
      upstreams: this.#upstreams,
      table: kernel.get("table"),
      members: kernel.get("members"),
      slots: kernel.get("slots"),
      claims: kernel.get("claims"),
      directory: kernel.get("directory"),
      suspects: kernel.get("suspects"),
      metrics: kernel.get("metrics"),
      createAttemptId: randomUUID,
    };
    this.#options.listener.setHandler(this.#createApp().callback());
    return Promise.resolve();
  }

  async close(deadlineMs: number): Promise<void> {
    await this.#drain(deadlineMs);
    await this.#options.listener.close();
    await this.#upstreams.close();
  }

  dump(): unknown {
    return {
      open: this.#openCalls,
      openAnswers: this.#requests.size,
      served: this.#servedCount,
      draining: this.#isDraining,
    };
  }

  get #isDraining(): boolean {
    return this.#draining !== undefined;
  }

  /** A second drain has the deadline of the first. */
  #drain(deadlineMs: number): Promise<DrainResult> {
    this.#draining ??= this.#runDrain(deadlineMs);
    return this.#draining;
  }

  async #runDrain(deadlineMs: number): Promise<DrainResult> {
    this.#options.listener.closeIdleConnections();
    await this.#waitUntilNoneOpen(deadlineMs);
    const goTo = await this.#findOtherVmUrls(this.#options.region);
    const cutRequests = this.#requests.stop(goTo);
    await this.#waitUntilNoneOpen(deadlineMs + MAX_FLUSH_MS);
    return { cutRequests, unwrittenAnswers: this.#requests.size };
  }

  async #waitUntilNoneOpen(deadlineMs: number): Promise<void> {
    const { clock } = this.#context;
    while (this.#requests.size > 0 && clock.nowMs() < deadlineMs) {
      await clock.sleep(DRAIN_POLL_MS);
    }
  }

  #createApp(): Koa {
    const app = new Koa();
    app.silent = true;
    const router = new Router();
    router.get("/healthz", (ctx) => void (ctx.body = "ok\n"));
    router.get("/readyz", async (ctx) => {
      const isReady = !this.#isDraining &&
        await this.#context.table.ask("current", undefined) !== undefined;
      ctx.status = isReady ? 200 : 503;
      ctx.body = isReady ? "ready\n" : "not ready\n";
    });
    for (const path of ["/v1/chat/completions", "/v1/completions"] as const) {
      router.post(
        path,
        (ctx) => this.#handle(ctx, (call) => this.#runModel(call, path)),
      );
    }
    router.get(
      "/v1/models",
      (ctx) => this.#handle(ctx, (call) => listModels(call)),
    );
    router.get(
      "/v1/requests/:key",
      (ctx) =>
        this.#handle(
          ctx,
          (call) => lookUpRequest(this.#context, call, ctx.params.key),
        ),
    );
    router.get(
      "/v1/directory",
      (ctx) => this.#handle(ctx, (call) => findVms(this.#context, call)),
    );
    router.all(
      "/services/:name{/*rest}",
      (ctx) => this.#handle(ctx, (call) => this.#proxy(call, ctx.params.name)),
    );
    app.use((ctx, next) => this.#runGuarded(ctx, next));
    app.use(router.routes());
    for (const adminRouter of this.#options.adminRoutes?.(this.#kernel) ?? []) {
      app.use(adminRouter.routes());
    }
    app.use((ctx) =>
      this.#raw(ctx, (response) => this.#refuse(response, failure("notFound")))
    );
    return app;
  }

  /** Sets the VM headers, checks the token on operators' paths, and responds to exceptions with `internal`. */
  async #runGuarded(ctx: Koa.Context, next: Koa.Next): Promise<void> {
    const open = this.#requests.add(ctx.res);
    open.onStop = (goTo) => this.#endByStop(ctx, goTo);
    try {
      await this.#runWithHeaders(ctx, next);
    } finally {
      open.noteHandled();
    }
  }

  /** Ends a request that no call runs for, because the planned stop is over. */
  #endByStop(ctx: Koa.Context, goTo: readonly string[]): void {
    if (hasEnded(ctx.res)) return;
    const mayHaveRun = isOperatorPath(ctx.path) && ctx.method !== "GET";
    const code = mayHaveRun ? "cutByStop" : "draining";
    const { log, clock } = this.#context;
    log.warn("request cut by the stop", {
      path: ctx.path,
      code: codes[code].code,
    });
    const error = failure(code, { goTo, retryAtMs: clock.nowMs() });
    this.#raw(ctx, (response) => this.#refuse(response, error));
  }

  async #runWithHeaders(ctx: Koa.Context, next: Koa.Next): Promise<void> {
    setVmHeaders(ctx.res, this.#context.vm);
    if (this.#isDraining) ctx.res.setHeader("connection", "close");
    try {
      if (isOperatorPath(ctx.path)) {
        const refusal = this.#checkOperator(ctx);
        if (refusal) {
          return this.#raw(ctx, (response) => this.#refuse(response, refusal));
        }
      }
      await next();
    } catch (error) {
      this.#context.log.error("request failed", {
        path: ctx.path,
        error: String((error as Error).stack),
      });
      this.#raw(ctx, (response) => this.#refuse(response, failure("internal")));
    }
  }

  #checkOperator(ctx: Koa.Context): Failure | undefined {
    const token = readBearerToken(ctx.req.headers);
    if (!token) {
      return failure("unauthenticated", {
        message: "send an operator's token as 'Authorization: Bearer'",
      });
    }
    const isKnown = this.#options.operatorTokenDigests.some((digest) =>
      secretMatches(token, digest)
    );
    return isKnown ? undefined : failure("forbidden");
  }

  /** Responds without Koa: calls write to the socket themselves to control back-pressure and how a response ends. */
  #raw(ctx: Koa.Context, respond: (response: ServerResponse) => void): void {
    ctx.respond = false;
    respond(ctx.res);
  }

  async #handle(
    ctx: Koa.Context,
    run: (call: Call) => Promise<void> | void,
  ): Promise<void> {
    ctx.respond = false;
    const open = this.#requests.get(ctx.res);
    const call = await this.#admit(ctx.req, open);
    if (!call || open.signal.aborted) return;
    this.#openCalls++;
    try {
      await run(call);
      this.#servedCount++;
    } finally {
      this.#openCalls--;
    }
  }

  /** Makes all checks that can refuse a request before its body is read. */
  async #admit(
    request: IncomingMessage,
    open: OpenRequest,
  ): Promise<Call | undefined> {
    const { response, signal } = open;
    const nowMs = this.#context.clock.nowMs();
    if (this.#isDraining) {
      const goTo = await this.#findOtherVmUrls(this.#options.region);
      return this.#refuse(
        response,
        failure("draining", { goTo, retryAtMs: nowMs }),
      );
    }
    if (this.#openCalls >= this.#context.limits.openRequests) {
      return this.#refuse(
        response,
        failure("queueFull", { retryAtMs: nowMs + 1000 }),
      );
    }
    const table = await this.#context.table.ask("current", undefined);
    if (!table) {
      return this.#refuse(
        response,
        failure("noTable", { retryAtMs: nowMs + 1000 }),
      );
    }
    const workspace = authenticate(table, request.headers);
    if (workspace.isErr()) return this.#refuse(response, workspace.error);
    const headers = parseCallHeaders(request.headers, nowMs);
    if (headers.isErr()) return this.#refuse(response, headers.error);
    const call = {
      request,
      response,
      table,
      workspace: workspace.value,
      headers: headers.value,
      open,
      signal,
    };
    const refusal = await this.#checkHomeRegion({
      ...call,
      arrivedAtMs: nowMs,
    });
    if (refusal) return this.#refuse(response, refusal);
    return { ...call, arrivedAtMs: nowMs };
  }

  /**
   * Refuses a request that is bound to another region. Data of a bound workspace must not leave its home region, and
   * reading the body here would already violate that. So only the headers decide, and the connection is closed even if
   * the body is still being sent.
   */
  async #checkHomeRegion(call: Call): Promise<Failure | undefined> {
    const { home } = call.workspace;
    const mayCarryData = call.request.method !== "GET" ||
      call.request.url!.startsWith("/services/");
    if (
      home === this.#options.region || !mayCarryData ||
      !isBound(call.workspace, call.headers)
    ) return undefined;
    return failure("homeElsewhere", {
      message:
        `requests of workspace "${call.workspace.id}" are bound to region "${home}"`,
      goTo: await this.#findOtherVmUrls(home),
    });
  }

  /** Returns the base URLs of the live VMs of a region other than this VM. */
  async #findOtherVmUrls(region: string): Promise<string[]> {
    const vms = region === this.#options.region
      ? await this.#context.members.ask("region", undefined)
      : (await this.#context.members.ask("others", undefined)).get(region) ??
        [];
    const isUsable = (vm: VmInfo) =>
      vm.state === "live" && vm.id !== this.#options.vmId;
    return vms.filter(isUsable).map((vm) => vm.callerUrl);
  }

  #refuse(response: ServerResponse, refusal: Failure): undefined {
    if (!response.headersSent && isLastAnswer(response)) {
      response.setHeader("connection", "close");
    }
    sendFailure(response, refusal, this.#context.clock.nowMs());
    return undefined;
  }

  #runModel(call: Call, path: ModelPath): Promise<void> {
    return new ModelCallHandler(this.#context, call, path).run();
  }

  async #proxy(call: Call, name: string): Promise<void> {
    const service = call.table.service(name);
    if (service?.type !== "plain") {
      sendFailure(
        call.response,
        failure("unknownService"),
        this.#context.clock.nowMs(),
      );
      return;
    }
    const path = call.request.url!.slice(`/services/${name}`.length) || "/";
    await new PlainCallHandler(
      this.#context,
      call,
      service,
      path.startsWith("/") ? path : `/${path}`,
    ).run();
  }
}

function isOperatorPath(path: string): boolean {
  return path === "/admin" || path.startsWith("/admin/");
}
