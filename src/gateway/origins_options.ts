/**
 * What a VM's origins of streams need.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import type { Fleet, Route } from "../routing/mod.ts";
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
  /** The routes of the configuration in force; `undefined` until one is known. */
  readonly routes: () => readonly Route[] | undefined;
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
  /** Asks the store for the entries and the configuration; see {@link EntryRefreshOptions.refresh}. */
  readonly refreshEntries: () => Promise<boolean>;
}

/** A stream whose upstream is asked which of its processes began it. */
export interface UnprovenStream {
  /** Resolves when its origin is noted. */
  readonly noted: Promise<void>;
  /** Whether another VM relayed it here, which waits longer. */
  readonly isRelayed: boolean;
}
