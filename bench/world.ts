/**
 * Simulates regions of engines, callers and links in virtual time, and records the outcome of each request.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import {
  ATTEMPT_LIMIT,
  mayRetry,
  type SlotAnswer,
  type SlotReport,
} from "../src/decisions/mod.ts";
import { UpstreamHoursMeter } from "./awake_meter.ts";
import { Engine } from "./engine.ts";
import { Lead, type Policy, type PolicyContext } from "./policies.ts";
import { RegionReports } from "./region_news.ts";
import { Sim } from "./sim.ts";
import type { WorkloadRequest } from "./workload.ts";
import {
  type Attempt,
  heldSlot,
  type Outcome,
  type Region,
  type WorldOptions,
} from "./world_types.ts";

export type { Outcome, WorldOptions } from "./world_types.ts";

/** One-way time between two VMs, or a VM and an upstream, of the same region. */
const HOP_MS = 0.5;
const TICK_MS = 50;
const RENEW_MS = 2000;
/** Time until a VM gives up connecting to another region. */
const CONNECT_TIMEOUT_MS = 300;
/** Time from the loss of a lead until VMs send their queued requests to its successor. */
const REREQUEST_MS = 500;
/** Time from the loss of a lead until VMs have told its successor which slots they hold. */
const ADOPT_MS = 800;

/** Runs requests through the policies and engines of all regions. */
export class World {
  readonly sim = new Sim();
  readonly outcomes: Outcome[] = [];
  /** Number of violations of each invariant, by its name. */
  readonly violations = new Map<string, number>();
  readonly #options: WorldOptions;
  readonly #regions = new Map<string, Region>();
  readonly #attempts = new Map<string, Attempt>();
  readonly #currentAttempts = new WeakMap<Outcome, Attempt>();
  readonly #reports: RegionReports;
  readonly #random: Random;
  readonly #hoursMeter: UpstreamHoursMeter;
  #attemptCount = 0;

  constructor(options: WorldOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    for (const id of options.regions) this.#regions.set(id, this.#build(id));
    this.sim.every(TICK_MS, () => this.#each((r) => r.policy.tick(this.now)));
    this.sim.every(
      RENEW_MS,
      () => this.#each((r) => r.policy.renew([...r.held], this.now)),
    );
    this.#hoursMeter = new UpstreamHoursMeter(
      this.sim,
      [...this.#regions.values()].flatMap(({ engines }) => engines),
    );
    this.#reports = new RegionReports(this.sim, options, this.#regions);
  }

  /** Regions that are cut off from all others. */
  get cutRegions(): Set<string> {
    return this.#reports.cutRegions;
  }
  get now(): number {
    return this.sim.nowMs;
  }
  engines(region: string): readonly Engine[] {
    return this.#regions.get(region)!.engines;
  }
  policy(region: string): Policy {
    return this.#regions.get(region)!.policy;
  }

  /** Returns the state of a region's lead. */
  dump(region: string): { readonly upstreams: { health: string }[] } {
    const policy = this.policy(region);
    if (!(policy instanceof Lead)) throw new Error("policy has no dump");
    return policy.pool.dump() as { upstreams: { health: string }[] };
  }

  /** Returns the upstream-hours that were paid for between these times. */
  upstreamHours(fromMs: number, toMs: number): number {
    return this.#hoursMeter.hoursBetween(fromMs, toMs);
  }

  /** Runs the requests until `endMs`. */
  run(requests: readonly WorkloadRequest[], endMs: number): void {
    for (const r of requests) this.sim.after(r.atMs, () => this.#arrive(r));
    this.sim.runUntil(endMs);
  }

  #build(id: string): Region {
    const { table, service, cacheBlocks } = this.#options;
    const engines = table.upstreams(service, id).map((row) =>
      new Engine(this.sim, { ...row, cacheBlocks })
    );
    const policy = this.#options.createPolicy(this.#contextOf(id, engines));
    const byId = new Map(engines.map((e) => [e.options.id, e]));
    return { id, engines, byId, policy, remotes: new Map(), held: new Set() };
  }

  #contextOf(id: string, engines: readonly Engine[]): PolicyContext {
    const { table, service, seed } = this.#options;
    return {
      region: id,
      service,
      table,
      engines,
      seed,
      onAnswer: (attemptId, answer) => this.#onAnswer(attemptId, answer),
      onOrder: (upstreamId, want) => {
        const engine = this.#regions.get(id)!.byId.get(upstreamId)!;
        this.sim.after(
          HOP_MS,
          () => void (engine.isParked = want === "parked"),
        );
      },
    };
  }

  /**
   * Replaces a lost lead by a new one that knows only the table. Entry VMs send it again what was queued, and a little
   * later tell it which slots they hold.
   */
  replaceLead(regionId: string): void {
    const region = this.#regions.get(regionId)!;
    const lead = new Lead(this.#contextOf(regionId, region.engines), this.now);
    region.policy = lead;
    const own = [...this.#attempts.values()].filter((a) => a.region === region);
    this.sim.after(REREQUEST_MS, () => {
      for (const attempt of own) {
        if (attempt.state === "asked") this.#request(attempt);
      }
    });
    this.sim.after(ADOPT_MS, () => {
      const held = own.filter((a) =>
        a.state === "granted" || a.state === "started"
      );
      lead.adopt(held.map((attempt) => heldSlot(attempt, this.now)), this.now);
    });
  }

  #each(run: (region: Region) => void): void {
    for (const region of this.#regions.values()) run(region);
  }

  #arrive(request: WorkloadRequest): void {
    const home = this.#regions.get(request.region)!;
    const outcome: Outcome = {
      request,
      result: "open",
      attempts: 0,
      moves: 0,
      cachedTokens: 0,
      responses: 0,
      submissions: 0,
    };
    this.outcomes.push(outcome);
    this.sim.after(request.deadlineMs - this.now, () => this.#expire(outcome));
    const remote = this.#options.isLatencyOnly &&
      this.#reports.findFastestRegion(home, request);
    if (remote) this.#forward(outcome, home, remote);
    else this.#attempt(outcome, home, home, []);
  }

  #attempt(
    outcome: Outcome,
    home: Region,
    region: Region,
    exclude: readonly string[],
    isReturned = false,
  ): void {
    if (outcome.result !== "open") return;
    const { request } = outcome;
    outcome.attempts++;
    const attempt: Attempt = {
      id: `${request.id}#${this.#attemptCount++}`,
      outcome,
      region,
      home,
      exclude,
      isReturned,
      grantedAtMs: 0,
      state: "asked",
    };
    this.#attempts.set(attempt.id, attempt);
    this.#currentAttempts.set(outcome, attempt);
    this.sim.after(HOP_MS, () => this.#request(attempt));
  }

  #request({ id, outcome, region, home, exclude, isReturned }: Attempt): void {
    const { request } = outcome;
    // The latency-only policy treats requests from other regions like its own.
    const isRemote = region !== home && !this.#options.isLatencyOnly;
    region.policy.requestSlot({
      attemptId: id,
      service: this.#options.service,
      workspace: request.workspace,
      priority: 0,
      arrivedAtMs: request.atMs,
      deadlineMs: request.deadlineMs,
      prefixHashes: request.prefixHashes,
      promptTokens: request.promptTokens,
      expectedOutputTokens: request.outputTokens,
      exclude,
      ...(isRemote ? { sentFrom: home.id } : {}),
      ...(isReturned ? { stayHome: true } : {}),
      tableVersion: 1,
    }, this.now);
  }

  #onAnswer(attemptId: string, answer: SlotAnswer): void {
    const attempt = this.#attempts.get(attemptId);
    if (!attempt) return;
    if (attempt.state !== "asked") return this.#violate("answered twice");
    const { outcome, region, home } = attempt;
    if (answer.type === "grant") return this.#onGrant(attempt, answer);
    attempt.state = "closed";
    this.#attempts.delete(attemptId);
    if (outcome.result !== "open") return;
    if (answer.type === "shift") {
      if (attempt.isReturned || region !== home) this.#violate("moved twice");
      const remote = this.#regions.get(answer.region)!;
      this.#forward(outcome, home, remote);
      return;
    }
    if (region !== home) {
      const back = this.#options.linkMs;
      this.sim.after(back, () => this.#attempt(outcome, home, home, [], true));
      return;
    }
    this.#refuse(outcome, answer.failure.code);
  }

  #refuse(outcome: Outcome, code: string): void {
    outcome.result = "refused";
    outcome.code = code;
    outcome.refusedAfterMs = this.now - outcome.request.atMs;
  }

  #forward(outcome: Outcome, home: Region, remote: Region): void {
    const { linkMs } = this.#options;
    if (outcome.request.bound) this.#violate("bound request moved");
    outcome.moves++;
    if (this.#reports.isCut(home, remote)) {
      this.sim.after(
        CONNECT_TIMEOUT_MS,
        () => this.#attempt(outcome, home, home, [], true),
      );
      return;
    }
    this.sim.after(linkMs, () => this.#attempt(outcome, home, remote, []));
  }

  #onGrant(attempt: Attempt, grant: SlotAnswer & { type: "grant" }): void {
    const { outcome, region } = attempt;
    attempt.state = "granted";
    attempt.upstreamId = grant.upstreamId;
    outcome.upstreamId = grant.upstreamId;
    attempt.grantedAtMs = this.now;
    region.held.add(attempt.id);
    if (outcome.result !== "open") return this.#end(attempt, "canceled");
    if (attempt.exclude.includes(grant.upstreamId)) {
      this.#violate("excluded upstream granted again");
    }
    this.sim.after(
      2 * HOP_MS,
      () => this.#submit(attempt, grant.enginePriority ?? 0),
    );
  }

  #submit(attempt: Attempt, priority: number): void {
    if (attempt.state !== "granted") return;
    const engine = attempt.region.byId.get(attempt.upstreamId!)!;
    const { request } = attempt.outcome;
    if (engine.isDead || engine.isParked) {
      this.#end(attempt, "unreachable");
      this.#retry(attempt, "no");
      return;
    }
    attempt.outcome.submissions++;
    engine.submit({
      id: attempt.id,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      prefixHashes: request.prefixHashes,
      priority,
      onFirstToken: (cached) => this.#onFirstToken(attempt, cached),
      onDone: () => this.#end(attempt, "done"),
      onFail: () => {
        const started = attempt.state === "started";
        this.#end(attempt, "failed");
        if (started) attempt.outcome.result = "broken";
        else this.#retry(attempt, "unknown");
      },
    });
  }

  #onFirstToken(attempt: Attempt, cached: number): void {
    if (attempt.state !== "granted") return;
    const { outcome, region, home } = attempt;
    attempt.state = "started";
    if (outcome.result !== "open") return;
    outcome.responses++;
    if (outcome.responses > 1) this.#violate("two responses");
    const backMs = HOP_MS + (region === home ? 0 : this.#options.linkMs);
    outcome.firstTokenMs = this.now + backMs - outcome.request.atMs;
    outcome.result = "served";
    outcome.servedIn = region.id;
    outcome.cachedTokens = cached;
    this.#report(attempt, "started", this.now - attempt.grantedAtMs);
  }

  #end(attempt: Attempt, outcome: SlotReport["outcome"]): void {
    if (attempt.state === "closed") return;
    attempt.state = "closed";
    attempt.region.held.delete(attempt.id);
    this.#attempts.delete(attempt.id);
    this.#report(attempt, outcome);
  }

  #report(
    attempt: Attempt,
    outcome: SlotReport["outcome"],
    firstTokenMs?: number,
  ): void {
    const { request } = attempt.outcome;
    const report: SlotReport = {
      attemptId: attempt.id,
      service: this.#options.service,
      upstreamId: attempt.upstreamId!,
      outcome,
      ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
      ...(outcome === "done" && this.#hasUsage()
        ? { cachedTokens: attempt.outcome.cachedTokens }
        : {}),
      outputTokens: outcome === "done" ? request.outputTokens : 0,
      totalMs: this.now - attempt.grantedAtMs,
    };
    this.sim.after(
      2 * HOP_MS,
      () => attempt.region.policy.report(report, this.now),
    );
  }

  #retry(attempt: Attempt, ran: "no" | "unknown"): void {
    const { outcome, home, region } = attempt;
    if (outcome.result !== "open") return;
    const exclude = [...attempt.exclude, attempt.upstreamId!];
    const isAllowed = mayRetry({
      atMostOnce: false,
      ran,
      answerBytes: 0,
      attempts: Math.min(exclude.length, ATTEMPT_LIMIT),
      deadlineMs: outcome.request.deadlineMs,
    }, this.now);
    if (!isAllowed) return this.#refuse(outcome, "upstreamFailed");
    this.#attempt(outcome, home, region, exclude, attempt.isReturned);
  }

  /** Whether the response's usage reports cached tokens; some engines leave them out of some responses. */
  #hasUsage(): boolean {
    return this.#random.next() < this.#options.usageShare;
  }

  /** Handles the caller's deadline: a caller without a first token by then leaves. */
  #expire(outcome: Outcome): void {
    if (outcome.result !== "open") return;
    outcome.result = "late";
    const attempt = this.#currentAttempts.get(outcome);
    if (!attempt || attempt.state === "closed") return;
    if (attempt.state === "granted") {
      attempt.region.byId.get(attempt.upstreamId!)!.cancel(attempt.id);
      this.#end(attempt, "canceled");
    } else {
      attempt.state = "closed";
      this.#attempts.delete(attempt.id);
      attempt.region.policy.cancel(attempt.id, this.now);
    }
  }

  #violate(rule: string): void {
    this.violations.set(rule, (this.violations.get(rule) ?? 0) + 1);
  }
}
