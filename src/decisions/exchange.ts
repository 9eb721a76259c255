/**
 * Requests sent to other regions and taken in from them.
 *
 * @module
 */

import { Table, type TrafficRow } from "../agreement/mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import {
  type FarRegion,
  NEVER_MS,
  type PoolDigest,
  type PoolOptions,
  type PoolOutput,
} from "./pool_messages.ts";
import { chooseRegion, mayLeave, ShiftLedger } from "./shift.ts";
import type { SlotRequest } from "./slots.ts";

/** Longest queue of a region that takes requests of others: an instant's queue is no lack of room. */
const MOST_WAIT_TO_TAKE_MS = 500;

/** What is expected of a request at home. */
export interface HomeForecast {
  /** Time in the queue. */
  readonly waitMs: number;
  /** Time from leaving the queue to the first token. */
  readonly firstMs: number;
  /** Time to prefill the whole prompt, nothing being warm. */
  readonly coldMs: number;
}

/** See the module. */
export class Exchange {
  readonly #options: PoolOptions;
  readonly #dispatcher: Dispatcher;
  readonly #ledger = new ShiftLedger();
  #table = Table.empty;
  #far: readonly FarRegion[] = [];

  constructor(options: PoolOptions, dispatcher: Dispatcher) {
    this.#options = options;
    this.#dispatcher = dispatcher;
  }

  configure(table: Table): void {
    this.#table = table;
  }

  /** What other regions say. */
  setFar(regions: readonly FarRegion[]): void {
    this.#far = regions;
  }

  /** Counts a request of this region's own. */
  arrived(request: SlotRequest, nowMs: number): void {
    if (request.sentFrom !== undefined || request.exclude.length > 0) return;
    this.#ledger.arrived(nowMs);
  }

  /** Sends the request away if that is allowed and better; `home` is absent if no upstream can take it. */
  send(
    request: SlotRequest,
    home: HomeForecast | undefined,
    nowMs: number,
  ): PoolOutput | undefined {
    const far = this.#chooseRegion(request, home, nowMs);
    if (!far) return undefined;
    this.#ledger.sent(far, nowMs);
    return {
      type: "answer",
      attemptId: request.attemptId,
      answer: { type: "shift", region: far.region },
    };
  }

  #chooseRegion(
    request: SlotRequest,
    home: HomeForecast | undefined,
    nowMs: number,
  ): FarRegion | undefined {
    const workspace = this.#table.workspace(request.workspace);
    const { sentFrom } = request;
    if (!mayLeave({ workspace, sentFrom })) return undefined;
    if (request.boundByCaller || request.stayHome) return undefined;
    const { service, region } = this.#options;
    return chooseRegion(
      {
        workspace,
        sentFrom,
        service: this.#table.service(service),
        traffic: this.#traffic(),
        region,
        homeMs: home ? home.waitMs + home.firstMs : Infinity,
        homeWaitMs: home?.waitMs ?? Infinity,
        coldMs: home?.coldMs ?? 0,
        deadlineMs: request.deadlineMs,
        nowMs,
      },
      this.#far,
      this.#ledger,
    );
  }

  /** What other regions are told. */
  digest(nowMs: number): PoolDigest {
    const { lanes, fleet } = this.#dispatcher;
    const { running, slots } = fleet.load(nowMs);
    const usable = slots > 0;
    return {
      predictedWaitMs: usable ? this.#dispatcher.waits.emptyMs() : NEVER_MS,
      takesIn: usable && this.takesIn(nowMs),
      queued: lanes.size,
      running,
      slots,
    };
  }

  /**
   * Whether it takes a request of another region now. A region that waits itself, or that sends away, has nothing to give;
   * and part of its slots is kept for its own callers, who may come in the second that a digest is old.
   */
  takesIn(nowMs: number): boolean {
    if (this.#ledger.sending(nowMs)) return false;
    const { fleet } = this.#dispatcher;
    if (this.#dispatcher.waits.emptyMs() > MOST_WAIT_TO_TAKE_MS) return false;
    const { running, slots } = fleet.load(nowMs);
    const reserve = this.#traffic()?.reserveShare ?? 0.2;
    return running < slots * (1 - reserve);
  }

  #traffic(): TrafficRow | undefined {
    const { service, region } = this.#options;
    return this.#table.traffic(service, region);
  }
}
