/**
 * One call of a plain service; one that may not be repeated runs under a claim.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { pipeline } from "node:stream/promises";
import { type Failure, failure } from "../base/mod.ts";
import type { UpstreamAnswer, UpstreamError } from "../adapters/mod.ts";
import type { ClaimAnswer, ClaimKey, ServiceRow } from "../agreement/mod.ts";
import { type Attempt, Attempts } from "./attempts.ts";
import { readAnswer, readBody } from "./body.ts";
import { type Call, deadlineOf } from "./call.ts";
import { CallRun, type Step } from "./call_run.ts";
import type { EdgeContext } from "./context.ts";
import { endToEnd } from "./headers.ts";
import type { Suspicion } from "./suspicion.ts";

/** Methods that change nothing, by HTTP's own definition: they need no claim and may be sent again. */
const SAFE_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);
/** Methods whose repetition changes nothing more; without `atMostOnce` they may be sent again too. */
const IDEMPOTENT_METHODS = new Set([...SAFE_METHODS, "PUT", "DELETE"]);
/** Longest answer kept for repeats; a longer one is told to have been left out. */
const KEPT_ANSWER_BYTES = 16 << 10;
/** Work counted for a plain call, in tokens: it prefills nothing and its length is not known. */
const PLAIN_WORK = {
  promptTokens: 1,
  expectedOutputTokens: 1,
  prefixHashes: [],
};

/** Answers that mean "not run", but only where the service says so itself by `x-ran: no`. */
const REFUSALS = new Set([429, 503]);

/** The claim a call runs under. */
interface HeldClaim extends ClaimKey {
  readonly claimId: string;
  readonly dispatchBeforeMonoMs: number;
}

/** See the module's comment; `run` once. */
export class PlainCall extends CallRun {
  readonly #service: ServiceRow;
  readonly #path: string;
  readonly #atMostOnce: boolean;
  readonly #mayRepeat: boolean;
  #claim: HeldClaim | undefined;
  #suspicion!: Suspicion;

  /** `path` is what follows the service's name, with its query. */
  constructor(
    context: EdgeContext,
    call: Call,
    service: ServiceRow,
    path: string,
  ) {
    super(context, call);
    this.#service = service;
    this.#path = path;
    this.seen.service = service.id;
    const method = call.request.method ?? "GET";
    this.#atMostOnce = service.atMostOnce && !SAFE_METHODS.has(method);
    this.#mayRepeat = !this.#atMostOnce && IDEMPOTENT_METHODS.has(method);
  }

  /** Answers the caller. */
  override async run(): Promise<void> {
    if (this.#atMostOnce && this.call.headers.idempotencyKey === undefined) {
      return this.fail(failure("keyRequired"));
    }
    const body = await readBody(
      this.call.request,
      this.context.limits,
      this.context.clock,
    );
    if (body.isErr()) return this.fail(body.error);
    const deadlineMs = deadlineOf(this.call, this.#service);
    const demand = { ...PLAIN_WORK, service: this.#service.id, deadlineMs };
    const attempts = new Attempts(this.context, this.call, demand);
    this.#suspicion = this.suspicionOf(body.value);
    while (attempts.left) {
      const refused = await this.#suspicion.refusal();
      if (refused) return await this.#giveUp(this.worst(refused));
      const attempt = await attempts.next();
      if (attempt.isErr()) {
        return await this.#giveUp(this.worst(attempt.error));
      }
      this.seen.granted(attempt.value);
      const step = await this.#attempt(attempt.value, body.value, deadlineMs);
      if (step === "answered") return;
    }
    await this.#giveUp(this.last);
  }

  async #attempt(
    attempt: Attempt,
    body: Buffer,
    deadlineMs: number,
  ): Promise<Step> {
    if (this.#atMostOnce && !this.#claim) {
      const claimed = await this.#takeClaim(body, deadlineMs);
      if (!claimed) {
        attempt.cancel();
        return "answered";
      }
    }
    const abort = new AbortController();
    const stop = () => abort.abort();
    // A call under a claim goes on when its caller has gone: its answer is kept for the caller's next try.
    if (!this.#atMostOnce) {
      this.call.signal.addEventListener("abort", stop, { once: true });
    }
    const timer = this.context.clock.after(
      deadlineMs - this.context.clock.nowMs(),
      stop,
    );
    const answer = await this.#dispatch(attempt, body, abort.signal);
    timer.close();
    try {
      if (answer === undefined) return "answered";
      if (answer.isErr()) return await this.#noAnswer(attempt, answer.error);
      return await this.#passOn(attempt, answer.value);
    } finally {
      this.call.signal.removeEventListener("abort", stop);
    }
  }

  /**
   * A VM that was paused between its claim and this line may wake after another VM took the claim over; the call would
   * run twice. The claim's own deadline on this VM's monotonic clock is therefore checked in the step that sends.
   */
  async #dispatch(attempt: Attempt, body: Buffer, signal: AbortSignal) {
    const { grant } = attempt;
    const claim = this.#claim;
    const headers = endToEnd(this.call.request.headers);
    headers["x-request-id"] = grant.attemptId;
    if (claim && this.context.clock.monoMs() >= claim.dispatchBeforeMonoMs) {
      attempt.cancel();
      await this.#giveUp(
        failure("claimUnavailable", {
          retryAtMs: this.context.clock.nowMs() + 1000,
        }),
      );
      return undefined;
    }
    const method = this.call.request.method ?? "GET";
    return await this.context.upstreams.open({
      url: grant.url,
      path: this.#path,
      method,
      headers,
      body,
    }, signal);
  }

  /** Records the claim; otherwise answers the caller with what the key stands for, and returns false. */
  async #takeClaim(body: Buffer, deadlineMs: number): Promise<boolean> {
    const key: ClaimKey = {
      service: this.#service.id,
      workspace: this.call.workspace.id,
      key: this.call.headers.idempotencyKey!,
    };
    const digest = createHash("sha256");
    digest.update(`${this.call.request.method} ${this.#path}\n`);
    const bodyDigest = digest.update(body).digest("hex");
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
        this.#repeat(verdict.answer);
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

  /** Gives a second arrival the first one's answer. */
  #repeat(answer: ClaimAnswer): void {
    const { response } = this.call;
    response.setHeader("x-ibisgap-repeated", "true");
    if (answer.truncated) {
      response.setHeader("x-ibisgap-answer-omitted", "true");
    }
    response.statusCode = answer.httpStatus;
    response.setHeader("content-type", answer.contentType);
    response.end(Buffer.from(answer.bodyBase64, "base64"));
    this.seen.finish(0);
  }

  async #noAnswer(attempt: Attempt, error: UpstreamError): Promise<Step> {
    if (error.kind === "unreachable") {
      return this.notRun(attempt, "unreachable");
    }
    const isLost = error.kind === "lost";
    attempt.report(isLost ? "failed" : "canceled");
    if (isLost) await this.#suspicion.noteLost(attempt);
    if (error.kind !== "withdrawn") this.ran = "unknown";
    this.last = isLost
      ? failure("upstreamFailed", { message: error.message })
      : failure("upstreamTimeout", { ran: this.ran });
    if (this.#mayRepeat && !this.call.signal.aborted) return "retry";
    await this.#giveUp(this.last);
    return "answered";
  }

  async #passOn(attempt: Attempt, answer: UpstreamAnswer): Promise<Step> {
    const { response } = this.call;
    if (!this.isOwn(attempt, answer.headers)) {
      answer.body.destroy();
      return await this.#noAnswer(attempt, {
        kind: "lost",
        message: "the answer belongs to another attempt",
      });
    }
    if (REFUSALS.has(answer.httpStatus) && answer.headers["x-ran"] === "no") {
      answer.body.destroy();
      return this.notRun(attempt, "refused");
    }
    if (this.#claim) return await this.#passOnClaimed(attempt, answer);
    this.#begin(attempt, answer);
    try {
      await pipeline(answer.body, response);
      if (answer.httpStatus < 500) this.#suspicion.noteServed();
      this.end(attempt, "done", 0);
    } catch {
      if (!this.call.signal.aborted) void this.#suspicion.noteLost(attempt);
      // Its length or last chunk is missing, so the caller's client sees that the answer was cut.
      response.destroy();
      this.end(
        attempt,
        this.call.signal.aborted ? "canceled" : "failed",
        4004,
      );
    }
    return "answered";
  }

  /** Keeps the answer for repeats before it is passed on: what one caller has seen, a repeat must see too. */
  async #passOnClaimed(
    attempt: Attempt,
    answer: UpstreamAnswer,
  ): Promise<Step> {
    const body = await readAnswer(answer.body);
    if (body === undefined) {
      const message = "the answer was cut short, or is too long";
      return await this.#noAnswer(attempt, { kind: "lost", message });
    }
    const truncated = body.length > KEPT_ANSWER_BYTES;
    const claim = this.#claim!;
    await this.context.claims.ask("finish", {
      ...claim,
      answer: {
        httpStatus: answer.httpStatus,
        contentType: answer.headers["content-type"] ??
          "application/octet-stream",
        bodyBase64: truncated ? "" : body.toString("base64"),
        truncated,
      },
    });
    this.#begin(attempt, answer);
    if (answer.httpStatus < 500) this.#suspicion.noteServed();
    this.call.response.end(body);
    this.end(attempt, "done", 0);
    return "answered";
  }

  #begin(attempt: Attempt, answer: UpstreamAnswer): void {
    const { response } = this.call;
    this.seen.setServed(attempt);
    this.seen.event(this.context.clock.nowMs());
    response.statusCode = answer.httpStatus;
    for (const [name, value] of Object.entries(endToEnd(answer.headers))) {
      response.setHeader(name, value);
    }
  }

  /** The final answer after no attempt succeeded; the claim is given back only if no byte went out. */
  async #giveUp(failed: Failure): Promise<void> {
    const claim = this.#claim;
    if (claim) {
      await this.context.claims.ask(
        failed.ran === "no" ? "release" : "abandon",
        claim,
      );
    }
    this.fail(failed);
  }
}
