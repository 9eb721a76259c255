/**
 * Asks the region's lead where to send a request, and answers such queries when this VM is the lead.
 *
 * A VM that chooses alone uses load counts that are some hundred ms old. The other VMs do the same, so all of them send
 * to the same upstream that looked free. The lead counts each grant in the step that makes it, tracks which engine has
 * read which prompt, applies the cold-start rate limits for the whole region, and avoids a failing upstream after one
 * failure. A query that is not answered delays its request by a short timeout; the VM then places it from its own state.
 *
 * @module
 */

import { type Clock, Random } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import type { StoreView } from "../replication/mod.ts";
import type { Step } from "../routing/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";
import { LeadQueue } from "./lead_queue.ts";
import { LeadQueries, NO_WAITER, type QueueWaiter } from "./lead_queries.ts";
import type { GatewayMetrics } from "./metrics.ts";
import {
  isHomeRegion,
  isVersion,
  placeLocally,
  type PlacementContext,
  type PlacementRequest,
} from "./local_placement.ts";
import {
  decodeQuery,
  decodeRenewal,
  decodeWithdrawal,
  type PlacementQuery,
  type PlacementVerdict,
  type Renewal,
  toPlacementRequest,
} from "./placement_wire.ts";
import { type CountedStep, QuotaCheck } from "./quota_check.ts";
import type { CountedBy, Quotas } from "./quotas.ts";
import type { Asker, QueueableRequest } from "./queue_entry.ts";
import type { Relays } from "./relays.ts";
import { computeOccupancy } from "./room.ts";
import type { LinkedCandidate } from "./upstream_link.ts";
import type { Upstreams } from "./upstreams.ts";

/** Minimum time until a request without a place asks again, so that a full region's queries stay few. */
const MIN_WAIT_MS = 40;
/**
 * Upstreams that a lead tries for one query. A try fails if the upstream has just begun to drain, or is cold and at its
 * rate limit.
 */
const MAX_ADMIT_TRIES = 3;

/** The next step of a request. `settle` is called when it was executed or given up: load reports then include it. */
export interface PlacedStep {
  readonly step: Step<LinkedCandidate>;
  /** Who charged the request to its workspace's quota, or refused it; absent if the quota is not checked now. */
  readonly countedBy?: CountedBy;
  settle(): void;
}

/** Options of {@link Placer}. */
export interface PlacerOptions {
  readonly self: { readonly id: string; readonly region: string };
  readonly datagrams: Datagrams;
  readonly members: Members;
  readonly storeView: StoreView;
  readonly upstreams: Upstreams;
  readonly relays: Relays;
  readonly metrics: GatewayMetrics;
  readonly quotas: Quotas;
}

/** Decides the next step of each request of this VM, and answers the queries of other VMs as their lead. */
export class Placer extends Task {
  readonly name = "placing";
  readonly #options: PlacerOptions;
  readonly #random = new Random(process.pid ^ Date.now());
  /** Queries whose result is not part of this VM's load reports yet. */
  readonly #unsettled = new Set<number>();
  protected readonly handlers: Handlers<Messages> = {};
  #context!: PlacementContext;
  #clock!: Clock;
  #quotaCheck!: QuotaCheck;
  #queries!: LeadQueries;
  #queue!: LeadQueue;
  #lastQueryId = 0;

  constructor(options: PlacerOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    const { self, upstreams, relays, datagrams, metrics } = this.#options;
    // A VM that starts again must not take verdicts on the queries of the process before it for its own.
    this.#lastQueryId = kernel.clock.nowMs();
    this.#quotaCheck = new QuotaCheck(this.#options, this.#random);
    this.#queries = new LeadQueries({ ...this.#options, clock: kernel.clock });
    this.#queue = new LeadQueue({
      selfId: self.id,
      clock: kernel.clock,
      metrics,
      place: (asker, request, wasQueued) =>
        this.#placeAsLead(asker, request, { mayQueue: true, wasQueued }),
      occupancy: ({ service }) =>
        computeOccupancy(
          upstreams,
          service,
          self.region,
          kernel.clock.monoMs(),
        ),
    });
    this.#context = {
      region: self.region,
      clock: kernel.clock,
      random: this.#random,
      upstreams,
      relays,
    };
    datagrams.on("place", (params, fromIp) => {
      const query = decodeQuery(params);
      if (!query) return;
      const answer = (verdict: PlacementVerdict) =>
        datagrams.send("placed", { question: query.question, verdict }, [
          fromIp,
        ]);
      answer(this.#decideAsLead(query, answer));
    });
    datagrams.on("renew", (params, fromIp) => {
      const renewal = decodeRenewal(params);
      if (renewal) this.#renewQueued(renewal, fromIp);
    });
    datagrams.on("unplace", (params) => {
      const withdrawal = decodeWithdrawal(params);
      if (!withdrawal) return;
      const { from, question } = withdrawal;
      this.#queue.leave({ vmId: from, question });
    });
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#queries.close();
    this.#queue.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return {
      ...this.#queries.dump(),
      asked: this.settledQueryId,
      queue: this.#queue.dump(),
    };
  }

  /** All queries up to this number are part of this VM's load, or had no effect. */
  get settledQueryId(): number {
    let settledId = this.#lastQueryId;
    for (const queryId of this.#unsettled) {
      settledId = Math.min(settledId, queryId - 1);
    }
    return settledId;
  }

  /** Returns the next step of a request, decided from this VM's own state. */
  placeLocally(request: PlacementRequest): Step<LinkedCandidate> {
    return placeLocally(this.#context, request);
  }

  /**
   * Returns the next step of a request, decided by the lead if one answers and else by this VM. If the lead queues the
   * request, that takes until it is granted a place or refused. Never rejects.
   */
  async place(
    request: PlacementRequest,
    waiter: QueueWaiter = NO_WAITER,
  ): Promise<PlacedStep> {
    const lead = this.#queries.pickLead(request);
    const isQueuedHere = !lead && request.queue !== undefined &&
      this.#isFirstLead;
    if (!lead && !isQueuedHere) return this.#placeWithoutLead("self", request);
    const queryId = ++this.#lastQueryId;
    this.#unsettled.add(queryId);
    const settle = () => void this.#unsettled.delete(queryId);
    // A queued query must not hold back the count of later ones, which reports to the lead confirm.
    let wasQueued = false;
    const onQueued = (leave: () => void) => {
      wasQueued = true;
      settle();
      waiter.onQueued(leave);
    };
    const sentMs = this.#clock.monoMs();
    const verdict = lead
      ? await this.#queries.ask(request, queryId, lead, onQueued)
      : await this.#queueHere(request, queryId, onQueued);
    if (verdict && !wasQueued) {
      const tookMs = this.#clock.monoMs() - sentMs;
      this.#options.metrics.recordTime("place", "", tookMs);
    }
    const { quota } = request;
    const isCounted = verdict !== undefined && "counted" in verdict;
    if (isCounted && lead && quota) {
      this.#options.quotas.noteCountedByLead(quota, verdict.quotaLeft);
    }
    const step = verdict && this.#toStep(verdict, request);
    if (step) {
      const counted: CountedStep = isCounted
        ? { step, countedBy: "lead" }
        : this.#quotaCheck.charge(step, request);
      return { ...this.#countPlaced("lead", counted.step), ...counted, settle };
    }
    settle();
    return this.#placeWithoutLead(verdict ? "behind" : "mute", request);
  }

  #placeWithoutLead(by: string, request: PlacementRequest): PlacedStep {
    const counted = this.#quotaCheck.refusalOf(request) ??
      this.#quotaCheck.charge(this.placeLocally(request), request);
    return { ...this.#countPlaced(by, counted.step), ...counted };
  }

  #countPlaced(by: string, step: Step<LinkedCandidate>): PlacedStep {
    this.#options.metrics.count("placed", `by="${by}"`);
    return { step, settle: () => {} };
  }

  /** Whether this VM places the requests of its region and queues those without a place. */
  get #isFirstLead(): boolean {
    const { members, self } = this.#options;
    return !members.hearsAll && members.leads[0]?.id === self.id;
  }

  /** Places a request of this VM's own as its region's lead, or queues it. */
  #queueHere(
    request: PlacementRequest,
    queryId: number,
    onQueued: (leave: () => void) => void,
  ): Promise<PlacementVerdict> {
    const asker = { vmId: this.#options.self.id, question: queryId };
    return new Promise((resolve) => {
      const verdict = this.#queue.decide(
        asker,
        request as QueueableRequest,
        resolve,
      );
      if (verdict.type !== "queued") return resolve(verdict);
      onQueued(() => {
        this.#queue.leave(asker);
        resolve({ type: "wait", waitMs: 0 });
      });
    });
  }

  /** Converts a verdict; `undefined` if the lead lacks the service, or this VM lacks the upstream. */
  #toStep(
    verdict: PlacementVerdict,
    { service, version }: PlacementRequest,
  ): Step<LinkedCandidate> | undefined {
    switch (verdict.type) {
      case "unknown":
      case "queued":
        return undefined;
      case "send": {
        const { upstreamKey, grant } = verdict;
        const candidate = this.#options.upstreams
          .grantedCandidate(service, upstreamKey, grant);
        // The lead may not have heard yet that the upstream has another version now.
        return candidate && isVersion(candidate.upstream, version)
          ? { type: "send", candidate }
          : undefined;
      }
      case "wait":
        return {
          type: "wait",
          untilMs: this.#clock.monoMs() + verdict.waitMs,
        };
      default:
        return verdict;
    }
  }

  /** Returns the next step without the upstreams that the asking VM has lost, unless there are no others. */
  #placeAvoiding(
    lost: readonly string[],
    request: PlacementRequest,
    mayQueue: boolean,
  ): Step<LinkedCandidate> {
    const place = (tried: ReadonlySet<string>) =>
      placeLocally(this.#context, { ...request, tried }, mayQueue);
    if (lost.length === 0) return place(request.tried);
    const step = place(new Set([...request.tried, ...lost]));
    return step.type === "refuse" ? place(request.tried) : step;
  }

  /** Decides as the lead, or queues the request; `answer` then gets the verdict later. */
  #decideAsLead(
    query: PlacementQuery,
    answer: (verdict: PlacementVerdict) => void,
  ): PlacementVerdict {
    const request = toPlacementRequest(
      query,
      this.#options.storeView.config,
      this.#clock.monoMs(),
    );
    if (!request) return { type: "unknown" };
    const asker = { vmId: query.from, question: query.question };
    return request.queue && !this.#options.members.hearsAll
      ? this.#queue.decide(asker, request as QueueableRequest, answer)
      : this.#placeAsLead(asker, request, {
        mayQueue: false,
        wasQueued: false,
      });
  }

  /** Renews what a VM has in this VM's queue, and repeats grants whose answers were lost. */
  #renewQueued({ from, questions }: Renewal, fromIp: string): void {
    const { datagrams } = this.#options;
    const unknown: number[] = [];
    for (const question of questions) {
      const verdict = this.#queue.renew({ vmId: from, question });
      if (verdict === undefined) unknown.push(question);
      else if (verdict.type !== "queued") {
        datagrams.send("placed", { question, verdict }, [fromIp]);
      }
    }
    datagrams.send("renewed", { unknown }, [fromIp]);
  }

  /** Places a request as the lead, and counts what it grants. */
  #placeAsLead(
    { vmId, question }: Asker,
    request: PlacementRequest,
    { mayQueue, wasQueued }: {
      readonly mayQueue: boolean;
      readonly wasQueued: boolean;
    },
  ): PlacementVerdict {
    const { upstreams, members, quotas } = this.#options;
    const nowMs = this.#clock.monoMs();
    const { service, prompt, quota, lost = [] } = request;
    const countsQuota = quota !== undefined && quotas.isAuthority;
    const refusal = countsQuota
      ? this.#quotaCheck.refusalOf(request)
      : undefined;
    const counted = (use: QuotaUse) =>
      ({ counted: true, quotaLeft: quotas.leftFor(use) }) as const;
    if (refusal) return { ...refusal.step, ...counted(quota!) };
    const charge = () => {
      if (!countsQuota) return {};
      quotas.take(quota);
      return counted(quota);
    };
    for (let tries = 0; tries < MAX_ADMIT_TRIES; tries++) {
      const step = this.#placeAvoiding(lost, request, mayQueue);
      if (step.type === "wait") {
        const waitMs = Math.max(MIN_WAIT_MS, step.untilMs - nowMs);
        return { type: "wait", waitMs };
      }
      if (step.type === "relay") return { ...step, ...charge() };
      if (step.type !== "send") return step;
      const { candidate } = step;
      if (!upstreams.tryAdmit(candidate, service, prompt)) continue;
      const { key, running, waitingTokens } = candidate;
      const unreadTokens = service.engine ? candidate.unreadTokens : 0;
      // This VM's own requests are counted as soon as they are sent, which is before the next decision.
      if (vmId !== this.#options.self.id) {
        members.loads.grant(
          vmId,
          question,
          key,
          unreadTokens,
          nowMs,
          wasQueued,
        );
      }
      const fetchFrom = upstreams.pickFetchSource(
        candidate,
        service,
        prompt,
        (region) => isHomeRegion(request, region),
      );
      return {
        type: "send",
        upstreamKey: key,
        grant: { running, waitingTokens, unreadTokens, fetchFrom },
        ...charge(),
      };
    }
    return { type: "wait", waitMs: MIN_WAIT_MS };
  }
}
