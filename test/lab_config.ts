/**
 * Which configuration the VMs of a lab have in force.
 *
 * @module
 */

import { type GatewayLab, type LabVm, waitUntil } from "./gateway_lab.ts";

/** The version in force on a VM; `undefined` if it has none. */
export function configVersionOf(vm: LabVm): number | undefined {
  return (vm.gateway.dump().beliefs as { configVersion?: number })
    .configVersion;
}

/** The version in force on each VM of the lab. */
export function configVersions(lab: GatewayLab): (number | undefined)[] {
  return lab.vms.map(configVersionOf);
}

/** The version that operators wrote last, for each VM of the lab. */
export function newestVersions(lab: GatewayLab): number[] {
  return lab.vms.map(() => lab.configVersion);
}

/** Waits until VMs have in force what operators wrote last, or `mostMs` are over. */
export async function waitForConfig(
  lab: GatewayLab,
  vms: readonly LabVm[],
  mostMs: number,
): Promise<void> {
  const endMs = performance.now() + mostMs;
  await waitUntil(() =>
    performance.now() > endMs ||
    vms.every((vm) => configVersionOf(vm) === lab.configVersion)
  );
}
