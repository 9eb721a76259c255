/**
 * Handles one call of a plain service. A call that must run at most once runs under a claim.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { type Failure, failure } from "../base/mod.ts";
import type { UpstreamAnswer, UpstreamError } from "../adapters/mod.ts";
import type { ClaimAnswer, ClaimKey, ServiceRow } from "../agreement/mod.ts";
import { breakOffResponse, hasEnded } from "./answer.ts";
import { type Attempt, AttemptIterator } from "./attempts.ts";
import { hasBegun, readAnswerBody } from "./body.ts";
import { type Call, getDeadlineMs } from "./call.ts";
import { type AttemptResult, CallHandler } from "./call_handler.ts";
import type { EdgeContext } from "./context.ts";
import { endsInsideEvent, EventEndCheck, isEventStream } from "./event_end.ts";
import { selectForwardedHeaders } from "./headers.ts";

/** Methods that HTTP defines as safe: they change nothing, so they need no claim and may be retried. */
const SAFE_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);
/** Methods that HTTP defines as idempotent; they may be retried too if the service is not `atMostOnce`. */
const IDEMPOTENT_METHODS = new Set([...SAFE_METHODS, "PUT", "DELETE"]);
/**
 * Maximum length of an answer that is stored for repeated requests. A longer one is omitted, and a header of the response
 * to the repeated request says so.
 */
const MAX_KEPT_ANSWER_BYTES = 16 << 10;
/** Work assumed for a plain call, in tokens: it has no prefill, and the length of its answer is not known. */
const PLAIN_DEMAND = {
  promptTokens: 1,
  expectedOutputTokens: 1,
  prefixHashes: [],
};

/** Statuses that mean that the call was not run, provided that the service confirms it by `x-ran: no`. */
const REFUSAL_STATUSES = new Set([429, 503]);

/** The claim that a call runs under. */
interface HeldClaim extends ClaimKey {
  readonly claimId: string;
  readonly dispatchBeforeMonoMs: number;
}

/** Handles a call of a plain service. */
export class PlainCallHandler extends CallHandler {
  readonly #service: ServiceRow;
  readonly #path: string;
  readonly #needsClaim: boolean;
  readonly #isRepeatable: boolean;
  #claim: HeldClaim | undefined;
  /** Sends the answer of a call under a claim, while that answer waits only for its record. */
  #sendReadyAnswer: (() => void) | undefined;

  /** `path` is the part of the URL after the service's name, including the query. */
  constructor(
    context: EdgeContext,
    call: Call,
    service: ServiceRow,
    path: string,
  ) {
    super(context, call);
    this.#service = service;
    this.#path = path;
    this.stats.service = service.id;
    const method = call.request.method ?? "GET";
    this.#needsClaim = service.atMostOnce && !SAFE_METHODS.has(method);
    this.#isRepeatable = !this.#needsClaim && IDEMPOTENT_METHODS.has(method);
  }

  protected override async handle(): Promise<void> {
    if (this.#needsClaim && this.call.headers.idempotencyKey === undefined) {
      return this.fail(failure("keyRequired"));
    }
    const body = await this.readRequestBody();
    if (body.isErr()) return this.fail(body.error);
    const deadlineMs = getDeadlineMs(this.call, this.#service);
    const demand = { ...PLAIN_DEMAND, service: this.#service.id, deadlineMs };
    const attempts = new AttemptIterator(this.context, this.call, demand);
    const suspectCheck = this.createSuspectCheck(
      body.value,
      this.#service.id,
      [],
    );
    while (attempts.hasNext) {
      const refusal = await suspectCheck.findRefusal();
      if (refusal) return await this.#finishWithFailure(this.keepRan(refusal));
      const attempt = await attempts.next();
      if (attempt.isErr()) {
        return await this.#finishWithFailure(this.keepRan(attempt.error));
      }
      this.stats.recordGrant(attempt.value);
      const result = await this.#runAttempt(
        attempt.value,
        body.value,
        deadlineMs,
      );
      if (result === "answered") return;
    }
    await this.#finishWithFailure(this.lastFailure);
  }

  async #runAttempt(
    attempt: Attempt,
    body: Buffer,
    deadlineMs: number,
  ): Promise<AttemptResult> {
    if (this.#needsClaim && !this.#claim) {
      const hasClaim = await this.#acquireClaim(body, deadlineMs);
      if (!hasClaim) {
        attempt.cancel();
        return "answered";
      }
    }
    const controller = new AbortController();
    const abort = () => controller.abort();
    // A call under a claim continues after its caller disconnects: its answer is stored for the caller's retry.
    const canceled = this.#claim ? this.call.open.stopSignal : this.call.signal;
    if (canceled.aborted) abort();
    canceled.addEventListener("abort", abort, { once: true });
    const timer = this.context.clock.after(
      deadlineMs - this.context.clock.nowMs(),
      abort,
    );
    const answer = await this.#dispatch(attempt, body, controller.signal);
    timer.close();
    try {
      if (answer === undefined) return "answered";
      if (answer.isErr()) {
        return await this.#handleUpstreamError(attempt, answer.error);
      }
      return await this.#forwardAnswer(attempt, answer.value);
    } finally {
      canceled.removeEventListener("abort", abort);
    }
  }

  /**
   * Sends the call to the upstream. If this VM was paused after it acquired the claim, another VM may have taken the
   * claim over since, and the call would run twice. So the claim's deadline on this VM's monotonic clock is checked in
   * the same synchronous step that sends the call.
   */
  async #dispatch(attempt: Attempt, body: Buffer, signal: AbortSignal) {
    const { grant } = attempt;
    const claim = this.#claim;
    const headers = selectForwardedHeaders(this.call.request.headers);
    headers["x-request-id"] = grant.attemptId;
    if (claim && this.context.clock.monoMs() >= claim.dispatchBeforeMonoMs) {
      attempt.cancel();
      await this.#finishWithFailure(
        failure("claimUnavailable", {
          retryAtMs: this.context.clock.nowMs() + 1000,
        }),
      );
      return undefined;
    }
    const method = this.call.request.method ?? "GET";
    return await this.openUpstream({
      url: grant.url,
      path: this.#path,
      method,
      headers,
      body,
    }, signal);
  }

  /** Acquires the claim. Otherwise responds to the caller with the state of the idempotency key and returns false. */
  async #acquireClaim(body: Buffer, deadlineMs: number): Promise<boolean> {
    const key: ClaimKey = {
      service: this.#service.id,
      workspace: this.call.workspace.id,
      key: this.call.headers.idempotencyKey!,
    };
    const hash = createHash("sha256");
    hash.update(`${this.call.request.method} ${this.#path}\n`);
    const bodyDigest = hash.update(body).digest("hex");
    const verdict = await this.context.claims.ask("claim", {
      ...key,
      bodyDigest,
      deadlineMs,
    });
    const retryAtMs = this.context.clock.nowMs() + 1000;
    switch (verdict.type) {
      case "granted":
        this.#claim = { ...key, ...verdict };
        return true;
      case "answered":
        this.#sendStoredAnswer(verdict.answer);
        return false;
      case "running":
        this.fail(failure("stillRunning", { retryAtMs }));
        return false;
      case "unknown":
        this.fail(failure("outcomeUnknown"));
        return false;
      case "mismatch":
        this.fail(failure("keyReused"));
        return false;
      case "refused":
        this.fail(verdict.failure);
        return false;
    }
  }

  /** Responds to a repeated request with the stored answer of the first one. */
  #sendStoredAnswer(answer: ClaimAnswer): void {
    const { response } = this.call;
    response.setHeader("x-ibisgap-repeated", "true");
    if (answer.truncated) {
      response.setHeader("x-ibisgap-answer-omitted", "true");
    }
    response.statusCode = answer.httpStatus;
    response.setHeader("content-type", answer.contentType);
    response.end(Buffer.from(answer.bodyBase64, "base64"));
    this.stats.finish(0);
  }

  async #handleUpstreamError(
    attempt: Attempt,
    error: UpstreamError,
  ): Promise<AttemptResult> {
    if (error.kind === "unreachable") {
      return this.handleNotRun(attempt, "unreachable");
    }
    const isLost = error.kind === "lost";
    attempt.report(isLost ? "failed" : "canceled");
    if (isLost) await this.suspectCheck?.reportBrokenConnection(attempt);
    if (error.kind !== "withdrawn") this.ran = "unknown";
    this.lastFailure = isLost
      ? failure("upstreamFailed", { message: error.message })
      : this.#createCancelFailure();
    if (this.#isRepeatable && !this.call.signal.aborted) return "retry";
    await this.#finishWithFailure(this.lastFailure);
    return "answered";
  }

  /** An attempt under a claim outlives its caller, so that only its deadline cancels it. */
  #createCancelFailure(): Failure {
    const hasCallerLeft = this.call.signal.aborted && !this.#needsClaim;
    const code = hasCallerLeft ? "canceled" : "upstreamTimeout";
    return failure(code, { ran: this.ran });
  }

  async #forwardAnswer(
    attempt: Attempt,
    answer: UpstreamAnswer,
  ): Promise<AttemptResult> {
    const { response } = this.call;
    if (!this.isOwnAnswer(attempt, answer.headers)) {
      answer.body.destroy();
      return await this.#handleUpstreamError(attempt, {
        kind: "lost",
        message: "the answer belongs to another attempt",
      });
    }
    if (
      REFUSAL_STATUSES.has(answer.httpStatus) &&
      answer.headers["x-ran"] === "no"
    ) {
      answer.body.destroy();
      return this.handleNotRun(attempt, "refused");
    }
    if (this.#claim) return await this.#storeAndForwardAnswer(attempt, answer);
    // Nothing is sent before the body's first bytes, so until then another answer may come in place of this one.
    if (!await hasBegun(answer.body)) {
      return await this.#handleUpstreamError(attempt, {
        kind: this.call.signal.aborted ? "canceled" : "lost",
        message: "the answer broke off before its body",
      });
    }
    // The planned stop may have answered meanwhile.
    if (hasEnded(response)) {
      answer.body.destroy();
      this.finish(attempt, "canceled", 4007);
      return "answered";
    }
    this.#startResponse(attempt, answer);
    try {
      await forwardBody(answer, response);
      if (answer.httpStatus < 500) this.suspectCheck?.reportServed();
      this.finish(attempt, "done", 0);
    } catch {
      if (!this.call.signal.aborted) {
        void this.suspectCheck?.reportBrokenConnection(attempt);
      }
      // The rest of the content or the last chunk is missing, so the caller's client detects the incomplete answer.
      breakOffResponse(response);
      this.finish(
        attempt,
        this.call.signal.aborted ? "canceled" : "failed",
        4004,
      );
    }
    return "answered";
  }

  /** Stores the answer before it is forwarded, so that a repeated request gets the answer that the first caller got. */
  async #storeAndForwardAnswer(
    attempt: Attempt,
    answer: UpstreamAnswer,
  ): Promise<AttemptResult> {
    const body = await readAnswerBody(answer.body);
    if (body === undefined && this.call.open.stopSignal.aborted) {
      const message = "canceled";
      return await this.#handleUpstreamError(attempt, {
        kind: "canceled",
        message,
      });
    }
    if (
      body === undefined ||
      (isEventStream(answer.headers) && endsInsideEvent(body))
    ) {
      const message = "the answer was cut short, or is too long";
      return await this.#handleUpstreamError(attempt, {
        kind: "lost",
        message,
      });
    }
    const isTruncated = body.length > MAX_KEPT_ANSWER_BYTES;
    const claim = this.#claim!;
    this.#sendReadyAnswer = () => {
      this.#startResponse(attempt, answer);
      this.call.response.end(body);
      this.finish(attempt, "done", 0);
    };
    await this.context.claims.ask("finish", {
      ...claim,
      answer: {
        httpStatus: answer.httpStatus,
        contentType: answer.headers["content-type"] ??
          "application/octet-stream",
        bodyBase64: isTruncated ? "" : body.toString("base64"),
        truncated: isTruncated,
      },
    });
    if (!hasEnded(this.call.response)) this.#sendReadyAnswer();
    if (answer.httpStatus < 500) this.suspectCheck?.reportServed();
    this.finish(attempt, "done", 0);
    return "answered";
  }

  protected override stop(goTo: readonly string[]): void {
    if (!hasEnded(this.call.response)) this.#sendReadyAnswer?.();
    super.stop(goTo);
  }

  protected override endBegunAnswer(): void {
    breakOffResponse(this.call.response);
  }

  #startResponse(attempt: Attempt, answer: UpstreamAnswer): void {
    const { response } = this.call;
    this.stats.setServingUpstream(attempt);
    this.stats.recordEvent(this.context.clock.nowMs());
    response.statusCode = answer.httpStatus;
    for (
      const [name, value] of Object.entries(
        selectForwardedHeaders(answer.headers),
      )
    ) {
      // An event stream may turn out to end inside an event. If its length were told before, it would look complete.
      if (name === "content-length" && isEventStream(answer.headers)) continue;
      response.setHeader(name, value);
    }
  }

  /** Ends the call with a failure. Its claim is released only if the call was certainly not run, otherwise abandoned. */
  async #finishWithFailure(error: Failure): Promise<void> {
    const claim = this.#claim;
    if (claim) {
      await this.context.claims.ask(
        error.ran === "no" ? "release" : "abandon",
        claim,
      );
    }
    this.fail(error);
  }
}

/** Forwards the body of an answer as it arrives; rejects if it was broken off. */
async function forwardBody(
  answer: UpstreamAnswer,
  response: ServerResponse,
): Promise<void> {
  const checks = isEventStream(answer.headers) ? [new EventEndCheck()] : [];
  for (const source of [answer.body, ...checks]) {
    // `pipeline` closes the response in order on an error, which not every caller can tell from its end.
    source.once("error", () => breakOffResponse(response));
  }
  await pipeline([answer.body, ...checks, response]);
}
