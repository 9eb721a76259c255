/**
 * What a VM may hand out of the limits by itself, while no lead answers it.
 *
 * @module
 */

import { hash32, mix32 } from "../base/mod.ts";
import {
  type LimitOf,
  PartCount,
  type QuotaSlack,
  type QuotaUse,
  SPARE_OF_SLACK,
} from "./counts.ts";

/** A VM that starts doesn't know what it has used before; half of a burst serves its first callers. */
const FIRST_LEVEL = 0.5;
const HASH_RANGE = 0x1_0000_0000;
const MS_PER_S = 1_000;

/**
 * See the module. The part is an equal one of the whole limit. A cut-off VM would else refuse all its callers, or let any
 * flood pass; the lead leaves the parts of VMs that it doesn't hear alone. A request larger than the part may pass on some
 * VMs only, so many that the sum stays within what operators bear beyond the limit.
 */
export class OwnPart {
  readonly #vmHash: number;
  readonly #limitOf: LimitOf;
  readonly #slack: QuotaSlack;
  readonly #sinceMs: number;
  readonly #counts = new Map<string, PartCount>();

  constructor(
    vmId: string,
    limitOf: LimitOf,
    slack: QuotaSlack,
    nowMs: number,
  ) {
    this.#sinceMs = nowMs;
    this.#vmHash = hash32(vmId);
    this.#limitOf = limitOf;
    this.#slack = slack;
  }

  /** How long until the use fits, in ms; 0 if it does now. `vms` share the limit. */
  waitMs({ workspace, units }: QuotaUse, vms: number, nowMs: number): number {
    const limit = this.#limitOf(workspace);
    if (!limit) return 0;
    const { bucket } = this.#count(workspace, vms, nowMs)!;
    const isLarge = units > limit.burstUnits / vms;
    if (isLarge && !this.#mayPassLarge(workspace, units, vms)) return Infinity;
    return bucket.readyAtMs(units, nowMs) - nowMs;
  }

  /** Counts a request that is sent. */
  take({ workspace, units }: QuotaUse, vms: number, nowMs: number): void {
    this.#count(workspace, vms, nowMs)?.bucket.take(units, nowMs);
  }

  /** A request that was counted has not run. */
  giveBack({ workspace, units }: QuotaUse): void {
    this.#counts.get(workspace)?.bucket.refund(units);
  }

  /** Whether this is one of the VMs that let requests beyond their part pass. */
  #mayPassLarge(workspace: string, units: number, vms: number): boolean {
    const { excess, slackUnits, windowMs } = this.#slack;
    const { unitsPerS, burstUnits } = this.#limitOf(workspace)!;
    const windowUnits = unitsPerS * windowMs / MS_PER_S + burstUnits;
    const bornUnits = windowUnits * excess + slackUnits * (1 - SPARE_OF_SLACK);
    const most = bornUnits / units;
    return mix32(hash32(workspace), this.#vmHash) / HASH_RANGE < most / vms;
  }

  #count(
    workspace: string,
    vms: number,
    nowMs: number,
  ): PartCount | undefined {
    const limit = this.#limitOf(workspace);
    if (!limit) return undefined;
    let count = this.#counts.get(workspace);
    const part = { share: 1 / vms, spareUnits: 0 };
    if (count) count.fit(limit, part, nowMs);
    else {
      count = new PartCount(limit, part, FIRST_LEVEL, this.#sinceMs);
      this.#counts.set(workspace, count);
    }
    return count;
  }
}
