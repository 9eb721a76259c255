/**
 * Attempts of one request: a slot from the pool's lead for each, and its report at the end.
 *
 * @module
 */

import { type Failure, failure } from "../base/mod.ts";
import type { SlotGrant, SlotReport, SlotRequest } from "../decisions/mod.ts";
import { err, ok, type Result } from "neverthrow";
import { type Call, isBound } from "./call.ts";
import type { EdgeContext } from "./context.ts";

/** What placing a request needs, besides its {@link Call}. */
export interface SlotDemand {
  readonly service: string;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly prefixHashes: readonly number[];
}

/** What was seen of an attempt. */
export interface AttemptStats {
  readonly firstTokenAtMs?: number;
  readonly outputTokens?: number;
  readonly cachedTokens?: number;
}

/** A granted attempt; it must be ended by {@link Attempt.report} or {@link Attempt.cancel}, once. */
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

  /** The first token came: the lead learns of a slow upstream now and not at the answer's end. */
  reportStarted(firstTokenAtMs: number): void {
    void this.#context.slots.ask(
      "report",
      this.#buildReport("started", { firstTokenAtMs }),
    );
  }

  /** Frees the slot and tells the lead how the upstream did. */
  report(outcome: SlotReport["outcome"], stats: AttemptStats = {}): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    void this.#context.slots.ask("report", this.#buildReport(outcome, stats));
  }

  /** Gives the slot back unused. */
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

/** Asks for slots for one request, never for an upstream it was already at. */
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

  /** Whether another attempt is allowed: a request that fails everywhere must not go round for ever. */
  get hasNext(): boolean {
    return this.#triedUpstreamIds.length < this.#context.limits.attempts &&
      this.#context.clock.nowMs() < this.#demand.deadlineMs;
  }

  /** Waits for a slot. Fails with the lead's refusal, or `canceled` when the caller has gone. */
  async next(): Promise<Result<Attempt, Failure>> {
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
