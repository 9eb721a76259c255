/**
 * Asks the region's lead where to send a request, and answers such queries when this VM is the lead.
 *
 * A VM that chooses alone uses load counts that are some hundred ms old. The other VMs do the same, so all of them send
 * to the same upstream that looked free. The lead counts each grant in the step that makes it, tracks which engine has
 * read which prompt, applies the cold-start rate limits for the whole region, and avoids a failing upstream after one
 * failure. A query that is not answered delays its request by {@link ANSWER_TIMEOUT_MS}; the VM then places it from its
 * own state.
 *
 * @module
 */

import { type Clock, Random, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import type { StoreView } from "../replication/mod.ts";
import type { Step } from "../routing/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";
import { waitForNextPoll } from "./next_poll.ts";
import type { GatewayMetrics } from "./metrics.ts";
import {
  isHomeRegion,
  isVersion,
  placeLocally,
  type PlacementContext,
  type PlacementRequest,
} from "./local_placement.ts";
import {
  decodePlacementAnswer,
  decodeQuery,
  encodeQuery,
  type PlacementQuery,
  type PlacementVerdict,
  toPlacementRequest,
} from "./placement_wire.ts";
import type { CountedBy, Quotas } from "./quotas.ts";
import type { Relays } from "./relays.ts";
import type { LinkedCandidate } from "./upstream_link.ts";
import type { Upstreams } from "./upstreams.ts";

/**
 * A lead answers in about 1 ms; the timeout is a tenth of the shortest latency objectives. An answer that has arrived
 * by then counts, even if this VM was too busy to read it in time.
 */
const ANSWER_TIMEOUT_MS = 50;
/**
 * Unanswered queries in a row after which a lead is not asked for a while. One is too few, as the worst links lose one
 * datagram in forty.
 */
const MISSES_BEFORE_BACKOFF = 2;
/** How long a lead that does not answer is not asked. Within this time its region detects that it is gone. */
const LEAD_BACKOFF_MS = 1_000;
/** Minimum time until a request without a place asks again, so that a full region's queries stay few. */
const MIN_WAIT_MS = 40;
/**
 * Upstreams that a lead tries for one query. A try fails if the upstream has just begun to drain, or is cold and at its
 * rate limit.
 */
const MAX_ADMIT_TRIES = 3;

/** Minimum retry delay of callers; one that came back sooner would spend most of the time on its new connection. */
const MIN_RETRY_MS = 50;
/** Maximum retry delay of callers: a tiny quota refills only in hours, but callers may check again after this long. */
const MAX_RETRY_MS = 60_000;
/** Jitter of the retry delay of callers over their quota, as a share of the delay. */
const RETRY_JITTER_SHARE = 0.5;

/** The next step of a request. `settle` is called when it was executed or given up: load reports then include it. */
export interface PlacedStep {
  readonly step: Step<LinkedCandidate>;
  /** Who charged the request to its workspace's quota, or refused it; absent if the quota is not checked now. */
  readonly countedBy?: CountedBy;
  settle(): void;
}

type QuotaRefusal = {
  readonly step: Step<never> & { type: "refuse" };
  readonly countedBy: CountedBy;
};
type CountedStep = Pick<PlacedStep, "step" | "countedBy">;

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

interface PendingQuery {
  readonly onAnswer: (verdict: PlacementVerdict) => void;
}

/** Whether a lead answers queries. */
interface LeadHealth {
  misses: number;
  muteUntilMs: number;
}

/** Decides the next step of each request of this VM, and answers the queries of other VMs as their lead. */
export class Placer extends Task {
  readonly name = "placing";
  readonly #options: PlacerOptions;
  readonly #random = new Random(process.pid ^ Date.now());
  readonly #pending = new Map<number, PendingQuery>();
  /** Queries whose result is not part of this VM's load reports yet. */
  readonly #unsettled = new Set<number>();
  readonly #leads = new Map<string, LeadHealth>();
  protected readonly handlers: Handlers<Messages> = {};
  #context!: PlacementContext;
  #clock!: Clock;
  #lastQueryId = 0;

  constructor(options: PlacerOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    const { self, upstreams, relays, datagrams } = this.#options;
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
      const verdict = this.#decideAsLead(query);
      datagrams.send("placed", { question: query.question, verdict }, [
        fromIp,
      ]);
    });
    datagrams.on("placed", (params) => {
      const answer = decodePlacementAnswer(params);
      if (answer) this.#pending.get(answer.question)?.onAnswer(answer.verdict);
    });
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    return Promise.resolve();
  }

  dump(): unknown {
    return {
      open: this.#pending.size,
      asked: this.settledQueryId,
      leads: Object.fromEntries(this.#leads),
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

  /** Returns the next step of a request, decided by the lead if one answers and else by this VM. Never rejects. */
  async place(request: PlacementRequest): Promise<PlacedStep> {
    const lead = this.#pickLead(request);
    if (!lead) return this.#placeWithoutLead("self", request);
    const queryId = ++this.#lastQueryId;
    this.#unsettled.add(queryId);
    const settle = () => void this.#unsettled.delete(queryId);
    const sentMs = this.#clock.monoMs();
    const verdict = await this.#queryLead(request, queryId, lead);
    if (verdict) {
      this.#options.metrics.recordTime(
        "place",
        "",
        this.#clock.monoMs() - sentMs,
      );
    }
    const step = verdict && this.#toStep(verdict, request);
    if (step) {
      const isCounted = "counted" in verdict && verdict.counted === true;
      const counted: CountedStep = isCounted
        ? { step, countedBy: "lead" }
        : this.#charge(step, request);
      return { ...this.#countPlaced("lead", counted.step), ...counted, settle };
    }
    settle();
    return this.#placeWithoutLead(verdict ? "behind" : "mute", request);
  }

  #placeWithoutLead(by: string, request: PlacementRequest): PlacedStep {
    const counted = this.#checkQuota(request) ??
      this.#charge(this.placeLocally(request), request);
    return { ...this.#countPlaced(by, counted.step), ...counted };
  }

  /** Charges a request that is sent to its workspace's quota; refuses it if the quota does not suffice. */
  #charge(step: Step<LinkedCandidate>, request: PlacementRequest): CountedStep {
    const { quota } = request;
    if (!quota || (step.type !== "send" && step.type !== "relay")) {
      return { step };
    }
    return this.#checkQuota(request) ??
      { step, countedBy: this.#options.quotas.take(quota) };
  }

  /** Returns the refusal of a request over its workspace's quota, before it is placed; `undefined` if it fits. */
  #checkQuota({ quota }: PlacementRequest): QuotaRefusal | undefined {
    const waitMs = quota ? this.#options.quotas.waitMs(quota) : 0;
    if (waitMs <= 0) return undefined;
    const countedBy = this.#options.quotas.countedBy;
    this.#options.metrics.count("over_quota", `by="${countedBy}"`);
    const jitterFactor = 1 + RETRY_JITTER_SHARE * this.#random.next();
    return {
      countedBy,
      step: {
        type: "refuse",
        reason: "overQuota",
        comeBackMs: Math.ceil(
          Math.min(Math.max(waitMs, MIN_RETRY_MS), MAX_RETRY_MS) * jitterFactor,
        ),
        here: 0,
        resting: 0,
        elsewhere: [],
      },
    };
  }

  #countPlaced(by: string, step: Step<LinkedCandidate>): PlacedStep {
    this.#options.metrics.count("placed", `by="${by}"`);
    return { step, settle: () => {} };
  }

  /** Returns the lead to ask; `undefined` if this VM decides by itself. */
  #pickLead(
    { quota }: PlacementRequest,
  ): { readonly id: string; readonly ip: string } | undefined {
    const { members, self } = this.#options;
    // Where all VMs receive each other's reports, each places its own requests, but a quota is counted in one place.
    if (members.hearsAll && !quota) return undefined;
    const nowMs = this.#clock.monoMs();
    const lead = members.leads.find(({ id }) =>
      (this.#leads.get(id)?.muteUntilMs ?? 0) <= nowMs
    );
    return lead?.id === self.id ? undefined : lead;
  }

  #queryLead(
    request: PlacementRequest,
    queryId: number,
    lead: { readonly id: string; readonly ip: string },
  ): Promise<PlacementVerdict | undefined> {
    const { datagrams, self, upstreams } = this.#options;
    return new Promise((resolve) => {
      const finish = (verdict: PlacementVerdict | undefined) => {
        timer.close();
        if (!this.#pending.delete(queryId)) return;
        this.#noteLeadAnswer(lead.id, verdict !== undefined);
        resolve(verdict);
      };
      const timer: Timer = this.#clock.after(
        ANSWER_TIMEOUT_MS,
        () => void waitForNextPoll().then(() => finish(undefined)),
      );
      this.#pending.set(queryId, { onAnswer: finish });
      const query = encodeQuery(request, {
        question: queryId,
        from: self.id,
        lost: upstreams.asideKeys(),
        resting: upstreams.resting(request.service.name),
        nowMs: this.#clock.monoMs(),
      });
      datagrams.send("place", query, [lead.ip]);
    });
  }

  #noteLeadAnswer(leadId: string, hasAnswered: boolean): void {
    if (hasAnswered) {
      this.#leads.delete(leadId);
      return;
    }
    const health = this.#leads.get(leadId) ?? { misses: 0, muteUntilMs: 0 };
    health.misses++;
    if (health.misses >= MISSES_BEFORE_BACKOFF) {
      health.muteUntilMs = this.#clock.monoMs() + LEAD_BACKOFF_MS;
    }
    this.#leads.set(leadId, health);
  }

  /** Converts a verdict; `undefined` if the lead lacks the service, or this VM lacks the upstream. */
  #toStep(
    verdict: PlacementVerdict,
    { service, version }: PlacementRequest,
  ): Step<LinkedCandidate> | undefined {
    switch (verdict.type) {
      case "unknown":
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
  ): Step<LinkedCandidate> {
    if (lost.length === 0) return this.placeLocally(request);
    const step = this.placeLocally({
      ...request,
      tried: new Set([...request.tried, ...lost]),
    });
    return step.type === "refuse" ? this.placeLocally(request) : step;
  }

  /** Decides as the lead, and counts what it grants. */
  #decideAsLead(query: PlacementQuery): PlacementVerdict {
    const { storeView, upstreams, members, quotas } = this.#options;
    const nowMs = this.#clock.monoMs();
    const request = toPlacementRequest(query, storeView.config, nowMs);
    if (!request) return { type: "unknown" };
    const { service, prompt, quota } = request;
    const countsQuota = quota !== undefined && quotas.isAuthority;
    const refusal = countsQuota ? this.#checkQuota(request) : undefined;
    if (refusal) return { ...refusal.step, counted: true };
    const charge = () => {
      if (!countsQuota) return {};
      quotas.take(quota);
      return { counted: true } as const;
    };
    for (let tries = 0; tries < MAX_ADMIT_TRIES; tries++) {
      const step = this.#placeAvoiding(query.lost, request);
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
      members.loads.grant(query.from, query.question, key, unreadTokens, nowMs);
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
