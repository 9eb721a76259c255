/**
 * How often VMs tell each other what.
 *
 * @module
 */

/** A time that grows with the VMs of the region, in ms. */
interface Pace {
  readonly least: number;
  readonly perVm: number;
  readonly most: number;
}

/** Time between reports: short in a small region, where loads are read from them, and bounded above for a large one. */
const REPORT_MS: Pace = { least: 100, perVm: 25, most: 250 };
/**
 * Time between rosters, which bring the loads of all VMs: short in a small region, so that a lead sends some fifty a
 * second at most, and bounded above.
 */
const ROSTER_MS: Pace = { least: 100, perVm: 20, most: 500 };
/** Time between digests of the first lead and of the others, with up to {@link DIGEST_REGIONS} other regions. */
const DIGEST_MS = { first: 500, others: 1_000 };
const DIGEST_REGIONS = 8;

function paced({ least, perVm, most }: Pace, vms: number): number {
  return Math.min(most, Math.max(least, perVm * (vms - 1)));
}

/** Time between a VM's reports in a region of so many. */
export function reportEveryMs(vms: number): number {
  return paced(REPORT_MS, vms);
}

/** Time between a lead's rosters in a region of so many VMs. */
export function rosterEveryMs(vms: number): number {
  return paced(ROSTER_MS, vms);
}

/** Time between a lead's digests to so many other regions; they are sent less often to many. */
export function digestEveryMs(isFirst: boolean, regions: number): number {
  return (isFirst ? DIGEST_MS.first : DIGEST_MS.others) *
    Math.max(1, regions / DIGEST_REGIONS);
}
