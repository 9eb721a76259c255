/**
 * The identity of a VM, as it is sent to other VMs.
 *
 * @module
 */

/** One start of the daemon on one VM. */
export interface VmRecord {
  readonly id: string;
  readonly ip: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Start time of its process, in Unix ms. It distinguishes one start from the next. */
  readonly bornMs: number;
  /** Cores that it may use; a fraction if it has a share of a core. */
  readonly cores: number;
}

/** Whether a received value is a VM record. */
export function isVmRecord(value: unknown): value is VmRecord {
  const vm = value as Partial<VmRecord> | null;
  return typeof vm?.id === "string" && typeof vm.ip === "string" &&
    typeof vm.region === "string" &&
    typeof vm.failureDomain === "string" && typeof vm.bornMs === "number" &&
    typeof vm.cores === "number";
}

/** Copies only the record's own fields from a value that extends it. */
export function toVmRecord(
  { id, ip, region, failureDomain, bornMs, cores }: VmRecord,
): VmRecord {
  return { id, ip, region, failureDomain, bornMs, cores };
}
