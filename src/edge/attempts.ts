/**
 * Attempts of one request. Each attempt needs a slot from the pool's lead and reports its outcome at the end.
 *
 * @module
 */

import { type Failure, failure } from "../base/mod.ts";
import type { SlotGrant, SlotReport, SlotRequest } from "../decisions/mod.ts";
import { err, ok, type Result } from "neverthrow";
import { type Call, isBound } from "./call.ts";
import type { EdgeContext } from "./context.ts";

/** What the lead needs to place a request, besides its {@link Call}. */
export interface SlotDemand {
  readonly service: string;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly prefixHashes: readonly number[];
}

/** Measurements of an attempt, as far as they are known. */
export interface AttemptStats {
  readonly firstTokenAtMs?: number;
  readonly outputTokens?: number;
  readonly cachedTokens?: number;
}

/** An attempt whose slot was granted. It must be ended by {@link Attempt.report} or {@link Attempt.cancel}. */
export class Attempt {
  readonly grant: SlotGrant;
  readonly startedAtMs: number;
  readonly #context: EdgeContext;
  readonly #service: string;
  #hasEnded = false;

  constructor(context: EdgeContext, service: string, grant: SlotGrant) {
    this.#context = context;
    this.#service = service;
    this.grant = grant;
    this.startedAtMs = context.clock.nowMs();
  }

  /** Reports the first token, so that the lead can detect a slow upstream before the answer ends. */
  reportStarted(firstTokenAtMs: number): void {
    void this.#context.slots.ask(
      "report",
      this.#buildReport("started", { firstTokenAtMs }),
    );
  }

  /** Frees the slot and reports the outcome to the lead. */
  report(outcome: SlotReport["outcome"], stats: AttemptStats = {}): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    void this.#context.slots.ask("report", this.#buildReport(outcome, stats));
  }

  /** Returns the slot unused. */
  cancel(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    void this.#context.slots.ask("cancel", {
      attemptId: this.grant.attemptId,
      service: this.#service,
    });
  }

  #buildReport(
    outcome: SlotReport["outcome"],
    stats: AttemptStats,
  ): SlotReport {
    const { firstTokenAtMs, cachedTokens } = stats;
    return {
      attemptId: this.grant.attemptId,
      service: this.#service,
      upstreamId: this.grant.upstreamId,
      outcome,
      outputTokens: stats.outputTokens ?? 0,
      totalMs: this.#context.clock.nowMs() - this.startedAtMs,
      ...(cachedTokens === undefined ? {} : { cachedTokens }),
      ...(firstTokenAtMs === undefined
        ? {}
        : { firstTokenMs: firstTokenAtMs - this.startedAtMs }),
    };
  }
}

/** Acquires slots for one request, never at an upstream that the request has already tried. */
export class AttemptIterator {
  readonly #context: EdgeContext;
  readonly #call: Call;
  readonly #demand: SlotDemand;
  readonly #triedUpstreamIds: string[] = [];
  #usedRemoteRegion = false;

  constructor(context: EdgeContext, call: Call, demand: SlotDemand) {
    this.#context = context;
    this.#call = call;
    this.#demand = demand;
  }

  /** Whether another attempt is allowed. The limits keep a request that fails everywhere from being retried forever. */
  get hasNext(): boolean {
    return this.#triedUpstreamIds.length < this.#context.limits.attempts &&
      this.#context.clock.nowMs() < this.#demand.deadlineMs;
  }

  /** Waits for a slot. Fails with the lead's refusal, or with `canceled` if the call is canceled. */
  async next(): Promise<Result<Attempt, Failure>> {
    if (this.#call.signal.aborted) {
      return err(failure("canceled", { ran: "no" }));
    }
    const attemptId = this.#context.createAttemptId();
    const service = this.#demand.service;
    const cancelAcquire = () =>
      void this.#context.slots.ask("cancel", { attemptId, service });
    this.#call.signal.addEventListener("abort", cancelAcquire, { once: true });
    const answer = await this.#context.slots.ask(
      "acquire",
      this.#buildSlotRequest(attemptId),
    );
    this.#call.signal.removeEventListener("abort", cancelAcquire);
    if (answer.type === "grant") {
      const attempt = new Attempt(this.#context, service, answer);
      this.#triedUpstreamIds.push(answer.upstreamId);
      this.#usedRemoteRegion ||=
        this.#findRegion(answer) !== this.#context.vm.region;
      if (!this.#call.signal.aborted) return ok(attempt);
      attempt.cancel();
      return err(failure("canceled", { ran: "no" }));
    }
    if (answer.type === "refuse") return err(answer.failure);
    return err(
      failure("noUpstream", {
        message: `no slot here; region ${answer.region} may have one`,
      }),
    );
  }

  #buildSlotRequest(attemptId: string): SlotRequest {
    return {
      attemptId,
      ...this.#demand,
      workspace: this.#call.workspace.id,
      priority: this.#call.headers.priority,
      arrivedAtMs: this.#call.arrivedAtMs,
      exclude: [...this.#triedUpstreamIds],
      boundByCaller: isBound(this.#call.workspace, this.#call.headers),
      ...(this.#usedRemoteRegion ? { stayHome: true } : {}),
      tableVersion: this.#call.table.version,
    };
  }

  #findRegion(grant: SlotGrant): string {
    const row = this.#call.table.get(`upstream/${grant.upstreamId}`)?.row;
    return row?.kind === "upstream" ? row.region : this.#context.vm.region;
  }
}
