/**
 * Which VMs callers are told to use.
 *
 * @module
 */

/** A VM as the directory sees it. */
export interface DirectoryVm {
  readonly ip: string;
  readonly region: string;
  /** Whether it takes requests and is not being stopped. */
  readonly isReady: boolean;
  /** While it is being stopped: how long it still serves; else 0. */
  readonly servesMs: number;
}

/** Callers keep an answer for a second, some for three; a request that they send then must still end. */
const MIN_SERVES_MS = 3_000;

/**
 * The VMs that callers of a region should use: those of the region, since bodies bound to a home may not pass through
 * others. While all of them are being stopped in turn, the one that serves longest is named before another region's; those
 * come only when nobody of the region is there.
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
