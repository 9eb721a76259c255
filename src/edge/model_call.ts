/**
 * One call of a model: attempts at engines until one answers whole, or a final failure.
 *
 * @module
 */

import { failure } from "../base/mod.ts";
import type { UpstreamAnswer, UpstreamError } from "../adapters/mod.ts";
import type { ServiceRow } from "../agreement/mod.ts";
import { failureBody } from "./answer.ts";
import { type Attempt, Attempts } from "./attempts.ts";
import { readAnswer, readBody } from "./body.ts";
import { type Call, deadlineOf } from "./call.ts";
import { CallRun, type Step } from "./call_run.ts";
import type { EdgeContext } from "./context.ts";
import {
  type ModelPath,
  type ModelRequest,
  readModelRequest,
  withPriority,
} from "./prompt.ts";
import { relay, type RelayEnd } from "./relay.ts";
import { StreamCheck } from "./stream_check.ts";
import type { Suspicion } from "./suspicion.ts";

/** Reconnections to one engine for one broken stream: an engine that cuts again and again is not waited for. */
const RESUMES = 3;
/** Engines answer so when they take no more work; by their contract nothing was run. */
const REFUSALS = new Set([429, 503]);

/** See the module's comment; `run` once. */
export class ModelCall extends CallRun {
  readonly #path: ModelPath;
  readonly #check = new StreamCheck();
  #suspicion!: Suspicion;

  constructor(context: EdgeContext, call: Call, path: ModelPath) {
    super(context, call);
    this.#path = path;
  }

  /** Answers the caller. */
  override async run(): Promise<void> {
    const { request, table } = this.call;
    const body = await readBody(
      request,
      this.context.limits,
      this.context.clock,
    );
    if (body.isErr()) return this.fail(body.error);
    const model = readModelRequest(this.#path, body.value);
    if (model.isErr()) return this.fail(model.error);
    const service = table.serviceOfModel(model.value.model);
    if (!service) {
      return this.fail(
        failure("unknownService", {
          message: `there is no model "${model.value.model}"`,
        }),
      );
    }
    this.seen.service = service.id;
    await this.#tryAll(body.value, model.value, service);
  }

  async #tryAll(
    body: Buffer,
    model: ModelRequest,
    service: ServiceRow,
  ): Promise<void> {
    const deadlineMs = deadlineOf(this.call, service);
    const attempts = new Attempts(this.context, this.call, {
      ...model,
      service: service.id,
      deadlineMs,
    });
    this.#suspicion = this.suspicionOf(body);
    while (attempts.left) {
      const refused = await this.#suspicion.refusal();
      if (refused) return this.fail(this.worst(refused));
      const attempt = await attempts.next();
      if (attempt.isErr()) return this.fail(this.worst(attempt.error));
      this.seen.granted(attempt.value);
      const step = await this.#attempt(attempt.value, body, model, deadlineMs);
      if (step === "answered") return;
    }
    const late = this.context.clock.nowMs() >= deadlineMs;
    this.fail(
      late ? failure("upstreamTimeout", { ran: this.ran }) : this.last,
    );
  }

  /** Runs one attempt under a signal that the caller's going and the deadline of the first byte abort. */
  async #attempt(
    attempt: Attempt,
    bytes: Buffer,
    model: ModelRequest,
    deadlineMs: number,
  ): Promise<Step> {
    const body = withPriority(model, bytes, attempt.grant.enginePriority ?? 0);
    const abort = new AbortController();
    const stop = () => abort.abort();
    this.call.signal.addEventListener("abort", stop, { once: true });
    const timer = this.context.clock.after(
      deadlineMs - this.context.clock.nowMs(),
      () => {
        if (!this.seen.begun) stop();
      },
    );
    try {
      const answer = await this.#open(attempt, body, abort.signal);
      if (answer.isErr()) return await this.#noAnswer(attempt, answer.error);
      if (answer.value.httpStatus !== 200) {
        return await this.#notOk(attempt, answer.value);
      }
      return model.stream
        ? await this.#stream(attempt, answer.value, body, abort.signal)
        : await this.#whole(attempt, answer.value);
    } finally {
      timer.close();
      this.call.signal.removeEventListener("abort", stop);
    }
  }

  #open(attempt: Attempt, body: Buffer, signal: AbortSignal) {
    const after = this.#check.lastPlace;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "x-request-id": attempt.grant.attemptId,
    };
    if (this.seen.begun && after !== undefined) {
      headers["last-event-id"] = String(after);
    }
    return this.context.upstreams.open(
      {
        url: attempt.grant.url,
        path: this.#path,
        method: "POST",
        headers,
        body,
      },
      signal,
    );
  }

  async #noAnswer(attempt: Attempt, error: UpstreamError): Promise<Step> {
    if (error.kind === "unreachable") {
      return this.notRun(attempt, "unreachable");
    }
    if (error.kind === "withdrawn") {
      attempt.report("canceled");
      return this.call.signal.aborted ? "answered" : "retry";
    }
    if (error.kind === "lost") await this.#suspicion.noteLost(attempt);
    this.ran = "unknown";
    this.last = failure("upstreamFailed", { message: error.message });
    attempt.report(
      error.kind === "canceled" && this.call.signal.aborted
        ? "canceled"
        : "failed",
    );
    return this.call.signal.aborted ? "answered" : "retry";
  }

  async #notOk(attempt: Attempt, answer: UpstreamAnswer): Promise<Step> {
    if (REFUSALS.has(answer.httpStatus)) {
      answer.body.destroy();
      return this.notRun(attempt, "refused");
    }
    if (answer.httpStatus >= 500) {
      answer.body.destroy();
      attempt.report("failed");
      this.ran = "unknown";
      this.last = failure("upstreamFailed", {
        message: `the engine answered ${answer.httpStatus}`,
      });
      return "retry";
    }
    return await this.#whole(attempt, answer);
  }

  async #stream(
    attempt: Attempt,
    first: UpstreamAnswer,
    body: Buffer,
    signal: AbortSignal,
  ): Promise<Step> {
    let answer = first;
    for (let resumes = 0;; resumes++) {
      const end = await this.#relay(attempt, answer);
      if (end.type === "whole") {
        this.call.response.end();
        this.#suspicion.noteServed();
        this.end(attempt, "done", 0);
        return "answered";
      }
      if (end.type === "gone" || this.call.signal.aborted) {
        this.end(attempt, "canceled", 4007);
        return "answered";
      }
      this.context.log.warn("stream broken", {
        attempt: attempt.grant.attemptId,
        upstream: attempt.grant.upstreamId,
        reason: end.reason,
      });
      await this.#suspicion.noteLost(attempt);
      const again = resumes < RESUMES
        ? await this.#resume(attempt, body, signal)
        : undefined;
      if (!again) return this.#broken(attempt, end.reason);
      answer = again;
    }
  }

  async #relay(attempt: Attempt, answer: UpstreamAnswer): Promise<RelayEnd> {
    const { clock, limits } = this.context;
    if (!this.isOwn(attempt, answer.headers)) {
      answer.body.destroy();
      return {
        type: "broken",
        reason: "the answer belongs to another attempt",
      };
    }
    const echoed = answer.headers["x-request-id"] !== undefined;
    this.#check.begin(attempt.grant.attemptId, echoed);
    return await relay(answer.body, this.call.response, {
      clock,
      check: this.#check,
      upstreamStallMs: limits.upstreamStallMs,
      stalledCallerMs: limits.stalledCallerMs,
      onEvent: (atMs) => {
        if (!this.seen.begun) {
          this.#beginStream(attempt);
          attempt.started(atMs);
        }
        this.seen.event(atMs);
      },
    });
  }

  #beginStream(attempt: Attempt): void {
    const { response } = this.call;
    this.seen.setServed(attempt);
    response.statusCode = 200;
    response.setHeader("content-type", "text/event-stream; charset=utf-8");
    response.setHeader("cache-control", "no-cache");
  }

  /** Takes up a broken stream where it stopped, on the engine that holds its state, if that engine can. */
  async #resume(
    attempt: Attempt,
    body: Buffer,
    signal: AbortSignal,
  ): Promise<UpstreamAnswer | undefined> {
    const row = this.seen.upstreamRow(attempt);
    if (
      !row?.resumes || this.#check.lastPlace === undefined || signal.aborted
    ) return undefined;
    const answer = await this.#open(attempt, body, signal);
    if (answer.isErr()) return undefined;
    if (answer.value.httpStatus === 200) return answer.value;
    answer.value.body.destroy();
    return undefined;
  }

  /** Nothing passed on yet: another engine may answer. Otherwise the caller is told in the stream itself. */
  #broken(attempt: Attempt, reason: string): Step {
    this.ran = "yes";
    this.last = failure("streamBroken", {
      message: `the stream broke: ${reason}`,
    });
    if (!this.seen.begun) {
      attempt.report("failed");
      return "retry";
    }
    const { response } = this.call;
    response.write(`data: ${JSON.stringify(failureBody(this.last))}\n\n`);
    response.end();
    this.end(attempt, "failed", 4004);
    return "answered";
  }

  async #whole(attempt: Attempt, answer: UpstreamAnswer): Promise<Step> {
    const text = await readAnswer(answer.body);
    const own = this.isOwn(attempt, answer.headers);
    if (text === undefined || !own || !isJson(text)) {
      if (this.call.signal.aborted) {
        this.end(attempt, "canceled", 4007);
        return "answered";
      }
      attempt.report("failed");
      if (text === undefined) await this.#suspicion.noteLost(attempt);
      this.ran = "yes";
      this.last = failure("upstreamFailed", {
        ran: "yes",
        message: own
          ? "the answer was cut short"
          : "the answer belongs to another attempt",
      });
      return "retry";
    }
    const { response } = this.call;
    this.seen.setServed(attempt);
    this.seen.event(this.context.clock.nowMs());
    response.statusCode = answer.httpStatus;
    response.setHeader(
      "content-type",
      answer.headers["content-type"] ?? "application/json",
    );
    response.end(text);
    if (answer.httpStatus < 500) this.#suspicion.noteServed();
    this.seen.usage(JSON.parse(text.toString("utf8")).usage);
    this.end(attempt, "done", 0);
    return "answered";
  }
}

function isJson(text: Buffer): boolean {
  try {
    JSON.parse(text.toString("utf8"));
    return true;
  } catch {
    return false;
  }
}
