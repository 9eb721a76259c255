/**
 * Intervals at which VMs send reports, rosters and digests.
 *
 * @module
 */

/** An interval that grows with the number of VMs of the region, in ms. */
interface IntervalRange {
  readonly min: number;
  readonly perVm: number;
  readonly max: number;
}

/** Time between reports: short in a small region, where VMs learn loads from them, and capped in a large one. */
const REPORT_INTERVAL: IntervalRange = { min: 100, perVm: 25, max: 250 };
/**
 * Time between rosters, which carry the loads of all VMs. It is short in a small region, grows so that a lead sends at
 * most about fifty a second, and is capped.
 */
const ROSTER_INTERVAL: IntervalRange = { min: 100, perVm: 20, max: 500 };
/**
 * Time between rosters of leads other than the first for VMs that hear the first lead. Changes are sent at once, so these
 * show only that the lead is heard.
 */
export const PARTIAL_ROSTER_EVERY_MS = 1_000;
/** Time between the digests of the first lead and of other leads, to at most {@link MAX_FULL_RATE_REGIONS} regions. */
const DIGEST_INTERVAL_MS = { first: 500, others: 1_000 };
const MAX_FULL_RATE_REGIONS = 8;

function intervalMs(
  { min, perVm, max }: IntervalRange,
  vmCount: number,
): number {
  return Math.min(max, Math.max(min, perVm * (vmCount - 1)));
}

/** Time between a VM's reports in a region of `vmCount` VMs. */
export function reportEveryMs(vmCount: number): number {
  return intervalMs(REPORT_INTERVAL, vmCount);
}

/** Time between a lead's rosters in a region of `vmCount` VMs. */
export function rosterEveryMs(vmCount: number): number {
  return intervalMs(ROSTER_INTERVAL, vmCount);
}

/** Time between a lead's digests to `regionCount` other regions; the interval grows when there are many. */
export function digestEveryMs(isFirst: boolean, regionCount: number): number {
  return (isFirst ? DIGEST_INTERVAL_MS.first : DIGEST_INTERVAL_MS.others) *
    Math.max(1, regionCount / MAX_FULL_RATE_REGIONS);
}
