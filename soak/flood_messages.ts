/**
 * What a run and its process of floods say to each other.
 *
 * @module
 */

import type { Flood } from "./floods.ts";
import type { Endpoint } from "./proxy.ts";

/** An upstream of the process of floods. */
export interface FloodUpstreamPlace extends Endpoint {
  readonly id: string;
}

/** Asks for a flood. */
export interface FloodOrder {
  readonly name: string;
  readonly flood: Flood;
  /** The VMs that its callers use one after the other. */
  readonly vms: readonly Endpoint[];
  readonly forMs: number;
}

/** What a flood did, once it is over. */
export interface FloodReport {
  readonly name: string;
  /** Connections that VMs accepted. */
  readonly connections: number;
  /** Bytes of its callers. */
  readonly sentBytes: number;
  readonly readBytes: number;
}

/** Said by the process of floods: its upstreams listen, or a flood is over. */
export type FloodNotice = "listening" | FloodReport;
