/**
 * The part of the limits that a VM may admit by itself while no lead answers it.
 *
 * @module
 */

import { hash32, mix32 } from "../base/mod.ts";
import {
  type LimitLookup,
  PartUsage,
  type QuotaSlack,
  type QuotaUse,
  SPARE_SLACK_SHARE,
} from "./part_usage.ts";

const HASH_RANGE = 0x1_0000_0000;
const MS_PER_S = 1_000;

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
 * While a lead counts, it grants the whole limit: a part holds nothing of that time.
 */
export class LocalQuota {
  readonly #vmHash: number;
  readonly #limitOf: LimitLookup;
  readonly #slack: QuotaSlack;
  /** Since when this VM counts for itself. Parts are empty then. */
  #sinceMs: number;
  readonly #usages = new Map<string, OwnUsage>();

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
    return bucket.readyAtMs(units, nowMs) - nowMs;
  }

  /** Counts a request that is sent. */
  take({ workspace, units }: QuotaUse, vmCount: number, nowMs: number): void {
    this.#usageOf(workspace, vmCount, nowMs)?.bucket.take(units, nowMs);
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
    const sinceMs = this.#sinceMs;
    const part = { share: 1 / vmCount, spareUnits: 0 };
    const own = this.#usages.get(workspace);
    const usage = own?.usage ?? new PartUsage(limit, part, 0, sinceMs);
    if (own && own.sinceMs !== sinceMs) usage.bucket.empty(sinceMs);
    this.#usages.set(workspace, { usage, sinceMs });
    // A VM that learns of fewer or more others has got nothing from them.
    usage.resize(limit, part, nowMs, false);
    return usage;
  }
}
