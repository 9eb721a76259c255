/**
 * Who a VM is, as others learn it.
 *
 * @module
 */

/** One start of the daemon on one VM. */
export interface VmRecord {
  readonly id: string;
  readonly ip: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Start of its process, Unix ms: tells one start from the next. */
  readonly bornMs: number;
  /** Cores that it may use, as a fraction for a share of one. */
  readonly cores: number;
}

/** Whether a value that came from outside says who a VM is. */
export function isVmRecord(value: unknown): value is VmRecord {
  const vm = value as Partial<VmRecord> | null;
  return typeof vm?.id === "string" && typeof vm.ip === "string" &&
    typeof vm.region === "string" &&
    typeof vm.failureDomain === "string" && typeof vm.bornMs === "number" &&
    typeof vm.cores === "number";
}

/** The record alone of something that extends it. */
export function toVmRecord(
  { id, ip, region, failureDomain, bornMs, cores }: VmRecord,
): VmRecord {
  return { id, ip, region, failureDomain, bornMs, cores };
}
