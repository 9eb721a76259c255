/**
 * Sends requests to other regions, and decides whether this region accepts requests from them.
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

/**
 * Longest queue wait at which a region accepts requests from others: a queue that lasts only a moment does not mean a
 * lack of room.
 */
const MAX_ACCEPT_WAIT_MS = 500;

/** Predicted times of a request in this region. */
export interface HomeForecast {
  /** Time in the queue. */
  readonly waitMs: number;
  /** Time from leaving the queue to the first token. */
  readonly firstTokenMs: number;
  /** Time to prefill the whole prompt without a cached prefix. */
  readonly coldMs: number;
}

/** Decides which requests of a pool go to other regions, and whether the pool accepts theirs. */
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

  /** Replaces the latest digests of other regions. */
  setRemoteRegions(regions: readonly RemoteRegion[]): void {
    this.#remoteRegions = regions;
  }

  /** Counts a request that arrived from this region's own callers; retries do not count. */
  recordArrival(request: SlotRequest, nowMs: number): void {
    if (request.sentFrom !== undefined || request.exclude.length > 0) return;
    this.#shiftCounts.recordArrival(nowMs);
  }

  /**
   * Sends the request to another region if that is allowed and better. `home` is absent if no upstream here can take
   * it.
   */
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

  /** Returns the digest for other regions. */
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
   * Whether this region accepts a request from another region now. A region that has a queue, or that sends requests
   * away, has no room to spare. A share of the slots is reserved for its own callers, who may arrive during the second
   * for which a digest is out of date.
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
