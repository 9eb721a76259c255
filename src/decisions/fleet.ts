/**
 * The upstreams of a pool, and the judgement of each against the others.
 *
 * @module
 */

import type { UpstreamRow } from "../agreement/mod.ts";
import type { SlotReport } from "./slots.ts";
import { type Held, Upstream } from "./upstream.ts";
import { prefillMs } from "./work.ts";

/**
 * Most of a pool set aside for slowness or failures. The judgement compares an upstream with its peers and can be wrong
 * for many at once (a slow link of one VM, a burst of long prompts); without the bound, the rest would be overloaded,
 * look slow in turn and be set aside too. Unreachable ones are not bounded: placing on them serves nobody.
 */
const ASIDE_SHARE = 1 / 3;
/** An upstream this many times slower than the pool's median is set aside; below this, it only gets less. */
const ASIDE_RATIO = 4;
/** A probe this close to the median brings it back. */
const RETURN_RATIO = 2;
/** A saved prefill shorter than this cannot be told from noise in first-token times. */
const EVICTION_MS = 50;

/** A belief in fewer cached tokens than this is not worth judging. */
const LEAST_BELIEVED_TOKENS = 512;

/** Time after which a placed prompt is in the cache unless it was evicted. */
const SETTLED_BELIEF_MS = 5000;

/** See the module. */
export class Fleet {
  #byId = new Map<string, Upstream>();
  #list: readonly Upstream[] = [];
  #active: readonly Upstream[] = [];
  #hearsStarts = false;
  #pressure = 0;

  get list(): readonly Upstream[] {
    return this.#list;
  }
  get(id: string): Upstream | undefined {
    return this.#byId.get(id);
  }

  /** Takes the rows in force. What is known of an upstream stays while its row does, whatever its state. */
  configure(rows: readonly UpstreamRow[]): void {
    const before = this.#byId;
    this.#byId = new Map();
    for (const row of rows) {
      const known = before.get(row.id) ?? new Upstream(row);
      known.row = row;
      known.health.resize(row.slots);
      this.#byId.set(row.id, known);
    }
    this.#list = [...this.#byId.values()];
    this.#refresh();
  }

  /** Upstreams that the lead took out of use for want of work. */
  released(): Upstream[] {
    return this.#list.filter((upstream) =>
      upstream.row.state === "active" && upstream.release !== "awake"
    );
  }

  /** Takes the least used upstream out of use; it is parked once it has ended what it runs. */
  drainOne(): void {
    const idlest = [...this.#active].sort((a, b) => a.running - b.running)[0];
    if (!idlest) return;
    idlest.release = "draining";
    this.#refresh();
  }

  /** Upstreams that have ended what they ran since they were drained; they lose their caches. */
  park(): Upstream[] {
    const idle = this.#list.filter((upstream) =>
      upstream.release === "draining" && upstream.running === 0
    );
    for (const upstream of idle) {
      upstream.release = "parked";
      upstream.warm.clear();
    }
    return idle;
  }

  /** Brings released upstreams back by a ramp, those first that are still warm; returns those to order awake. */
  wake(count: number, nowMs: number): Upstream[] {
    const released = this.released()
      .sort((a, b) => b.running - a.running)
      .slice(0, count);
    const parked = released.filter((u) => u.release === "parked");
    for (const upstream of released) upstream.release = "awake";
    for (const upstream of parked) upstream.health.ramp(nowMs);
    this.#refresh();
    return parked;
  }

  #refresh(): void {
    this.#active = this.#list.filter((upstream) => upstream.takesWork);
  }

  /** Upstreams that may get new work, set aside or not. */
  get active(): readonly Upstream[] {
    return this.#active;
  }

  /** Slots in use, and slots there are. */
  load(nowMs: number): { readonly running: number; readonly slots: number } {
    let running = 0;
    let slots = 0;
    for (const upstream of this.#list) running += upstream.running;
    for (const upstream of this.#active) {
      slots += upstream.health.limit(nowMs);
    }
    return { running, slots };
  }

  /** Whether any upstream can take a request now or soon. */
  usable(nowMs: number): boolean {
    return this.#active.some((upstream) => upstream.health.usable(nowMs));
  }

  /** Share of the slots in use when last judged. */
  get pressure(): number {
    return this.#pressure;
  }

  /** Work that the upstreams not set aside can take in a ms, by their rows and observed speeds. */
  nominalPerMs(nowMs: number): number {
    let sum = 0;
    for (const { row, health, slowness } of this.#active) {
      const part = health.limit(nowMs) / row.slots;
      sum += (row.prefillTokensPerS / 1000 / slowness) * part;
    }
    return sum;
  }

  /** The first token of an attempt came. */
  started(held: Held, firstTokenMs: number, nowMs: number): void {
    this.#hearsStarts = true;
    const { upstream } = held;
    const ratio = lateness(held, firstTokenMs);
    upstream.start(held);
    upstream.learn(ratio);
    upstream.health.answered(ratio, nowMs);
    if (!held.probe) return;
    if (upstream.slowness <= RETURN_RATIO * this.medianSlowness()) {
      upstream.health.restore(nowMs);
    } else upstream.health.setAside(nowMs);
  }

  /** An attempt left its upstream. */
  ended(
    held: Held,
    outcome: SlotReport["outcome"],
    nowMs: number,
    cachedTokens?: number,
  ): void {
    const { upstream } = held;
    if (cachedTokens !== undefined) learnCache(held, cachedTokens);
    const unjudged = held.probe && !held.started;
    upstream.remove(held, nowMs);
    if (held.probe) upstream.health.probeEnded();
    if (outcome === "failed" || outcome === "unreachable") {
      this.#failed(held, outcome === "unreachable", nowMs);
    } else if (outcome === "refused") upstream.health.overloaded(nowMs);
    else if (unjudged) upstream.health.setAside(nowMs);
  }

  /**
   * Looks at every upstream. Made for one that turns slow or silent: its first tokens are late long before it answers,
   * so an overdue attempt already counts as evidence, and new work goes elsewhere within a second.
   */
  judge(nowMs: number): void {
    for (const upstream of this.#list) this.#watchOverdue(upstream, nowMs);
    const median = this.medianSlowness();
    for (const upstream of this.#list) {
      const { health } = upstream;
      if (health.state === "aside") continue;
      if (upstream.slowness <= ASIDE_RATIO * median) continue;
      if (this.#mayAside()) health.setAside(nowMs);
    }
    const { running, slots } = this.load(nowMs);
    this.#pressure = slots > 0 ? Math.min(1, running / slots) : 1;
  }

  /** The middle slowness of the upstreams not set aside. */
  medianSlowness(): number {
    const values = this.#active
      .filter((upstream) => upstream.health.state !== "aside")
      .map((upstream) => upstream.slowness)
      .sort((a, b) => a - b);
    return values[(values.length - 1) >> 1] ?? 1;
  }

  /** For people. */
  dump(): unknown[] {
    return this.#list.map((upstream) => ({
      id: upstream.row.id,
      state: upstream.row.state,
      health: upstream.health.state,
      running: upstream.running,
      foreign: upstream.foreign,
      slowness: Number(upstream.slowness.toFixed(2)),
      warmBlocks: upstream.warm.size,
    }));
  }

  #failed(held: Held, unreachable: boolean, nowMs: number): void {
    const { upstream } = held;
    const ill = upstream.health.failed(unreachable);
    if (upstream.health.state === "aside") {
      if (held.probe) upstream.health.setAside(nowMs);
    } else if (ill && (unreachable || this.#mayAside())) {
      upstream.health.setAside(nowMs);
      // A restarted engine has lost its cache; believing otherwise would draw its old prompts to it cold.
      upstream.warm.clear();
    }
  }

  #watchOverdue(upstream: Upstream, nowMs: number): void {
    // Without news of first tokens, every long answer would look overdue.
    if (!this.#hearsStarts) return;
    const late = upstream.overdue(nowMs);
    if (!late) return;
    const waitedMs = nowMs - late.grantedAtMs;
    const expectedMs = Math.max(1, late.firstTokenDueMs - late.grantedAtMs);
    upstream.atLeastSlow(late.slowness * (waitedMs / expectedMs));
  }

  #mayAside(): boolean {
    const active = this.#active;
    const aside = active.filter((u) => u.health.state === "aside").length;
    return aside < Math.floor(Math.max(active.length * ASIDE_SHARE, 1)) &&
      active.length > 1;
  }
}

/**
 * How many times later than predicted a first token came. Where a warm prefix was believed in and the time is nearer to
 * that of a cold one, the belief was wrong and not the upstream slow: the engine had evicted the prefix.
 */
function lateness(held: Held, firstTokenMs: number): number {
  const { upstream } = held;
  const warmMs = Math.max(1, held.firstTokenDueMs - held.grantedAtMs);
  const saved = held.promptTokens - held.coldTokens;
  const coldMs = warmMs + prefillMs(upstream.row, saved) * held.slowness;
  const misled = coldMs - warmMs > EVICTION_MS &&
    firstTokenMs * firstTokenMs > warmMs * coldMs;
  return firstTokenMs / (misled ? coldMs : warmMs);
}

// What the engine tells of its cache is exact, and late: it comes with the end of the answer. A prefix placed there just
// before may not have been prefilled yet; that it was not cached says nothing of the cache's size.
function learnCache(held: Held, cachedTokens: number): void {
  const believed = held.promptTokens - held.coldTokens;
  if (believed < LEAST_BELIEVED_TOKENS) return;
  if (held.beliefAgeMs < SETTLED_BELIEF_MS) return;
  if (cachedTokens < believed / 2) held.upstream.warm.wasCold();
  else held.upstream.warm.wasWarm();
}
