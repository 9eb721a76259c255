/**
 * The identity of a VM, as it is sent to other VMs.
 *
 * @module
 */

import {
  type Check,
  isAddress,
  isNumber,
  isText,
  objectOf,
} from "../base/mod.ts";

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
export const isVmRecord: Check<VmRecord> = objectOf<VmRecord>({
  id: isText,
  ip: isAddress,
  region: isText,
  failureDomain: isText,
  bornMs: isNumber,
  cores: isNumber,
});

/** Copies only the record's own fields from a value that extends it. */
export function toVmRecord(
  { id, ip, region, failureDomain, bornMs, cores }: VmRecord,
): VmRecord {
  return { id, ip, region, failureDomain, bornMs, cores };
}
