/**
 * The platform's other services as ibisgap sees them: the rate-limited weight store, the callers' directory and the
 * lagging list of VMs.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_client.ts";

/** A VM as the platform lists it. */
export interface ListedVm {
  readonly id: string;
  readonly region: string;
  readonly failureDomain: string;
  /** `host:port` of its listener for other VMs. */
  readonly peerAddress: string;
  readonly state: "live" | "leaving";
}

/** The platform's list of VMs. It lags: a VM may have gone, and a new one may be missing. */
export abstract class VmList {
  abstract list(): Promise<Result<readonly ListedVm[], PlatformError>>;
  abstract close(): Promise<void>;
}

/** Weights of a region's upstreams, 0 to 1 each, by upstream id. */
export type Weights = Readonly<Record<string, number>>;

/** The platform's weight store. It refuses with `limited` beyond its rate. */
export abstract class WeightStore {
  /** Replaces the weights of one service in one region. */
  abstract publish(
    service: string,
    region: string,
    weights: Weights,
  ): Promise<Result<void, PlatformError>>;
  abstract close(): Promise<void>;
}

/** An entry VM that callers may use. */
export interface DirectoryEntry {
  readonly vmId: string;
  readonly url: string;
  readonly weight: number;
}

/** The directory from which callers learn their first entry VMs. */
export abstract class CallerDirectory {
  /** Replaces the entries of one region. */
  abstract publish(
    region: string,
    entries: readonly DirectoryEntry[],
  ): Promise<Result<void, PlatformError>>;
  abstract close(): Promise<void>;
}
