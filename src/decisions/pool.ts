/**
 * The lead of a pool as a state machine. The lead is the one VM that admits, queues and places the requests for the
 * pool's upstreams.
 *
 * @module
 */

import type { ServiceRow, Table, UpstreamRow } from "../agreement/mod.ts";
import { Random } from "../base/mod.ts";
import { AdmissionControl, type AdmissionResult } from "./admission_control.ts";
import { type ChangedUpstreams, Dispatcher } from "./dispatcher.ts";
import { RegionRouter } from "./region_router.ts";
import {
  type HeldSlot,
  type LoadReport,
  type PoolDigest,
  type PoolOptions,
  type PoolOutput,
  type RemoteRegion,
  SLOT_TTL_MS,
} from "./pool_messages.ts";
import type { SlotReport, SlotRequest } from "./slots.ts";

/** The state of a pool's lead. Each method is one step and returns what the lead's task must do. */
export class Pool {
  readonly options: PoolOptions;
  readonly #dispatcher: Dispatcher;
  readonly #regionRouter: RegionRouter;
  readonly #admission: AdmissionControl;
  #service?: ServiceRow;

  constructor(options: PoolOptions) {
    this.options = options;
    const random = new Random(options.seed);
    this.#dispatcher = new Dispatcher(random);
    this.#regionRouter = new RegionRouter(options, this.#dispatcher);
    this.#admission = new AdmissionControl(
      options,
      this.#dispatcher,
      this.#regionRouter,
      random,
    );
  }

  /** Applies the current rows: the pool's upstreams, and the other rows of the table that decisions depend on. */
  configure(
    table: Table,
    upstreams: readonly UpstreamRow[],
    nowMs: number,
  ): PoolOutput[] {
    this.#dispatcher.configure(upstreams, nowMs);
    this.#admission.configure(table, nowMs);
    this.#regionRouter.configure(table);
    this.#service = table.service(this.options.service);
    return this.tick(nowMs);
  }

  /** Answers a request for a slot now or queues it. A repeated request gets the same answer. */
  request(request: SlotRequest, nowMs: number): PoolOutput[] {
    const granted = this.#dispatcher.grantOf(request.attemptId);
    if (granted) return [granted];
    if (this.#dispatcher.lanes.has(request.attemptId)) return [];
    const arrival: AdmissionResult = this.#admission.admit(request, nowMs);
    if (arrival.type === "answered") return [arrival.output];
    this.#dispatcher.enqueue(arrival.entry, nowMs);
    return this.#dispatch([], nowMs);
  }

  /**
   * Handles a report that an attempt got its first token or ended: updates the estimates, and frees the slot at the
   * end.
   */
  report(report: SlotReport, nowMs: number): PoolOutput[] {
    const ended = this.#dispatcher.report(report, nowMs);
    if (!ended) return this.#dispatch([], nowMs);
    this.#admission.releaseHeld(ended, report.outputTokens);
    return this.#dispatch([ended.upstream.row.id], nowMs);
  }

  /** Holds these slots for another {@link SLOT_TTL_MS}; returns those that are unknown. */
  renew(attemptIds: readonly string[], nowMs: number): readonly string[] {
    const untilMs = nowMs + SLOT_TTL_MS;
    return attemptIds.filter((id) => !this.#dispatcher.renew(id, untilMs));
  }

  /** Handles a caller that has gone: removes its queued attempt or frees its slot. */
  cancel(attemptId: string, nowMs: number): PoolOutput[] {
    const queued = this.#dispatcher.lanes.remove(attemptId);
    if (queued) this.#admission.releaseQueued(queued);
    const held = this.#dispatcher.cancel(attemptId, nowMs);
    if (held) this.#admission.releaseHeld(held, 0);
    return this.#dispatch("all", nowMs);
  }

  /** Applies an upstream's own report of its load. */
  observe(load: LoadReport, nowMs: number): PoolOutput[] {
    this.#dispatcher.observe(load, nowMs);
    return this.#dispatch("all", nowMs);
  }

  /** Replaces the latest digests of other regions. */
  setRemoteRegions(regions: readonly RemoteRegion[], _nowMs: number): void {
    this.#regionRouter.setRemoteRegions(regions);
  }

  /**
   * Takes over slots that entry VMs hold. A new lead starts cautiously, as it gets these slots only with the next
   * renewals.
   */
  adopt(held: readonly HeldSlot[], nowMs: number): PoolOutput[] {
    for (const slot of held) this.#dispatcher.adopt(slot, nowMs);
    return this.#dispatch("all", nowMs);
  }

  /** Frees expired slots, refuses late requests and places queued ones. It is called about every 50 ms. */
  tick(nowMs: number): PoolOutput[] {
    for (const held of this.#dispatcher.expire(nowMs)) {
      this.#admission.releaseHeld(held, held.expectedOutputTokens);
    }
    this.#dispatcher.advance(nowMs);
    const orders = this.#dispatcher.scale(this.#service, nowMs);
    return [...orders, ...this.#dispatch("all", nowMs)];
  }

  /** Returns the digest for other regions. */
  digest(nowMs: number): PoolDigest {
    return this.#regionRouter.digest(nowMs);
  }

  /** Returns the pool's state for operators. */
  dump(): unknown {
    return { ...this.options, ...this.#dispatcher.dump() };
  }

  // A request is answered in the step in which its answer is decided, as a caller that is refused early can still go
  // elsewhere.
  #dispatch(changed: ChangedUpstreams, nowMs: number): PoolOutput[] {
    const refused = this.#admission.refuseLate(nowMs);
    return [...refused, ...this.#dispatcher.dispatch(changed, nowMs)];
  }
}
