/**
 * Which VM leads which pool. Every VM derives this for itself from the table and the live VMs, without an agreement
 * between VMs. Two VMs that disagree for a short time both lead, which adds load but is safe (see
 * `docs/design/leads.md`).
 *
 * @module
 */

import { hash32, rendezvous } from "../base/mod.ts";
import type { UpstreamRow } from "./rows.ts";
import type { Table } from "./table.ts";

/** A pool: some of the upstreams of a service in a region. */
export interface PoolInfo {
  /** `SERVICE/REGION/NUMBER`. */
  readonly key: string;
  readonly service: string;
  readonly region: string;
  readonly number: number;
  readonly upstreams: readonly UpstreamRow[];
}

/** The properties of a VM by which leads are chosen. */
export interface LeadCandidate {
  readonly id: string;
  readonly state: "live" | "leaving";
}

/**
 * Splits the upstreams of a service in a region into pools of about the service's `poolSize`. An upstream's pool
 * depends on its own id, so that adding or removing an upstream moves no other as long as the number of pools stays the
 * same.
 */
export function poolsOfService(
  table: Table,
  service: string,
  region: string,
): PoolInfo[] {
  const upstreams = table.upstreams(service, region);
  const size = table.service(service)?.poolSize ?? 64;
  const count = Math.max(1, Math.ceil(upstreams.length / size));
  const groups: UpstreamRow[][] = Array.from({ length: count }, () => []);
  const numbers = groups.map((_, number) => number);
  for (const upstream of upstreams) {
    const number = count === 1
      ? 0
      : rendezvous(upstream.id, numbers, (n) => `pool/${n}`)[0];
    groups[number].push(upstream);
  }
  return groups.map((group, number) => ({
    key: `${service}/${region}/${number}`,
    service,
    region,
    number,
    upstreams: group,
  }));
}

/** Returns all pools of a region by key. */
export function poolsOfRegion(
  table: Table,
  region: string,
): Map<string, PoolInfo> {
  const pools = new Map<string, PoolInfo>();
  for (const { row } of table.rows()) {
    if (row.kind !== "service") continue;
    for (const pool of poolsOfService(table, row.id, region)) {
      pools.set(pool.key, pool);
    }
  }
  return pools;
}

/**
 * Returns the VMs that may lead a pool, best first. A draining VM leads only if no live one is left, so that the last
 * VM of an isolated region, while it drains, still serves the requests that arrive until it ends.
 */
export function leadOrder<T extends LeadCandidate>(
  poolKey: string,
  vms: readonly T[],
): T[] {
  const live = vms.filter((vm) => vm.state === "live");
  const eligible = live.length > 0 ? live : vms;
  return rendezvous(`lead/${poolKey}`, eligible, (vm) => vm.id);
}

/** A digest of a set of attempts, independent of their order. */
export interface AttemptsDigest {
  readonly count: number;
  readonly xor: number;
}

/** Returns the digest of these attempts. Equal sets have equal digests. */
export function digestAttempts(attemptIds: Iterable<string>): AttemptsDigest {
  let count = 0;
  let xor = 0;
  for (const id of attemptIds) {
    count++;
    xor = (xor ^ hash32(id)) >>> 0;
  }
  return { count, xor };
}
