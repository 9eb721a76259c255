/**
 * Selects the VMs that the directory names to callers.
 *
 * @module
 */

/** A VM that the directory can list. */
export interface DirectoryVm {
  readonly ip: string;
  readonly region: string;
  /** Whether the VM accepts requests and is not draining. */
  readonly isReady: boolean;
  /** How long a draining VM still serves requests; 0 if it is not draining. */
  readonly servesMs: number;
}

/**
 * Callers cache an answer of the directory for one second, some for three. A request that they send at the end of that
 * time must still be able to finish.
 */
const MIN_SERVES_MS = 3_000;

/**
 * Selects the VMs that callers of a region should use. These are VMs of the same region, since bodies that are bound to
 * a home region may not pass through others. While all VMs of the region are draining, one after another, only the VM
 * that serves longest is listed. VMs of other regions are listed only if no VM of the region serves long enough.
 */
export function selectVms<V extends DirectoryVm>(
  vms: readonly V[],
  region: string,
): V[] {
  const inRegion = vms.filter((vm) => vm.region === region);
  const ready = inRegion.filter(({ isReady }) => isReady);
  if (ready.length > 0) return ready;
  const draining = inRegion.filter(({ servesMs }) => servesMs >= MIN_SERVES_MS)
    .sort((a, b) => b.servesMs - a.servesMs);
  if (draining.length > 0) return draining.slice(0, 1);
  return vms.filter(({ isReady }) => isReady);
}
