/**
 * Regions of engines, callers and links in virtual time, and what became of each request.
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
import { AwakeMeter } from "./awake_meter.ts";
import { Engine } from "./engine.ts";
import { Lead, type Policy, type PolicyContext } from "./policies.ts";
import { RegionNews } from "./region_news.ts";
import { Sim } from "./sim.ts";
import type { Ask } from "./workload.ts";
import {
  type Attempt,
  heldSlot,
  type Outcome,
  type Region,
  type WorldOptions,
} from "./world_types.ts";

export type { Outcome, WorldOptions } from "./world_types.ts";

/** One-way time between VMs, and between a VM and an upstream, of one region. */
const HOP_MS = 0.5;
const TICK_MS = 50;
const RENEW_MS = 2000;
/** Time until a VM knows that a connection to another region cannot be made. */
const CONNECT_TIMEOUT_MS = 300;
/** Time from the loss of a lead until VMs ask its successor, and until they have told it what they hold. */
const REASK_MS = 500;
const ADOPT_MS = 800;

/** See the module. */
export class World {
  readonly sim = new Sim();
  readonly outcomes: Outcome[] = [];
  /** Promises of the brief that were broken, by name. */
  readonly broken = new Map<string, number>();
  readonly #options: WorldOptions;
  readonly #regions = new Map<string, Region>();
  readonly #attempts = new Map<string, Attempt>();
  readonly #current = new WeakMap<Outcome, Attempt>();
  readonly #news: RegionNews;
  readonly #random: Random;
  readonly #awake: AwakeMeter;
  #count = 0;

  constructor(options: WorldOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
    for (const id of options.regions) this.#regions.set(id, this.#region(id));
    this.sim.every(TICK_MS, () => this.#each((r) => r.policy.tick(this.now)));
    this.sim.every(
      RENEW_MS,
      () => this.#each((r) => r.policy.renew([...r.held], this.now)),
    );
    this.#awake = new AwakeMeter(
      this.sim,
      [...this.#regions.values()].flatMap(({ engines }) => engines),
    );
    this.#news = new RegionNews(this.sim, options, this.#regions);
  }

  /** Regions cut off from all others. */
  get cut(): Set<string> {
    return this.#news.cut;
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

  /** The state of a region's lead. */
  dump(region: string): { readonly upstreams: { health: string }[] } {
    const policy = this.policy(region);
    if (!(policy instanceof Lead)) throw new Error("only a lead has a dump");
    return policy.pool.dump() as { upstreams: { health: string }[] };
  }

  /** Upstream-hours that were paid for between these times. */
  upstreamHours(fromMs: number, toMs: number): number {
    return this.#awake.hours(fromMs, toMs);
  }

  /** Runs the requests to their ends. */
  run(asks: readonly Ask[], endMs: number): void {
    for (const ask of asks) this.sim.after(ask.atMs, () => this.#arrive(ask));
    this.sim.runUntil(endMs);
  }

  #region(id: string): Region {
    const { table, service, cacheBlocks } = this.#options;
    const engines = table.upstreams(service, id).map((row) =>
      new Engine(this.sim, { ...row, cacheBlocks })
    );
    const policy = this.#options.policy(this.#context(id, engines));
    const byId = new Map(engines.map((e) => [e.options.id, e]));
    return { id, engines, byId, policy, far: new Map(), held: new Set() };
  }

  #context(id: string, engines: readonly Engine[]): PolicyContext {
    const { table, service, seed } = this.#options;
    return {
      region: id,
      service,
      table,
      engines,
      seed,
      answer: (attemptId, answer) => this.#answered(attemptId, answer),
      order: (upstreamId, want) => {
        const engine = this.#regions.get(id)!.byId.get(upstreamId)!;
        this.sim.after(HOP_MS, () => void (engine.parked = want === "parked"));
      },
    };
  }

  /**
   * The lead is lost; a new one knows nothing but the table. Entry VMs ask it again for what was queued, and a little
   * later tell it what they hold.
   */
  loseLead(regionId: string): void {
    const region = this.#regions.get(regionId)!;
    const lead = new Lead(this.#context(regionId, region.engines), this.now);
    region.policy = lead;
    const mine = [...this.#attempts.values()].filter((a) =>
      a.region === region
    );
    this.sim.after(REASK_MS, () => {
      for (const attempt of mine) {
        if (attempt.state === "asked") this.#ask(attempt);
      }
    });
    this.sim.after(ADOPT_MS, () => {
      const held = mine.filter((a) =>
        a.state === "granted" || a.state === "started"
      );
      lead.adopt(held.map((attempt) => heldSlot(attempt, this.now)), this.now);
    });
  }

  #each(run: (region: Region) => void): void {
    for (const region of this.#regions.values()) run(region);
  }

  #arrive(ask: Ask): void {
    const home = this.#regions.get(ask.region)!;
    const outcome: Outcome = {
      ask,
      result: "open",
      attempts: 0,
      moves: 0,
      warmTokens: 0,
      answers: 0,
      runs: 0,
    };
    this.outcomes.push(outcome);
    this.sim.after(ask.deadlineMs - this.now, () => this.#leave(outcome));
    const far = this.#options.onlyLatency && this.#news.nearest(home, ask);
    if (far) this.#forward(outcome, home, far);
    else this.#attempt(outcome, home, home, []);
  }

  #attempt(
    outcome: Outcome,
    home: Region,
    region: Region,
    exclude: readonly string[],
    returned = false,
  ): void {
    if (outcome.result !== "open") return;
    const { ask } = outcome;
    outcome.attempts++;
    const attempt: Attempt = {
      id: `${ask.id}#${this.#count++}`,
      outcome,
      region,
      home,
      exclude,
      returned,
      grantedAtMs: 0,
      state: "asked",
    };
    this.#attempts.set(attempt.id, attempt);
    this.#current.set(outcome, attempt);
    this.sim.after(HOP_MS, () => this.#ask(attempt));
  }

  #ask({ id, outcome, region, home, exclude, returned }: Attempt): void {
    const { ask } = outcome;
    // The policy that knows only latency takes what others send as its own.
    const away = region !== home && !this.#options.onlyLatency;
    region.policy.ask({
      attemptId: id,
      service: this.#options.service,
      workspace: ask.workspace,
      priority: 0,
      arrivedAtMs: ask.atMs,
      deadlineMs: ask.deadlineMs,
      prefixHashes: ask.prefixHashes,
      promptTokens: ask.promptTokens,
      expectedOutputTokens: ask.outputTokens,
      exclude,
      ...(away ? { sentFrom: home.id } : {}),
      ...(returned ? { stayHome: true } : {}),
      tableVersion: 1,
    }, this.now);
  }

  #answered(attemptId: string, answer: SlotAnswer): void {
    const attempt = this.#attempts.get(attemptId);
    if (!attempt) return;
    if (attempt.state !== "asked") return this.#breach("answered twice");
    const { outcome, region, home } = attempt;
    if (answer.type === "grant") return this.#granted(attempt, answer);
    attempt.state = "closed";
    this.#attempts.delete(attemptId);
    if (outcome.result !== "open") return;
    if (answer.type === "shift") {
      if (attempt.returned || region !== home) this.#breach("moved twice");
      const far = this.#regions.get(answer.region)!;
      this.#forward(outcome, home, far);
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
    outcome.refusedAfterMs = this.now - outcome.ask.atMs;
  }

  #forward(outcome: Outcome, home: Region, far: Region): void {
    const { linkMs } = this.#options;
    if (outcome.ask.bound) this.#breach("bound sent away");
    outcome.moves++;
    if (this.#news.isCut(home, far)) {
      this.sim.after(
        CONNECT_TIMEOUT_MS,
        () => this.#attempt(outcome, home, home, [], true),
      );
      return;
    }
    this.sim.after(linkMs, () => this.#attempt(outcome, home, far, []));
  }

  #granted(
    attempt: Attempt,
    grant: SlotAnswer & { type: "grant" },
  ): void {
    const { outcome, region } = attempt;
    attempt.state = "granted";
    attempt.upstreamId = grant.upstreamId;
    outcome.upstreamId = grant.upstreamId;
    attempt.grantedAtMs = this.now;
    region.held.add(attempt.id);
    if (outcome.result !== "open") return this.#end(attempt, "canceled");
    if (attempt.exclude.includes(grant.upstreamId)) {
      this.#breach("visited again");
    }
    this.sim.after(
      2 * HOP_MS,
      () => this.#submit(attempt, grant.enginePriority ?? 0),
    );
  }

  #submit(attempt: Attempt, priority: number): void {
    if (attempt.state !== "granted") return;
    const engine = attempt.region.byId.get(attempt.upstreamId!)!;
    const { ask } = attempt.outcome;
    if (engine.dead || engine.parked) {
      this.#end(attempt, "unreachable");
      this.#retry(attempt, "no");
      return;
    }
    attempt.outcome.runs++;
    engine.submit({
      id: attempt.id,
      promptTokens: ask.promptTokens,
      outputTokens: ask.outputTokens,
      prefixHashes: ask.prefixHashes,
      priority,
      onFirst: (cached) => this.#first(attempt, cached),
      onDone: () => this.#end(attempt, "done"),
      onFail: () => {
        const started = attempt.state === "started";
        this.#end(attempt, "failed");
        if (started) attempt.outcome.result = "broken";
        else this.#retry(attempt, "unknown");
      },
    });
  }

  #first(attempt: Attempt, cached: number): void {
    if (attempt.state !== "granted") return;
    const { outcome, region, home } = attempt;
    attempt.state = "started";
    if (outcome.result !== "open") return;
    outcome.answers++;
    if (outcome.answers > 1) this.#breach("two answers");
    const backMs = HOP_MS + (region === home ? 0 : this.#options.linkMs);
    outcome.firstMs = this.now + backMs - outcome.ask.atMs;
    outcome.result = "served";
    outcome.servedIn = region.id;
    outcome.warmTokens = cached;
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
    const { ask } = attempt.outcome;
    const report: SlotReport = {
      attemptId: attempt.id,
      service: this.#options.service,
      upstreamId: attempt.upstreamId!,
      outcome,
      ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
      ...(outcome === "done" && this.#tells()
        ? { cachedTokens: attempt.outcome.warmTokens }
        : {}),
      outputTokens: outcome === "done" ? ask.outputTokens : 0,
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
    const allowed = mayRetry({
      atMostOnce: false,
      ran,
      answerBytes: 0,
      attempts: Math.min(exclude.length, ATTEMPT_LIMIT),
      deadlineMs: outcome.ask.deadlineMs,
    }, this.now);
    if (!allowed) return this.#refuse(outcome, "upstreamFailed");
    this.#attempt(outcome, home, region, exclude, attempt.returned);
  }

  /** Whether this answer's usage tells what was cached: some engines leave it out of some answers. */
  #tells(): boolean {
    return this.#random.next() < this.#options.usageShare;
  }

  /** The caller's deadline: one without a first token goes away. */
  #leave(outcome: Outcome): void {
    if (outcome.result !== "open") return;
    outcome.result = "late";
    const attempt = this.#current.get(outcome);
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

  #breach(promise: string): void {
    this.broken.set(promise, (this.broken.get(promise) ?? 0) + 1);
  }
}
