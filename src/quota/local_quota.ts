/**
 * The part of the limits that a VM may admit by itself while no lead answers it.
 *
 * @module
 */

import { hash32, mix32 } from "../base/mod.ts";
import { TokenBucket } from "../decisions/token_bucket.ts";
import type { QuotaLimit } from "../workspaces/mod.ts";
import {
  type LimitLookup,
  PartUsage,
  type QuotaSlack,
  type QuotaUse,
  SPARE_SLACK_SHARE,
} from "./part_usage.ts";

/** A VM that does not use its parts for this long while a lead is heard leaves the limit to that lead. */
const IDLE_MS = 500;
/** What a lead had left may be used for this long after its answer: others may have used it meanwhile. */
const LEFT_VALID_MS = 1_000;
/**
 * Share of the tolerated excess that all VMs together may grant in a window beyond their parts, which are empty when a
 * lead is late: a workspace below its limit must not be refused for that.
 */
const LATE_EXCESS_SHARE = 0.25;
const HASH_RANGE = 0x1_0000_0000;
const MS_PER_S = 1_000;

/** Units that a lead told. */
interface LeftUnits {
  readonly units: number;
  readonly toldMs: number;
}

/** The usage of one workspace, and since when it refills. */
interface OwnUsage {
  readonly usage: PartUsage;
  readonly sinceMs: number;
}

/**
 * Counts the requests that this VM admits by itself, against an equal part of each limit. Without such a part, a cut-off VM
 * would have to refuse all its callers or admit any flood. The lead does not use the parts of VMs that it doesn't hear. A
 * request that is larger than the part is admitted on some VMs only, so few that the total stays within the excess that
 * operators tolerate.
 *
 * While a lead counts, it grants the whole limit: a part holds nothing of that time, but for what the lead has just told
 * that it has left. What is granted from it is told to the leads, of which the one that counts takes it from its own.
 */
export class LocalQuota {
  readonly #vmHash: number;
  readonly #limitOf: LimitLookup;
  readonly #slack: QuotaSlack;
  /** Since when this VM counts for itself. Parts are empty then. */
  #sinceMs: number;
  #lastUsedMs = -Infinity;
  readonly #usages = new Map<string, OwnUsage>();
  /** What each workspace may use beyond its part; see {@link LATE_EXCESS_SHARE}. */
  readonly #extras = new Map<string, TokenBucket>();
  /** What the lead that counts has left for this VM, by workspace. */
  readonly #left = new Map<string, LeftUnits>();
  /** Units granted since {@link LocalQuota.takeUntold}, by workspace. */
  readonly #untoldUnits = new Map<string, number>();

  constructor(
    vmId: string,
    limitOf: LimitLookup,
    slack: QuotaSlack,
    nowMs: number,
  ) {
    this.#sinceMs = nowMs;
    this.#vmHash = hash32(vmId);
    this.#limitOf = limitOf;
    this.#slack = slack;
  }

  /** Notes that somebody else counted until now. */
  restart(nowMs: number): void {
    this.#sinceMs = nowMs;
    this.#left.clear();
  }

  /** Notes that a lead counts, and what it has left of a workspace for this VM. */
  noteCountedByLead(workspace: string, units: number, nowMs: number): void {
    this.#sinceMs = nowMs;
    this.#left.set(workspace, { units, toldMs: nowMs });
  }

  /** Without requests, no answer tells a VM that its lead counts. */
  restartIfIdle(nowMs: number): void {
    if (nowMs - this.#lastUsedMs >= IDLE_MS) this.#sinceMs = nowMs;
  }

  /** Returns what was granted since the last call, of at most `max` workspaces. */
  takeUntold(max: number): QuotaUse[] {
    const uses = [...this.#untoldUnits].slice(0, max)
      .map(([workspace, units]) => ({ workspace, units }));
    for (const { workspace } of uses) this.#untoldUnits.delete(workspace);
    return uses;
  }

  /** How long until the use fits, in ms; 0 if it fits now. `vms` is the number of VMs that share the limit. */
  waitMs(
    { workspace, units }: QuotaUse,
    vmCount: number,
    nowMs: number,
  ): number {
    const limit = this.#limitOf(workspace);
    if (!limit) return 0;
    const { bucket } = this.#usageOf(workspace, vmCount, nowMs)!;
    const isLarge = units > limit.burstUnits / vmCount;
    if (isLarge && !this.#mayPassLarge(workspace, units, vmCount)) {
      return Infinity;
    }
    const waitMs = bucket.readyAtMs(units, nowMs) - nowMs;
    if (waitMs <= 0) return 0;
    const extra = this.#extraOf(workspace, limit, vmCount, nowMs);
    return extra.levelAt(nowMs) >= units ? 0 : waitMs;
  }

  /** Counts a request that is sent. */
  take({ workspace, units }: QuotaUse, vmCount: number, nowMs: number): void {
    this.#bucketFor(workspace, units, vmCount, nowMs)?.take(units, nowMs);
    const untoldUnits = this.#untoldUnits.get(workspace) ?? 0;
    this.#untoldUnits.set(workspace, untoldUnits + units);
  }

  /** Returns the part if it has the units, else what may be used beyond it if that has them. */
  #bucketFor(
    workspace: string,
    units: number,
    vmCount: number,
    nowMs: number,
  ): TokenBucket | undefined {
    const limit = this.#limitOf(workspace);
    const bucket = this.#usageOf(workspace, vmCount, nowMs)?.bucket;
    if (!limit || !bucket || bucket.has(units, nowMs)) return bucket;
    const extra = this.#extraOf(workspace, limit, vmCount, nowMs);
    return extra.levelAt(nowMs) >= units ? extra : bucket;
  }

  #extraOf(
    workspace: string,
    { unitsPerS, burstUnits }: QuotaLimit,
    vmCount: number,
    nowMs: number,
  ): TokenBucket {
    const { excess, windowMs } = this.#slack;
    const windowUnits = unitsPerS * windowMs / MS_PER_S + burstUnits;
    // Half of it at once and half as it refills make up a window's.
    const units = windowUnits * excess * LATE_EXCESS_SHARE / vmCount / 2;
    const extra = this.#extras.get(workspace) ??
      new TokenBucket(units / windowMs, units, nowMs);
    extra.restrict(units / windowMs, units, nowMs);
    this.#extras.set(workspace, extra);
    return extra;
  }

  /** Refunds the units of a counted request that did not run. */
  refund({ workspace, units }: QuotaUse): void {
    this.#usages.get(workspace)?.usage.bucket.refund(units);
  }

  /** Whether this VM is one of those that admit requests larger than their part. */
  #mayPassLarge(workspace: string, units: number, vmCount: number): boolean {
    const { excess, slackUnits, windowMs } = this.#slack;
    const { unitsPerS, burstUnits } = this.#limitOf(workspace)!;
    const windowUnits = unitsPerS * windowMs / MS_PER_S + burstUnits;
    const toleratedUnits = windowUnits * excess +
      slackUnits * (1 - SPARE_SLACK_SHARE);
    const maxVms = toleratedUnits / units;
    return mix32(hash32(workspace), this.#vmHash) / HASH_RANGE <
      maxVms / vmCount;
  }

  #usageOf(
    workspace: string,
    vmCount: number,
    nowMs: number,
  ): PartUsage | undefined {
    const limit = this.#limitOf(workspace);
    if (!limit) return undefined;
    this.#lastUsedMs = nowMs;
    const sinceMs = this.#sinceMs;
    const part = { share: 1 / vmCount, spareUnits: 0 };
    const own = this.#usages.get(workspace);
    const usage = own?.usage ?? new PartUsage(limit, part, 0, sinceMs);
    if (own && own.sinceMs !== sinceMs) usage.bucket.empty(sinceMs);
    if (own?.sinceMs !== sinceMs) {
      usage.bucket.refund(this.#takeLeft(workspace, nowMs));
    }
    this.#usages.set(workspace, { usage, sinceMs });
    // A VM that learns of fewer or more others has got nothing from them.
    usage.resize(limit, part, nowMs, false);
    return usage;
  }

  /** Units that a lead has told of lately; they may be used once. */
  #takeLeft(workspace: string, nowMs: number): number {
    const left = this.#left.get(workspace);
    this.#left.delete(workspace);
    return left && nowMs - left.toldMs < LEFT_VALID_MS ? left.units : 0;
  }
}
