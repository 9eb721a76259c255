/**
 * Requests sent to other regions and taken in from them.
 *
 * @module
 */

import { Table, type TrafficRow } from "../agreement/mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import {
  NEVER_MS,
  type PoolDigest,
  type PoolOptions,
  type PoolOutput,
  type RemoteRegion,
} from "./pool_messages.ts";
import { canLeaveRegion, chooseRegion, ShiftCounts } from "./shift.ts";
import type { SlotRequest } from "./slots.ts";

/** Longest queue of a region that takes requests of others: an instant's queue is no lack of room. */
const MAX_ACCEPT_WAIT_MS = 500;

/** What is expected of a request at home. */
export interface HomeForecast {
  /** Time in the queue. */
  readonly waitMs: number;
  /** Time from leaving the queue to the first token. */
  readonly firstTokenMs: number;
  /** Time to prefill the whole prompt, nothing being warm. */
  readonly coldMs: number;
}

/** See the module. */
export class RegionRouter {
  readonly #options: PoolOptions;
  readonly #dispatcher: Dispatcher;
  readonly #shiftCounts = new ShiftCounts();
  #table = Table.empty;
  #remoteRegions: readonly RemoteRegion[] = [];

  constructor(options: PoolOptions, dispatcher: Dispatcher) {
    this.#options = options;
    this.#dispatcher = dispatcher;
  }

  configure(table: Table): void {
    this.#table = table;
  }

  /** What other regions say. */
  setRemoteRegions(regions: readonly RemoteRegion[]): void {
    this.#remoteRegions = regions;
  }

  /** Counts a request of this region's own. */
  recordArrival(request: SlotRequest, nowMs: number): void {
    if (request.sentFrom !== undefined || request.exclude.length > 0) return;
    this.#shiftCounts.recordArrival(nowMs);
  }

  /** Sends the request away if that is allowed and better; `home` is absent if no upstream can take it. */
  trySend(
    request: SlotRequest,
    home: HomeForecast | undefined,
    nowMs: number,
  ): PoolOutput | undefined {
    const remote = this.#chooseRegion(request, home, nowMs);
    if (!remote) return undefined;
    this.#shiftCounts.recordSent(remote, nowMs);
    return {
      type: "answer",
      attemptId: request.attemptId,
      answer: { type: "shift", region: remote.region },
    };
  }

  #chooseRegion(
    request: SlotRequest,
    home: HomeForecast | undefined,
    nowMs: number,
  ): RemoteRegion | undefined {
    const workspace = this.#table.workspace(request.workspace);
    const { sentFrom } = request;
    if (!canLeaveRegion({ workspace, sentFrom })) return undefined;
    if (request.boundByCaller || request.stayHome) return undefined;
    const { service, region } = this.#options;
    return chooseRegion(
      {
        workspace,
        sentFrom,
        service: this.#table.service(service),
        traffic: this.#trafficRow(),
        region,
        homeMs: home ? home.waitMs + home.firstTokenMs : Infinity,
        homeWaitMs: home?.waitMs ?? Infinity,
        coldMs: home?.coldMs ?? 0,
        deadlineMs: request.deadlineMs,
        nowMs,
      },
      this.#remoteRegions,
      this.#shiftCounts,
    );
  }

  /** What other regions are told. */
  digest(nowMs: number): PoolDigest {
    const { lanes, fleet } = this.#dispatcher;
    const { running, slots } = fleet.load(nowMs);
    const usable = slots > 0;
    return {
      predictedWaitMs: usable
        ? this.#dispatcher.waits.queueDrainMs()
        : NEVER_MS,
      takesIn: usable && this.acceptsRequests(nowMs),
      queued: lanes.size,
      running,
      slots,
    };
  }

  /**
   * Whether it takes a request of another region now. A region that waits itself, or that sends away, has nothing to give;
   * and part of its slots is kept for its own callers, who may come in the second that a digest is old.
   */
  acceptsRequests(nowMs: number): boolean {
    if (this.#shiftCounts.hasSentRecently(nowMs)) return false;
    const { fleet } = this.#dispatcher;
    if (this.#dispatcher.waits.queueDrainMs() > MAX_ACCEPT_WAIT_MS) {
      return false;
    }
    const { running, slots } = fleet.load(nowMs);
    const reserveShare = this.#trafficRow()?.reserveShare ?? 0.2;
    return running < slots * (1 - reserveShare);
  }

  #trafficRow(): TrafficRow | undefined {
    const { service, region } = this.#options;
    return this.#table.traffic(service, region);
  }
}
