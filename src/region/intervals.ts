/**
 * How often VMs tell each other what.
 *
 * @module
 */

/** A time that grows with the VMs of the region, in ms. */
interface IntervalRange {
  readonly min: number;
  readonly perVm: number;
  readonly max: number;
}

/** Time between reports: short in a small region, where loads are read from them, and bounded above for a large one. */
const REPORT_INTERVAL: IntervalRange = { min: 100, perVm: 25, max: 250 };
/**
 * Time between rosters, which bring the loads of all VMs: short in a small region, so that a lead sends some fifty a
 * second at most, and bounded above.
 */
const ROSTER_INTERVAL: IntervalRange = { min: 100, perVm: 20, max: 500 };
/** Time between digests of the first lead and of the others, with up to {@link MAX_FULL_RATE_REGIONS} other regions. */
const DIGEST_INTERVAL_MS = { first: 500, others: 1_000 };
const MAX_FULL_RATE_REGIONS = 8;

function intervalMs(
  { min, perVm, max }: IntervalRange,
  vmCount: number,
): number {
  return Math.min(max, Math.max(min, perVm * (vmCount - 1)));
}

/** Time between a VM's reports in a region of so many. */
export function reportEveryMs(vmCount: number): number {
  return intervalMs(REPORT_INTERVAL, vmCount);
}

/** Time between a lead's rosters in a region of so many VMs. */
export function rosterEveryMs(vmCount: number): number {
  return intervalMs(ROSTER_INTERVAL, vmCount);
}

/** Time between a lead's digests to so many other regions; they are sent less often to many. */
export function digestEveryMs(isFirst: boolean, regionCount: number): number {
  return (isFirst ? DIGEST_INTERVAL_MS.first : DIGEST_INTERVAL_MS.others) *
    Math.max(1, regionCount / MAX_FULL_RATE_REGIONS);
}
