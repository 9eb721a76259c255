/**
 * The settings of a run's gateways.
 *
 * @module
 */

import type { GatewaySettings } from "../src/gateway/mod.ts";
import { MEMORY_MB } from "../test/deployed.ts";
import { BUDGET } from "./judge_budget.ts";

/** Ports of a VM; all VMs use the same ports, as on the platform. */
export const PORTS = {
  callers: 18100,
  ready: 18101,
  directory: 18102,
  peers: 18103,
  beats: 18104,
  metrics: 18105,
};
const LEASE_MS = 1_000;

/** The regions; each has one failure domain. */
export const REGIONS = ["north", "south"] as const;
/** Returns the name of a region's only failure domain. */
export function getFailureDomain(region: string): string {
  return `${region}-a`;
}

/** What is different for each VM. */
export interface VmSettings {
  readonly index: number;
  readonly region: string;
  /** Where others reach it. */
  readonly proxyIp: string;
  /** Where it listens. */
  readonly vmIp: string;
  readonly storePort: number;
  /** Addresses of VMs that run already. */
  readonly seeds: readonly string[];
  readonly graceMs: number;
}

/** Makes the settings of a gateway that starts for the first time. */
export function makeSettings(vm: VmSettings): GatewaySettings {
  const { index, region, proxyIp, vmIp, storePort, seeds, graceMs } = vm;
  return {
    vm: {
      id: `vm-${index}`,
      ip: proxyIp,
      region,
      failureDomain: getFailureDomain(region),
      memoryMb: MEMORY_MB,
      mostDescriptors: 4_000,
      coreShare: 1,
      coreSpeed: 1,
    },
    listen: {
      callers: `${vmIp}:${PORTS.callers}`,
      ready: `${vmIp}:${PORTS.ready}`,
      directory: `${vmIp}:${PORTS.directory}`,
      peers: `${vmIp}:${PORTS.peers}`,
      beats: PORTS.beats,
      metrics: PORTS.metrics,
    },
    firstStart: true,
    seeds: [...seeds],
    failureDomains: Object.fromEntries(
      REGIONS.map((name) => [getFailureDomain(name), name]),
    ),
    store: { address: `${vmIp}:${storePort}`, leastLeaseMs: LEASE_MS },
    bounds: {
      graceMs,
      contactMs: 6_000,
      repeatRatio: BUDGET.ratio,
      repeatSlack: BUDGET.slack,
      repeatWindowMs: BUDGET.windowMs,
      quotaExcess: 0.1,
      quotaSlack: 1_000,
      quotaWindowMs: 8_000,
    },
  };
}
