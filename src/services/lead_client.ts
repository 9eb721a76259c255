/**
 * An entry VM's side: finds the lead of a pool, waits for its decision, keeps what it holds, renews it.
 *
 * @module
 */

import type { Log } from "../kernel/mod.ts";
import { digestAttempts } from "../agreement/mod.ts";
import { type Clock, failure, type Random } from "../base/mod.ts";
import type {
  HeldSlot,
  SlotAnswer,
  SlotReport,
  SlotRequest,
} from "../decisions/mod.ts";
import { heldSlot } from "./lead_pool.ts";
import type { LeadRouter } from "./lead_router.ts";
import type { LeadView } from "./lead_view.ts";

/**
 * How long a request waits through a change of leads before it is refused: longer than it takes to find a dead VM, so
 * that a crash of the lead costs its callers a pause and not an error.
 */
export const MAX_LEAD_WAIT_MS = 6000;
const RETRY_DELAY_MS = 100;

/** How often all held slots are renewed; a third of their time, so that one lost renewal does no harm. */
export const RENEW_INTERVAL_MS = 2000;

interface PoolSlot {
  readonly pool: string;
  readonly slot: HeldSlot;
}

/** What a {@link LeadClient} needs of its task. */
export interface LeadClientContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly view: LeadView;
  readonly router: LeadRouter;
}

/** See the module's comment. */
export class LeadClient {
  readonly #context: LeadClientContext;
  readonly #held = new Map<string, PoolSlot>();
  readonly #pending = new Map<
    string,
    { readonly pool: string; cancel(): void }
  >();
  readonly #renewing = new Set<string>();

  constructor(context: LeadClientContext) {
    this.#context = context;
  }

  /** Asks the lead for a slot; through a change of leads it asks again for a while. */
  async acquire(request: SlotRequest): Promise<SlotAnswer> {
    const { clock, view } = this.#context;
    let waitUntilMs = request.deadlineMs;
    let hasMoved = false;
    for (;;) {
      if (!view.table) return refuse("noTable", clock.nowMs());
      const pool = view.choosePool(request);
      if (!pool) return refuse("unknownService", undefined);
      const reply = await this.#requestSlot(pool.key, request);
      if (reply !== "moved") return reply;
      if (!hasMoved) {
        waitUntilMs = Math.min(waitUntilMs, clock.nowMs() + MAX_LEAD_WAIT_MS);
      }
      hasMoved = true;
      if (clock.nowMs() >= waitUntilMs) return this.#refuseTimedOut(request);
      await clock.sleep(RETRY_DELAY_MS * (0.5 + this.#context.random.next()));
    }
  }

  /** An attempt started or ended: tells its lead, and forgets it at its end. */
  report(report: SlotReport): void {
    const held = this.#held.get(report.attemptId);
    if (!held) return;
    if (report.outcome !== "started") this.#held.delete(report.attemptId);
    this.#context.router.report(held.pool, report);
  }

  /** The caller has gone: whatever the attempt waits for or holds is given up. */
  cancel(attemptId: string): void {
    const pool = this.#pending.get(attemptId)?.pool ??
      this.#held.get(attemptId)?.pool;
    if (pool === undefined) return;
    this.#held.delete(attemptId);
    this.#pending.get(attemptId)?.cancel();
    this.#context.router.cancel(pool, attemptId);
  }

  /** What this VM holds of a pool. */
  heldOf(poolKey: string): HeldSlot[] {
    const slots: HeldSlot[] = [];
    for (const { pool, slot } of this.#held.values()) {
      if (pool === poolKey) slots.push(slot);
    }
    return slots;
  }

  /** Renews every pool's slots, one small message to each lead. */
  renewAll(): void {
    const pools = new Set([...this.#held.values()].map((held) => held.pool));
    for (const pool of pools) {
      if (this.#renewing.has(pool)) continue;
      this.#renewing.add(pool);
      void this.#renew(pool).finally(() => this.#renewing.delete(pool));
    }
  }

  get heldCount(): number {
    return this.#held.size;
  }

  dump(): unknown {
    return { held: this.#held.size, pending: this.#pending.size };
  }

  async #requestSlot(
    pool: string,
    request: SlotRequest,
  ): Promise<SlotAnswer | "moved"> {
    const { attemptId } = request;
    let cancel = () => {};
    const canceled = new Promise<"canceled">((resolve) => {
      cancel = () => resolve("canceled");
    });
    this.#pending.set(attemptId, { pool, cancel });
    const acquiring = this.#context.router.acquire(pool, request);
    const reply = await Promise.race([acquiring, canceled]);
    this.#pending.delete(attemptId);
    if (reply === "canceled") {
      void acquiring.then((lateReply) => {
        if (lateReply.type === "moved" || lateReply.answer.type !== "grant") {
          return;
        }
        this.#context.router.cancel(pool, attemptId);
      });
      return { type: "refuse", failure: failure("canceled", { ran: "no" }) };
    }
    if (reply.type === "moved") return "moved";
    const { answer } = reply;
    if (answer.type === "grant") {
      this.#held.set(attemptId, { pool, slot: heldSlot(request, answer) });
    }
    return answer;
  }

  /** Nothing was handed to an upstream: a slot that a lost lead may have granted was never used. */
  #refuseTimedOut(request: SlotRequest): SlotAnswer {
    const nowMs = this.#context.clock.nowMs();
    this.#context.log.warn("no lead", { service: request.service });
    if (nowMs >= request.deadlineMs) return refuse("expiredInQueue", nowMs);
    return refuse("leadUnavailable", nowMs);
  }

  async #renew(pool: string): Promise<void> {
    const held = this.heldOf(pool);
    const digest = digestAttempts(held.map((slot) => slot.attemptId));
    const reply = await this.#context.router.renew(pool, digest);
    if (reply?.type !== "disagreed") return;
    await this.#context.router.renew(pool, digest, this.heldOf(pool));
  }
}

function refuse(
  code: "noTable" | "unknownService" | "leadUnavailable" | "expiredInQueue",
  nowMs: number | undefined,
): SlotAnswer {
  const retryAtMs = nowMs === undefined ? undefined : nowMs + 1000;
  return { type: "refuse", failure: failure(code, { ran: "no", retryAtMs }) };
}
