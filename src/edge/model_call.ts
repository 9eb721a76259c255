/**
 * Handles one call of a model: makes attempts at engines until one answers completely or the call fails.
 *
 * @module
 */

import { type Failure, failure } from "../base/mod.ts";
import type { UpstreamAnswer, UpstreamError } from "../adapters/mod.ts";
import type { ServiceRow } from "../agreement/mod.ts";
import { buildFailureBody, hasEnded } from "./answer.ts";
import { type Attempt, AttemptIterator } from "./attempts.ts";
import { readAnswerBody } from "./body.ts";
import { type Call, getDeadlineMs } from "./call.ts";
import { type AttemptResult, CallHandler } from "./call_handler.ts";
import type { EdgeContext } from "./context.ts";
import {
  type ModelPath,
  type ModelRequest,
  parseModelRequest,
  withPriority,
} from "./model_request.ts";
import { type RelayResult, relayStream } from "./relay.ts";
import { StreamCheck } from "./stream_check.ts";

/** Maximum number of times that a broken stream is resumed at its engine, as an engine may break it again and again. */
const MAX_RESUMES = 3;
/** Statuses by which engines refuse more work. By their contract, they did not run the call. */
const REFUSAL_STATUSES = new Set([429, 503]);

/** Handles a call of a model. */
export class ModelCallHandler extends CallHandler {
  readonly #path: ModelPath;
  readonly #streamCheck = new StreamCheck();

  constructor(context: EdgeContext, call: Call, path: ModelPath) {
    super(context, call);
    this.#path = path;
  }

  protected override async handle(): Promise<void> {
    const { table } = this.call;
    const body = await this.readRequestBody();
    if (body.isErr()) return this.fail(body.error);
    const modelRequest = parseModelRequest(this.#path, body.value);
    if (modelRequest.isErr()) return this.fail(modelRequest.error);
    const service = table.serviceOfModel(modelRequest.value.model);
    if (!service) {
      return this.fail(
        failure("unknownService", {
          message: `there is no model "${modelRequest.value.model}"`,
        }),
      );
    }
    this.stats.service = service.id;
    await this.#runAttempts(body.value, modelRequest.value, service);
  }

  async #runAttempts(
    body: Buffer,
    modelRequest: ModelRequest,
    service: ServiceRow,
  ): Promise<void> {
    const deadlineMs = getDeadlineMs(this.call, service);
    const attempts = new AttemptIterator(this.context, this.call, {
      ...modelRequest,
      service: service.id,
      deadlineMs,
    });
    const suspectCheck = this.createSuspectCheck(
      body,
      service.id,
      modelRequest.parts,
    );
    while (attempts.hasNext) {
      const refusal = await suspectCheck.findRefusal();
      if (refusal) return this.fail(this.keepRan(refusal));
      const attempt = await attempts.next();
      if (attempt.isErr()) return this.fail(this.keepRan(attempt.error));
      this.stats.recordGrant(attempt.value);
      const result = await this.#runAttempt(
        attempt.value,
        body,
        modelRequest,
        deadlineMs,
      );
      if (result === "answered") return;
    }
    const isLate = this.context.clock.nowMs() >= deadlineMs;
    this.fail(
      isLate ? failure("upstreamTimeout", { ran: this.ran }) : this.lastFailure,
    );
  }

  /** Runs one attempt. It is aborted if the caller disconnects, or if the deadline passes before the first byte. */
  async #runAttempt(
    attempt: Attempt,
    originalBody: Buffer,
    modelRequest: ModelRequest,
    deadlineMs: number,
  ): Promise<AttemptResult> {
    const body = withPriority(
      modelRequest,
      originalBody,
      attempt.grant.enginePriority ?? 0,
    );
    const controller = new AbortController();
    const abort = () => controller.abort();
    this.call.signal.addEventListener("abort", abort, { once: true });
    const timer = this.context.clock.after(
      deadlineMs - this.context.clock.nowMs(),
      () => {
        if (!this.stats.hasStarted) abort();
      },
    );
    try {
      const answer = await this.#sendAttempt(attempt, body, controller.signal);
      if (answer.isErr()) {
        return await this.#handleUpstreamError(attempt, answer.error);
      }
      if (answer.value.httpStatus !== 200) {
        return await this.#handleErrorStatus(attempt, answer.value);
      }
      return modelRequest.stream
        ? await this.#streamAnswer(
          attempt,
          answer.value,
          body,
          controller.signal,
        )
        : await this.#sendWholeAnswer(attempt, answer.value);
    } finally {
      timer.close();
      this.call.signal.removeEventListener("abort", abort);
    }
  }

  #sendAttempt(attempt: Attempt, body: Buffer, signal: AbortSignal) {
    const lastEventNumber = this.#streamCheck.lastEventNumber;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "x-request-id": attempt.grant.attemptId,
    };
    if (this.stats.hasStarted && lastEventNumber !== undefined) {
      headers["last-event-id"] = String(lastEventNumber);
    }
    return this.openUpstream(
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

  async #handleUpstreamError(
    attempt: Attempt,
    error: UpstreamError,
  ): Promise<AttemptResult> {
    if (error.kind === "unreachable") {
      return this.handleNotRun(attempt, "unreachable");
    }
    if (error.kind !== "lost" && this.call.signal.aborted) {
      this.finish(attempt, "canceled", 4007);
      return "answered";
    }
    if (error.kind === "withdrawn") {
      attempt.report("canceled");
      return "retry";
    }
    if (error.kind === "lost") {
      await this.suspectCheck?.reportBrokenConnection(attempt);
    }
    this.ran = "unknown";
    this.lastFailure = failure("upstreamFailed", { message: error.message });
    attempt.report("failed");
    if (!this.call.signal.aborted) return "retry";
    this.stats.finish(4007);
    return "answered";
  }

  async #handleErrorStatus(
    attempt: Attempt,
    answer: UpstreamAnswer,
  ): Promise<AttemptResult> {
    if (REFUSAL_STATUSES.has(answer.httpStatus)) {
      answer.body.destroy();
      return this.handleNotRun(attempt, "refused");
    }
    if (answer.httpStatus >= 500) {
      answer.body.destroy();
      attempt.report("failed");
      this.ran = "unknown";
      this.lastFailure = failure("upstreamFailed", {
        message: `the engine answered ${answer.httpStatus}`,
      });
      return "retry";
    }
    return await this.#sendWholeAnswer(attempt, answer);
  }

  async #streamAnswer(
    attempt: Attempt,
    firstAnswer: UpstreamAnswer,
    body: Buffer,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    let answer = firstAnswer;
    for (let resumes = 0;; resumes++) {
      const relayResult = await this.#relayAnswer(attempt, answer);
      if (relayResult.type === "whole") {
        this.call.response.end();
        this.suspectCheck?.reportServed();
        this.finish(attempt, "done", 0);
        return "answered";
      }
      if (relayResult.type === "gone" || this.call.signal.aborted) {
        this.finish(attempt, "canceled", 4007);
        return "answered";
      }
      this.context.log.warn("stream broken", {
        attempt: attempt.grant.attemptId,
        upstream: attempt.grant.upstreamId,
        reason: relayResult.reason,
      });
      await this.suspectCheck?.reportBrokenConnection(attempt);
      const resumed = resumes < MAX_RESUMES
        ? await this.#resume(attempt, body, signal)
        : undefined;
      if (!resumed) {
        return this.#handleBrokenStream(attempt, relayResult.reason);
      }
      answer = resumed;
    }
  }

  async #relayAnswer(
    attempt: Attempt,
    answer: UpstreamAnswer,
  ): Promise<RelayResult> {
    const { clock, limits } = this.context;
    if (!this.isOwnAnswer(attempt, answer.headers)) {
      answer.body.destroy();
      return {
        type: "broken",
        reason: "the answer belongs to another attempt",
      };
    }
    const hasEchoedId = answer.headers["x-request-id"] !== undefined;
    this.#streamCheck.startAttempt(attempt.grant.attemptId, hasEchoedId);
    return await relayStream(answer.body, this.call.response, {
      clock,
      check: this.#streamCheck,
      upstreamStallMs: limits.upstreamStallMs,
      stalledCallerMs: limits.stalledCallerMs,
      onEvent: (atMs) => {
        if (!this.stats.hasStarted) {
          this.#startResponse(attempt);
          attempt.reportStarted(atMs);
        }
        this.stats.recordEvent(atMs);
        this.suspectCheck?.noteEvent();
      },
    });
  }

  #startResponse(attempt: Attempt): void {
    const { response } = this.call;
    this.stats.setServingUpstream(attempt);
    response.statusCode = 200;
    response.setHeader("content-type", "text/event-stream; charset=utf-8");
    response.setHeader("cache-control", "no-cache");
  }

  /** Resumes a broken stream where it stopped, at the engine that holds its state, if that engine supports it. */
  async #resume(
    attempt: Attempt,
    body: Buffer,
    signal: AbortSignal,
  ): Promise<UpstreamAnswer | undefined> {
    const row = this.stats.findUpstreamRow(attempt);
    if (
      !row?.resumes || this.#streamCheck.lastEventNumber === undefined ||
      signal.aborted
    ) return undefined;
    const answer = await this.#sendAttempt(attempt, body, signal);
    if (answer.isErr()) return undefined;
    if (answer.value.httpStatus === 200) return answer.value;
    answer.value.body.destroy();
    return undefined;
  }

  /** Retries at another engine if nothing was forwarded yet; otherwise sends the failure within the stream. */
  #handleBrokenStream(attempt: Attempt, reason: string): AttemptResult {
    this.ran = "yes";
    this.lastFailure = failure("streamBroken", {
      message: `the stream broke: ${reason}`,
    });
    if (!this.stats.hasStarted) {
      attempt.report("failed");
      return "retry";
    }
    this.endBegunAnswer(this.lastFailure);
    this.finish(attempt, "failed", 4004);
    return "answered";
  }

  protected override endBegunAnswer(error: Failure): void {
    const { response } = this.call;
    response.write(`data: ${JSON.stringify(buildFailureBody(error))}\n\n`);
    response.end();
  }

  async #sendWholeAnswer(
    attempt: Attempt,
    answer: UpstreamAnswer,
  ): Promise<AttemptResult> {
    const body = await readAnswerBody(answer.body);
    const isOwn = this.isOwnAnswer(attempt, answer.headers);
    if (body === undefined || !isOwn || !isValidJson(body)) {
      if (this.call.signal.aborted) {
        this.finish(attempt, "canceled", 4007);
        return "answered";
      }
      attempt.report("failed");
      if (body === undefined) {
        await this.suspectCheck?.reportBrokenConnection(attempt);
      }
      this.ran = "yes";
      this.lastFailure = failure("upstreamFailed", {
        ran: "yes",
        message: isOwn
          ? "the answer was cut short"
          : "the answer belongs to another attempt",
      });
      return "retry";
    }
    const { response } = this.call;
    if (hasEnded(response)) {
      this.finish(attempt, "done", 4007);
      return "answered";
    }
    this.stats.setServingUpstream(attempt);
    this.stats.recordEvent(this.context.clock.nowMs());
    response.statusCode = answer.httpStatus;
    response.setHeader(
      "content-type",
      answer.headers["content-type"] ?? "application/json",
    );
    response.end(body);
    if (answer.httpStatus < 500) this.suspectCheck?.reportServed();
    this.stats.recordUsage(JSON.parse(body.toString("utf8")).usage);
    this.finish(attempt, "done", 0);
    return "answered";
  }
}

function isValidJson(text: Buffer): boolean {
  try {
    JSON.parse(text.toString("utf8"));
    return true;
  } catch {
    return false;
  }
}
