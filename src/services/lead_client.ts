/**
 * The entry VM's side of slot leasing: asks the lead of a pool for a slot, waits for the decision, keeps the granted
 * slots and renews them.
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
 * The longest time that a request is retried while no VM leads its pool, before it is refused. This is longer than it
 * takes to detect a dead VM, so that a crash of the lead delays its callers' requests but does not fail them.
 */
export const MAX_LEAD_WAIT_MS = 6000;
const RETRY_DELAY_MS = 100;

/** The interval between renewals of held slots: a third of a slot's TTL, so that a slot survives one lost renewal. */
export const RENEW_INTERVAL_MS = 2000;

interface PoolSlot {
  readonly pool: string;
  readonly slot: HeldSlot;
}

/** The dependencies of a {@link LeadClient}. */
export interface LeadClientContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly view: LeadView;
  readonly router: LeadRouter;
}

/** Acquires, renews, reports and cancels the slots of this VM's requests. */
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

  /** Asks the lead for a slot, and retries for up to {@link MAX_LEAD_WAIT_MS} while the lead changes. */
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

  /** Reports to the lead that an attempt started or ended, and removes the slot of one that ended. */
  report(report: SlotReport): void {
    const held = this.#held.get(report.attemptId);
    if (!held) return;
    if (report.outcome !== "started") this.#held.delete(report.attemptId);
    this.#context.router.report(held.pool, report);
  }

  /** Cancels an attempt whose caller disconnected: its queued request is withdrawn and its slot is released. */
  cancel(attemptId: string): void {
    const pool = this.#pending.get(attemptId)?.pool ??
      this.#held.get(attemptId)?.pool;
    if (pool === undefined) return;
    this.#held.delete(attemptId);
    this.#pending.get(attemptId)?.cancel();
    this.#context.router.cancel(pool, attemptId);
  }

  /** The slots of a pool that this VM holds. */
  heldOf(poolKey: string): HeldSlot[] {
    const slots: HeldSlot[] = [];
    for (const { pool, slot } of this.#held.values()) {
      if (pool === poolKey) slots.push(slot);
    }
    return slots;
  }

  /** Renews the slots of every pool, with one small message per pool to its lead. */
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

  /**
   * Refuses a request that was retried for too long. No upstream has received it: a slot that a lost lead may have
   * granted was never used.
   */
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
