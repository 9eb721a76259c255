/**
 * The lead's side of the queue for scarce capacity: requests that find no upstream with room wait here in order, and
 * are granted a place or refused.
 *
 * It is in effect where workspaces with limits compete for a service that runs on engines. Elsewhere a request without a
 * place asks again later, and whoever asks at the right moment gets it.
 *
 * @module
 */

import {
  type Admission,
  AdmissionQueue,
  admit,
  forecastWaitMs,
  HoldTime,
  isTooLate,
  placesPerS,
  ReturnSchedule,
  type WaitingRequest,
} from "../admission/mod.ts";
import type { Clock, Timer } from "../base/mod.ts";
import type { PlacementRequest } from "./local_placement.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { PlacementVerdict } from "./placement_wire.ts";
import {
  type Asker,
  idOf,
  lacksPlace,
  type QueueableRequest,
  type QueueEntry,
  type ServiceQueue,
  toWaiting,
} from "./queue_entry.ts";
import { RecentVerdicts } from "./recent_verdicts.ts";
import type { Occupancy } from "./room.ts";

/** What a queue needs of the lead that it belongs to. */
export interface LeadQueueOptions {
  /** Id of this VM. Its own requests send no renewals; the queue renews them. */
  readonly selfId: string;
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  /** Places a request now, if an upstream or another region has room for it, and counts the grant. */
  readonly place: (
    asker: Asker,
    request: PlacementRequest,
    wasQueued: boolean,
  ) => PlacementVerdict;
  /** Slots of the upstreams of a request's service in this region, and the requests that run on them. */
  readonly occupancy: (request: PlacementRequest) => Occupancy;
}

/** Entries of one service: at a few hundred bytes each, some megabytes of a VM's memory at most. */
const MAX_ENTRIES = 5_000;
/**
 * Tokens by which the shares of workspaces may differ while due times decide: a few requests. With exact shares, a request
 * that can wait would go before one of another workspace that is about to be late.
 */
const SHARE_TOLERANCE_TOKENS = 20_000;
/** Refused callers of one service that are remembered. */
const MAX_RETURNING = 5_000;
/** How often a lead looks for places while requests wait: about a step of a busy engine. */
const GRANT_INTERVAL_MS = 20;
/** How often entries are checked for their time. */
const SWEEP_INTERVAL_MS = 100;
/** Entries in a row that find no place, after which the next look is awaited: each costs a decision on all upstreams. */
const MAX_MISSES = 4;
/**
 * Priority of requests that can't be on time any more: the last class, as each of them would make another one late. Like
 * every class, it gets a tenth of the places at least.
 */
const LATE_PRIORITY = Number.MAX_SAFE_INTEGER;

/** Queues requests by service, and grants places in order. */
export class LeadQueue {
  readonly #options: LeadQueueOptions;
  readonly #services = new Map<string, ServiceQueue>();
  readonly #decided = new RecentVerdicts();
  #timer: Timer | undefined;
  #sweptMs = -Infinity;

  constructor(options: LeadQueueOptions) {
    this.#options = options;
    options.metrics.gauge("queue_entries", "", () => this.size);
  }

  /** Number of requests that wait. */
  get size(): number {
    let size = 0;
    for (const { queue } of this.#services.values()) size += queue.size;
    return size;
  }

  /** Ends the wait of this VM's own requests; those of other VMs are registered again at the next lead. */
  close(): void {
    this.#stopTimer();
    for (const { entries } of this.#services.values()) {
      for (const entry of entries.values()) this.#releaseOwn(entry);
      entries.clear();
    }
  }

  #stopTimer(): void {
    this.#timer?.close();
    this.#timer = undefined;
  }

  /** Lets an own request that lost its place in the queue ask again. */
  #releaseOwn({ asker, reply }: QueueEntry): void {
    if (asker.vmId === this.#options.selfId) {
      reply({ type: "wait", waitMs: 0 });
    }
  }

  dump(): unknown {
    return Object.fromEntries(
      [...this.#services].map(([name, { queue, holdTime, granted }]) => [
        name,
        { ...queue.dump(), holdMs: holdTime.holdMs, granted },
      ]),
    );
  }

  /**
   * Decides on a request: a place, a place in the queue, or a refusal. If it is queued, `reply` gets its place or its
   * refusal later.
   */
  decide(
    asker: Asker,
    request: QueueableRequest,
    reply: (verdict: PlacementVerdict) => void,
  ): PlacementVerdict {
    const { clock } = this.#options;
    const nowMs = clock.monoMs();
    const id = idOf(asker);
    const before = this.#decided.get(id, nowMs);
    if (before) return before;
    const service = this.#serviceOf(request);
    if (service.queue.renew(id, nowMs)) {
      this.#updateRequest(service, id, request);
      return { type: "queued" };
    }
    this.#noteOccupancy(service, request, nowMs);
    if (service.queue.size === 0) {
      const wasQueued = request.queue.wasQueued === true;
      const verdict = this.#options.place(asker, request, wasQueued);
      if (!lacksPlace(verdict)) {
        if (verdict.type === "send") service.granted++;
        return verdict;
      }
    }
    return this.#queueOrRefuse(service, { asker, request, reply }, nowMs);
  }

  /** Renews a request that waits. Returns what was last decided on it; `undefined` if it is not known. */
  renew(asker: Asker): PlacementVerdict | undefined {
    const id = idOf(asker);
    const nowMs = this.#options.clock.monoMs();
    for (const { queue } of this.#services.values()) {
      if (queue.renew(id, nowMs)) return { type: "queued" };
    }
    return this.#decided.get(id, nowMs);
  }

  /** Removes a request whose caller has left. */
  leave(asker: Asker): void {
    const id = idOf(asker);
    for (const { queue, entries } of this.#services.values()) {
      queue.remove(id);
      entries.delete(id);
    }
  }

  #serviceOf({ service: { name } }: PlacementRequest): ServiceQueue {
    let service = this.#services.get(name);
    if (!service) {
      service = {
        queue: new AdmissionQueue({
          maxEntries: MAX_ENTRIES,
          shareToleranceTokens: SHARE_TOLERANCE_TOKENS,
        }),
        holdTime: new HoldTime(),
        returns: new ReturnSchedule({ maxEntries: MAX_RETURNING }),
        entries: new Map(),
        granted: 0,
        slots: 0,
        notedMs: -Infinity,
      };
      this.#services.set(name, service);
    }
    return service;
  }

  /** Takes what may have changed since the query before, such as which upstreams want rest from the asking VM. */
  #updateRequest(
    { entries }: ServiceQueue,
    id: string,
    request: QueueableRequest,
  ): void {
    const entry = entries.get(id);
    if (entry) entries.set(id, { ...entry, request });
  }

  /** Queues a request that can be served in time, or late at least; refuses all others. */
  #queueOrRefuse(
    service: ServiceQueue,
    entry: Omit<QueueEntry, "waiting">,
    nowMs: number,
  ): PlacementVerdict {
    const { request } = entry;
    const { fingerprint } = request.queue;
    const firstArrivedMs = fingerprint === undefined
      ? undefined
      : service.returns.claim(fingerprint, nowMs);
    const waiting = toWaiting(
      entry.asker,
      request,
      firstArrivedMs ?? request.arrivedMs,
    );
    const late = { ...waiting, priority: LATE_PRIORITY };
    const perS = placesPerS(service.slots, service.holdTime.holdMs);
    const forecastMs = (place: WaitingRequest) =>
      forecastWaitMs(service.queue.entriesAhead(place, nowMs), perS);
    const waitMs = forecastMs(waiting);
    const admission = admit({
      ...waiting,
      nowMs,
      objectiveMs: request.objectiveMs,
      waitMs,
      lateWaitMs: forecastMs(late),
      holdMs: service.holdTime.holdMs,
      hasReturned: firstArrivedMs !== undefined,
      wasQueued: request.queue.wasQueued === true,
    });
    if (admission === "refuse") {
      const forecast = { waitMs, placesPerS: perS };
      return this.#refuse(service, request, waiting, forecast, nowMs);
    }
    const queued = admission === "late" ? late : waiting;
    return this.#enqueue(
      service,
      { ...entry, waiting: queued },
      admission,
      nowMs,
    );
  }

  #enqueue(
    service: ServiceQueue,
    entry: QueueEntry,
    admission: Admission,
    nowMs: number,
  ): PlacementVerdict {
    const { waiting } = entry;
    if (!service.queue.add(waiting, nowMs)) {
      return this.#refuse(service, entry.request, waiting, {
        waitMs: Infinity,
        placesPerS: 0,
      }, nowMs);
    }
    service.entries.set(waiting.id, entry);
    this.#options.metrics.count(
      "queued",
      `priority="${entry.request.queue.priority}",admission="${admission}"`,
    );
    this.#timer ??= this.#options.clock.every(
      GRANT_INTERVAL_MS,
      () => this.#tick(),
    );
    return { type: "queued" };
  }

  #refuse(
    service: ServiceQueue,
    request: QueueableRequest,
    { arrivedMs }: WaitingRequest,
    forecast: { readonly waitMs: number; readonly placesPerS: number },
    nowMs: number,
  ): PlacementVerdict {
    const { fingerprint, priority } = request.queue;
    const comeBackMs = service.returns.refuse(
      { fingerprint, arrivedMs, leftMs: request.deadlineMs - nowMs },
      forecast,
      nowMs,
    );
    this.#options.metrics.count("queue_refused", `priority="${priority}"`);
    return {
      type: "refuse",
      reason: "overloaded",
      comeBackMs: Math.ceil(comeBackMs),
      here: service.queue.size,
      resting: 0,
      elsewhere: [],
    };
  }

  /** Learns how long requests hold their places, and how many slots there are. */
  #noteOccupancy(
    service: ServiceQueue,
    request: PlacementRequest,
    nowMs: number,
  ): void {
    if (nowMs - service.notedMs < SWEEP_INTERVAL_MS) return;
    service.notedMs = nowMs;
    const { slots, running } = this.#options.occupancy(request);
    service.holdTime.note(running, service.granted, nowMs);
    service.slots = slots;
  }

  #tick(): void {
    const nowMs = this.#options.clock.monoMs();
    const isSweepDue = nowMs - this.#sweptMs >= SWEEP_INTERVAL_MS;
    if (isSweepDue) this.#sweep(nowMs);
    for (const service of this.#services.values()) {
      this.#grantPlaces(service, nowMs);
    }
    if (this.size > 0 || this.#decided.size > 0) return;
    this.#stopTimer();
  }

  #sweep(nowMs: number): void {
    this.#sweptMs = nowMs;
    this.#decided.sweep(nowMs);
    for (const service of this.#services.values()) {
      this.#renewOwn(service, nowMs);
      for (const { id } of service.queue.expire(nowMs)) {
        const entry = service.entries.get(id);
        service.entries.delete(id);
        if (entry) this.#releaseOwn(entry);
      }
      for (const entry of [...service.entries.values()]) {
        this.#noteOccupancy(service, entry.request, nowMs);
        this.#sweepEntry(service, entry, nowMs);
      }
    }
  }

  #renewOwn({ queue, entries }: ServiceQueue, nowMs: number): void {
    for (const [id, { asker }] of entries) {
      if (asker.vmId === this.#options.selfId) queue.renew(id, nowMs);
    }
  }

  /** Refuses an entry that can't be served any more, and lets one that can't be on time any more wait behind others. */
  #sweepEntry(service: ServiceQueue, entry: QueueEntry, nowMs: number): void {
    const { waiting, request, reply } = entry;
    if (isTooLate(nowMs, waiting.deadlineMs, service.holdTime.holdMs)) {
      service.queue.remove(waiting.id);
      service.entries.delete(waiting.id);
      const verdict = this.#refuse(service, request, waiting, {
        waitMs: 0,
        placesPerS: placesPerS(service.slots, service.holdTime.holdMs),
      }, nowMs);
      this.#decided.note(waiting.id, verdict, nowMs);
      reply(verdict);
      return;
    }
    if (waiting.priority === LATE_PRIORITY || nowMs < waiting.dueMs) return;
    const late = { ...waiting, priority: LATE_PRIORITY };
    service.queue.remove(waiting.id);
    service.queue.add(late, nowMs);
    service.entries.set(waiting.id, { ...entry, waiting: late });
  }

  /** Grants places in the order of the queue until none is found for the entries at its head. */
  #grantPlaces(service: ServiceQueue, nowMs: number): void {
    while (service.queue.size > 0) {
      const heads = service.queue.heads(MAX_MISSES, nowMs);
      const granted = heads.find(({ id }) =>
        this.#tryGrant(service, id, nowMs)
      );
      // An own request counts at its upstream only once it is sent, after this step.
      if (!granted || granted.id.startsWith(`${this.#options.selfId}/`)) return;
    }
  }

  #tryGrant(service: ServiceQueue, id: string, nowMs: number): boolean {
    const entry = service.entries.get(id)!;
    const verdict = this.#options.place(entry.asker, entry.request, true);
    if (lacksPlace(verdict)) return false;
    // Only what is served counts in the share of its workspace.
    const isServed = verdict.type === "send" || verdict.type === "relay";
    if (isServed) service.queue.take(id, nowMs);
    else service.queue.remove(id);
    service.entries.delete(id);
    if (verdict.type === "send") service.granted++;
    this.#decided.note(id, verdict, nowMs);
    entry.reply(verdict);
    return true;
  }
}
