/**
 * A stand-in model engine. It serves the OpenAI-compatible protocol as vLLM publishes it, takes its timing from a model
 * of a batching engine, injects faults and records the requests that ran.
 *
 * The platform's engines, and this one, extend vLLM's protocol:
 * - `last-event-id: N` on a request with the same body continues its answer after the event numbered N if the engine
 *   `resumes`; the answer then carries `x-resumed-from: N`. An engine that does not resume answers from the start,
 *   without that header.
 * - A refusal before the request runs carries `x-ran: no`.
 * - `POST /orders` with `x-fencing-token` takes `{"want": "active" | "parked"}` or `{"load": MODEL}`.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import Router from "@koa/router";
import Koa, { type Context } from "koa";
import { extractNonce, MIN_ANSWER_TOKENS } from "./answer.ts";
import { Batch, type BatchEvent, type BatchTiming } from "./batch.ts";
import {
  type AnswerIdentity,
  type AnswerRequest,
  AnswerWriter,
} from "./engine_answer.ts";
import { type EngineFault, engineFaultSchema, Faults } from "./faults.ts";
import {
  createControlRouter,
  getHeader,
  listen,
  listenControl,
  type Listener,
  type ListenOptions,
  readJson,
  sendError,
} from "./http.ts";
import { engineOrderSchema, FENCING_HEADER, Orders } from "./orders.ts";
import { type RunRecord, RunRecords } from "./records.ts";

/** Settings of a stand-in engine. */
export interface EngineOptions extends ListenOptions, Partial<BatchTiming> {
  readonly model?: string;
  /** Whether it continues a broken stream. */
  readonly resumes?: boolean;
  /** Whether it refuses an order with a stale fencing number. */
  readonly checksFence?: boolean;
  /** Maximum age of the load that it reports. */
  readonly loadLagMs?: number;
  /** Interval between steps of the batch. */
  readonly stepMs?: number;
}

const DEFAULT_TIMING: BatchTiming = {
  slots: 16,
  prefillTokensPerS: 8000,
  decodeTokensPerS: 1500,
  streamTokensPerS: 100,
  cacheTokens: 200_000,
};

const DEFAULT_STEP_MS = 5;
const DEFAULT_OUTPUT_TOKENS = 16;

interface EngineJob {
  readonly record: RunRecord;
  readonly writer: AnswerWriter;
  readonly outputTokens: number;
}

interface Load {
  readonly running: number;
  readonly waiting: number;
  readonly cacheUsage: number;
}

/** A running stand-in engine; see {@link openEngine}. */
export class Engine {
  readonly faults: Faults<EngineFault>;
  readonly orders: Orders;
  readonly #options: EngineOptions;
  readonly #batch: Batch;
  readonly #records = new RunRecords();
  readonly #jobs = new Map<number, EngineJob>();
  readonly #loadTimer: NodeJS.Timeout | undefined;
  #listener!: Listener;
  #control!: Listener;
  #stepTimer: NodeJS.Timeout | undefined;
  #reportedLoad: Load = { running: 0, waiting: 0, cacheUsage: 0 };
  #previousRequest: AnswerIdentity = { requestId: "other", nonce: "other" };

  /** Creates an engine that does not listen yet; use {@link openEngine}. */
  constructor(options: EngineOptions) {
    this.#options = options;
    this.#batch = new Batch({ ...DEFAULT_TIMING, ...options });
    this.orders = new Orders(this.model, options.checksFence ?? false);
    this.faults = new Faults(
      (input) => engineFaultSchema.parse(input),
      () => this.#listener.setDead(this.faults.peek("dead") !== undefined),
    );
    if (options.loadLagMs) {
      this.#loadTimer = setInterval(
        () => this.#updateReportedLoad(),
        options.loadLagMs,
      );
    }
  }

  /** Base URL for the gateway. */
  get url(): string {
    return this.#listener.url;
  }
  /** Base URL of the control routes, which answer even while the engine is dead. */
  get controlUrl(): string {
    return this.#control.url;
  }
  /** The model that it was started with. */
  get model(): string {
    return this.#options.model ?? "standin";
  }

  /** Records of all requests that arrived. */
  records(): readonly RunRecord[] {
    return this.#records.list();
  }

  /** Starts to listen. */
  async open(): Promise<void> {
    const control = createControlRouter(this.faults, this.#records);
    const app = new Koa();
    app.use(this.#createRouter().routes());
    app.use(control.routes());
    this.#listener = await listen(app, this.#options);
    this.#control = await listenControl(control, this.#options);
  }

  /** Closes the listeners and all connections, including those with requests in flight. */
  async close(): Promise<void> {
    clearInterval(this.#loadTimer);
    clearInterval(this.#stepTimer);
    await this.#listener.close();
    await this.#control.close();
  }

  #createRouter(): Router {
    const router = new Router();
    router.post(
      "/v1/chat/completions",
      (ctx) => this.#handleCompletion(ctx, "chat"),
    );
    router.post(
      "/v1/completions",
      (ctx) => this.#handleCompletion(ctx, "completion"),
    );
    router.post("/orders", (ctx) => this.#handleOrder(ctx));
    router.get("/orders", (ctx) => void (ctx.body = this.orders.log));
    router.get("/health", (ctx) => void (ctx.body = ""));
    router.get("/metrics", (ctx) => void (ctx.body = this.#formatMetrics()));
    router.get("/v1/models", (ctx) => {
      const data = this.orders.models.map((id) => ({ id, object: "model" }));
      ctx.body = { object: "list", data };
    });
    return router;
  }

  async #handleOrder(ctx: Context): Promise<void> {
    const order = engineOrderSchema.safeParse(await readJson(ctx.req));
    const fence = Number(getHeader(ctx, FENCING_HEADER) ?? 0);
    if (!order.success) return sendError(ctx, 400, order.error.message);
    if (!this.orders.apply(order.data, fence)) {
      return sendError(ctx, 409, "the fencing number is old");
    }
    ctx.body = { models: this.orders.models, active: this.orders.isActive };
  }

  async #handleCompletion(
    ctx: Context,
    kind: "chat" | "completion",
  ): Promise<void> {
    const body = await readJson(ctx.req);
    const request = this.#parseRequest(ctx, kind, body);
    if (!request) return sendError(ctx, 400, "the body is not a valid request");
    const faults = this.faults.take();
    const record = this.#records.add({
      method: ctx.method,
      path: ctx.path,
      requestId: request.requestId,
      idempotencyKey: getHeader(ctx, "idempotency-key"),
      nonce: request.nonce,
    });
    if (request.resumeFrom > 0) record.resumedFrom = request.resumeFrom;
    if (!this.orders.isActive || faults.get("refuse")) {
      record.refused = true;
      ctx.set("x-ran", "no");
      ctx.set("x-request-id", request.requestId);
      return sendError(ctx, 503, "the engine takes no requests now");
    }
    ctx.respond = false;
    const writer = new AnswerWriter(
      request,
      ctx.res,
      faults,
      this.#previousRequest,
    );
    this.#previousRequest = request;
    const priority = Number((body as { priority?: unknown }).priority ?? 0);
    const job = {
      record,
      writer,
      outputTokens: request.outputTokens - request.resumeFrom,
    };
    const start = () => this.#start(job, request.prompt, priority, ctx.res);
    const cancelsOnClose = faults.get("late") === undefined;
    ctx.res.on(
      "close",
      () => this.#handleClose(record, ctx.res, cancelsOnClose),
    );
    setTimeout(start, faults.get("delay")?.delayMs ?? 0);
  }

  #start(
    job: EngineJob,
    prompt: string,
    priority: number,
    res: ServerResponse,
  ) {
    if (res.destroyed) return;
    const id = job.record.run;
    this.#jobs.set(id, job);
    this.#batch.submit(
      { id, priority, prompt, outputTokens: job.outputTokens },
      performance.now(),
    );
    this.#step();
    this.#stepTimer ??= setInterval(
      () => this.#step(),
      this.#options.stepMs ?? DEFAULT_STEP_MS,
    );
  }

  #handleClose(
    record: RunRecord,
    res: ServerResponse,
    cancelsOnClose: boolean,
  ): void {
    if (res.writableFinished) return;
    record.canceledAtMs = Date.now();
    if (!cancelsOnClose) return;
    this.#batch.cancel(record.run);
    this.#jobs.delete(record.run);
  }

  #step(): void {
    const speed = 1 / (this.faults.peek("slow")?.factor ?? 1);
    for (const event of this.#batch.step(performance.now(), speed)) {
      this.#handleEvent(event);
    }
    if (this.#batch.running + this.#batch.waiting > 0) return;
    clearInterval(this.#stepTimer);
    this.#stepTimer = undefined;
  }

  #handleEvent(event: BatchEvent): void {
    const job = this.#jobs.get(event.id);
    if (!job) return;
    if (event.type === "started") {
      job.record.startedAtMs = Date.now();
      job.record.warmTokens = event.cachedTokens;
      return job.writer.setCachedTokens(event.cachedTokens);
    }
    job.record.tokens += event.tokens;
    if (job.record.tokens >= job.outputTokens) {
      job.record.finishedAtMs = Date.now();
      this.#jobs.delete(event.id);
    }
    job.writer.addTokens(event.tokens);
  }

  #parseRequest(
    ctx: Context,
    kind: "chat" | "completion",
    input: unknown,
  ): AnswerRequest | undefined {
    if (typeof input !== "object" || input === null) return undefined;
    const body = input as Record<string, unknown>;
    const prompt = kind === "chat" ? joinMessages(body.messages) : body.prompt;
    if (typeof prompt !== "string") return undefined;
    const requestedTokens = Number(
      body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    );
    const outputTokens = Math.max(
      MIN_ANSWER_TOKENS,
      Math.floor(requestedTokens) || MIN_ANSWER_TOKENS,
    );
    const resumeFrom = Number(getHeader(ctx, "last-event-id") ?? -1) + 1;
    const streamOptions = body.stream_options as
      | Record<string, unknown>
      | undefined;
    return {
      kind,
      isStream: body.stream === true,
      includeUsage: streamOptions?.include_usage === true,
      includeRunningUsage: streamOptions?.continuous_usage_stats === true,
      requestId: getHeader(ctx, "x-request-id") ?? `run-${Date.now()}`,
      model: String(body.model ?? this.model),
      prompt,
      nonce: extractNonce(prompt),
      outputTokens,
      hasEventIds: this.#options.resumes === true,
      resumeFrom:
        this.#options.resumes && resumeFrom > 0 && resumeFrom < outputTokens
          ? Math.floor(resumeFrom)
          : 0,
    };
  }

  #updateReportedLoad(): void {
    this.#reportedLoad = {
      running: this.#batch.running,
      waiting: this.#batch.waiting,
      cacheUsage: this.#batch.cacheUsage,
    };
  }

  #formatMetrics(): string {
    if (!this.#options.loadLagMs) this.#updateReportedLoad();
    const load = { ...this.#reportedLoad, ...this.faults.peek("lyingLoad") };
    const labels = `{model_name="${this.model}"}`;
    return [
      "# TYPE vllm:num_requests_running gauge",
      `vllm:num_requests_running${labels} ${load.running}`,
      "# TYPE vllm:num_requests_waiting gauge",
      `vllm:num_requests_waiting${labels} ${load.waiting}`,
      "# TYPE vllm:kv_cache_usage_perc gauge",
      `vllm:kv_cache_usage_perc${labels} ${load.cacheUsage}`,
      "",
    ].join("\n");
  }
}

/** Joins the text of chat messages, one message per line; of a message in parts, the `text` of each part. */
function joinMessages(messages: unknown): string | undefined {
  if (!Array.isArray(messages)) return undefined;
  return messages.map((message) => {
    const content = message?.content;
    if (!Array.isArray(content)) return String(content ?? "");
    return content.map((part) => String(part?.text ?? "")).join("");
  }).join("\n");
}

/** Opens a stand-in engine. */
export async function openEngine(options: EngineOptions = {}): Promise<Engine> {
  const engine = new Engine(options);
  await engine.open();
  return engine;
}
