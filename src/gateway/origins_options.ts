/**
 * What a VM's origins of streams need.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import type { Fleet } from "../routing/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  readonly self: {
    readonly ip: string;
    readonly region: string;
    /** Distinguishes this process from all others, also from those of the same VM. */
    readonly processId: string;
  };
  readonly datagrams: Pick<Datagrams, "on" | "send">;
  readonly members: Pick<
    Members,
    | "isLead"
    | "order"
    | "vmCount"
    | "sharerCount"
    | "vmsForCallers"
    | "otherRegions"
  >;
  readonly fleet: Pick<Fleet, "services" | "versionsOf">;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  /** See {@link StoredOriginsOptions.writesPerS}. */
  readonly storeWritesPerS: number;
  /** See {@link EntryRefreshOptions.readsPerS}. */
  readonly storeReadsPerS: number;
  /** See {@link VersionWatchOptions.isFirstStart}. */
  readonly isFirstStart: boolean;
  readonly metrics: GatewayMetrics;
  /** Time since this VM's copy of the upstreams' entries was last known to be the store's. */
  readonly entriesAgeMs: () => number;
  /** Asks the store for the entries; see {@link EntryRefreshOptions.refresh}. */
  readonly refreshEntries: () => Promise<boolean>;
}
