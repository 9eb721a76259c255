/**
 * The callers' edge: a task with one listener for callers and operators.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { randomUUID } from "node:crypto";
import Router from "@koa/router";
import Koa from "koa";
import { type Failure, failure, secretMatches } from "../base/mod.ts";
import { HttpUpstreamClient } from "../adapters/mod.ts";
import { type Kernel, Task } from "../kernel/mod.ts";
import type { VmInfo } from "../services/mod.ts";
import { sendFailure, sendJson, setPlace } from "./answer.ts";
import { type Call, isBound, readHeaders } from "./call.ts";
import type { EdgeContext, EdgeLimits } from "./context.ts";
import { bearer, identify } from "./identity.ts";
import type { CallerListener } from "./listener.ts";
import { ModelCall } from "./model_call.ts";
import { PlainCall } from "./plain_call.ts";
import type { ModelPath } from "./prompt.ts";

/** How the edge is set up. */
export interface EdgeOptions {
  readonly vmId: string;
  readonly region: string;
  readonly listener: CallerListener;
  readonly limits: EdgeLimits;
  readonly operatorTokenDigests: readonly string[];
  /** Further operators' routes, below `/admin`. */
  readonly adminRoutes?: (kernel: Kernel) => readonly Router[];
}

/** What the edge answers; its name is `edge`. */
export type EdgeMessages = {
  address: { in: void; out: { readonly host: string; readonly port: number } };
  /** Refuses new requests from now on; resolves when the open ones have ended, or with how many are left. */
  drain: { in: { readonly deadlineMs: number }; out: number };
};

/** How often a drain looks whether it is done. */
const DRAIN_STEP_MS = 20;

/** See {@link EdgeMessages}. */
export class Edge extends Task<EdgeMessages> {
  readonly name = "edge";
  readonly #options: EdgeOptions;
  readonly #upstreams: HttpUpstreamClient;
  readonly #open = new Set<AbortController>();
  #kernel!: Kernel;
  #context!: EdgeContext;
  #draining = false;
  #served = 0;

  protected readonly handlers = {
    address: () => this.#options.listener.address,
    drain: ({ deadlineMs }: EdgeMessages["drain"]["in"]) =>
      this.#drain(deadlineMs),
  };

  constructor(options: EdgeOptions) {
    super();
    this.#options = options;
    // Streams are watched by the relay, which knows pauses; this bound is for all other answers.
    this.#upstreams = new HttpUpstreamClient(
      2 * options.limits.upstreamStallMs,
    );
  }

  start(kernel: Kernel): Promise<void> {
    const { vmId, region, limits } = this.#options;
    this.#kernel = kernel;
    this.#context = {
      place: { vmId, region },
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
      newAttemptId: randomUUID,
    };
    this.#options.listener.attach(this.#app().callback());
    return Promise.resolve();
  }

  async close(deadlineMs: number): Promise<void> {
    await this.#drain(deadlineMs);
    for (const abort of this.#open) abort.abort();
    await this.#options.listener.close();
    await this.#upstreams.close();
  }

  dump(): unknown {
    return {
      open: this.#open.size,
      served: this.#served,
      draining: this.#draining,
    };
  }

  async #drain(deadlineMs: number): Promise<number> {
    this.#draining = true;
    this.#options.listener.closeIdle();
    while (this.#open.size > 0 && this.#context.clock.nowMs() < deadlineMs) {
      await this.#context.clock.sleep(DRAIN_STEP_MS);
    }
    return this.#open.size;
  }

  #app(): Koa {
    const app = new Koa();
    app.silent = true;
    const router = new Router();
    router.get("/healthz", (ctx) => void (ctx.body = "ok\n"));
    router.get("/readyz", async (ctx) => {
      const ready = !this.#draining &&
        await this.#context.table.ask("current", undefined) !== undefined;
      ctx.status = ready ? 200 : 503;
      ctx.body = ready ? "ready\n" : "not ready\n";
    });
    for (const path of ["/v1/chat/completions", "/v1/completions"] as const) {
      router.post(
        path,
        (ctx) => this.#handle(ctx, (call) => this.#model(call, path)),
      );
    }
    router.get(
      "/v1/models",
      (ctx) => this.#handle(ctx, (call) => this.#models(call)),
    );
    router.get(
      "/v1/requests/:key",
      (ctx) => this.#handle(ctx, (call) => this.#lookup(call, ctx.params.key)),
    );
    router.get(
      "/v1/directory",
      (ctx) => this.#handle(ctx, (call) => this.#directory(call)),
    );
    router.all(
      "/services/:name{/*rest}",
      (ctx) => this.#handle(ctx, (call) => this.#plain(call, ctx.params.name)),
    );
    app.use((ctx, next) => this.#guard(ctx, next));
    app.use(router.routes());
    for (const admin of this.#options.adminRoutes?.(this.#kernel) ?? []) {
      app.use(admin.routes());
    }
    app.use((ctx) =>
      this.#raw(ctx, (response) => this.#refuse(response, failure("notFound")))
    );
    return app;
  }

  /** Operators' paths need an operator's token; every answer says who gave it; a fault of ours is said so. */
  async #guard(ctx: Koa.Context, next: Koa.Next): Promise<void> {
    setPlace(ctx.res, this.#context.place);
    if (this.#draining) ctx.res.setHeader("connection", "close");
    try {
      if (ctx.path === "/admin" || ctx.path.startsWith("/admin/")) {
        const refused = this.#checkOperator(ctx);
        if (refused) {
          return this.#raw(ctx, (response) => this.#refuse(response, refused));
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
    const token = bearer(ctx.req.headers);
    if (!token) {
      return failure("unauthenticated", {
        message: "send an operator's token as 'Authorization: Bearer'",
      });
    }
    const known = this.#options.operatorTokenDigests.some((digest) =>
      secretMatches(token, digest)
    );
    return known ? undefined : failure("forbidden");
  }

  /** Answers by hand: the calls write to the socket themselves, for back-pressure and exact ends. */
  #raw(ctx: Koa.Context, answer: (response: ServerResponse) => void): void {
    ctx.respond = false;
    answer(ctx.res);
  }

  async #handle(
    ctx: Koa.Context,
    run: (call: Call) => Promise<void> | void,
  ): Promise<void> {
    ctx.respond = false;
    const abort = new AbortController();
    ctx.res.once("close", () => {
      if (!ctx.res.writableFinished) abort.abort();
    });
    const call = await this.#accept(ctx.req, ctx.res, abort.signal);
    if (!call) return;
    this.#open.add(abort);
    try {
      await run(call);
      this.#served++;
    } finally {
      this.#open.delete(abort);
    }
  }

  /** Everything that can be refused before the body is read. */
  async #accept(
    request: IncomingMessage,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<Call | undefined> {
    const nowMs = this.#context.clock.nowMs();
    if (this.#draining) {
      const goTo = await this.#callerUrls(this.#options.region);
      return this.#refuse(
        response,
        failure("draining", { goTo, retryAtMs: nowMs }),
      );
    }
    if (this.#open.size >= this.#context.limits.openRequests) {
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
    const workspace = identify(table, request.headers);
    if (workspace.isErr()) return this.#refuse(response, workspace.error);
    const headers = readHeaders(request.headers, nowMs);
    if (headers.isErr()) return this.#refuse(response, headers.error);
    const call = {
      request,
      response,
      table,
      workspace: workspace.value,
      headers: headers.value,
      signal,
    };
    const elsewhere = await this.#homeElsewhere({
      ...call,
      arrivedAtMs: nowMs,
    });
    if (elsewhere) return this.#refuse(response, elsewhere);
    return { ...call, arrivedAtMs: nowMs };
  }

  /**
   * A manifest or scan must not leave its region, and reading it here would already be that. So the head alone decides,
   * and the connection is closed on a body that is still being sent.
   */
  async #homeElsewhere(call: Call): Promise<Failure | undefined> {
    const { home } = call.workspace;
    const carriesData = call.request.method !== "GET" ||
      call.request.url!.startsWith("/services/");
    if (
      home === this.#options.region || !carriesData ||
      !isBound(call.workspace, call.headers)
    ) return undefined;
    return failure("homeElsewhere", {
      message:
        `requests of workspace "${call.workspace.id}" are bound to region "${home}"`,
      goTo: await this.#callerUrls(home),
    });
  }

  /** Base URLs of the other live VMs of a region. */
  async #callerUrls(region: string): Promise<string[]> {
    const vms = region === this.#options.region
      ? await this.#context.members.ask("region", undefined)
      : (await this.#context.members.ask("others", undefined)).get(region) ??
        [];
    const usable = (vm: VmInfo) =>
      vm.state === "live" && vm.id !== this.#options.vmId;
    return vms.filter(usable).map((vm) => vm.callerUrl);
  }

  #refuse(response: ServerResponse, refused: Failure): undefined {
    response.setHeader("connection", "close");
    sendFailure(response, refused, this.#context.clock.nowMs());
    return undefined;
  }

  #model(call: Call, path: ModelPath): Promise<void> {
    return new ModelCall(this.#context, call, path).run();
  }

  #models(call: Call): void {
    const data = [];
    for (const { row } of call.table.rows()) {
      if (row.kind === "service" && row.type === "model") {
        for (const id of new Set([row.id, ...row.models])) {
          data.push({ id, object: "model", owned_by: row.id });
        }
      }
    }
    sendJson(call.response, 200, { object: "list", data });
  }

  async #plain(call: Call, name: string): Promise<void> {
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
    await new PlainCall(
      this.#context,
      call,
      service,
      path.startsWith("/") ? path : `/${path}`,
    ).run();
  }

  /** What became of a request that may not be repeated: `?service=NAME` names its service. */
  async #lookup(call: Call, key: string): Promise<void> {
    const service = new URL(call.request.url!, "http://vm").searchParams.get(
      "service",
    );
    const nowMs = this.#context.clock.nowMs();
    if (!service) {
      return sendFailure(
        call.response,
        failure("badRequest", { message: "name the service: ?service=NAME" }),
        nowMs,
      );
    }
    const found = await this.#context.claims.ask("lookup", {
      service,
      workspace: call.workspace.id,
      key,
    });
    if (found.isErr()) return sendFailure(call.response, found.error, nowMs);
    if (found.value === "none") {
      return sendFailure(call.response, failure("unknownRequest"), nowMs);
    }
    const state = typeof found.value === "string" ? found.value : "answered";
    const answer = typeof found.value === "string"
      ? undefined
      : found.value.answer;
    sendJson(call.response, 200, {
      key,
      service,
      state,
      ran: state === "unknown" ? "unknown" : "yes",
      answer,
    });
  }

  /** Which VMs to use. The `workspace` query is that of the key; another is refused when the key is checked. */
  async #directory(call: Call): Promise<void> {
    const named = new URL(call.request.url!, "http://vm").searchParams.get(
      "workspace",
    );
    if (named !== null && named !== call.workspace.id) {
      return sendFailure(
        call.response,
        failure("forbidden"),
        this.#context.clock.nowMs(),
      );
    }
    const answer = await this.#context.directory.ask("lookup", {
      workspace: call.workspace.id,
    });
    sendJson(call.response, 200, answer);
  }
}
