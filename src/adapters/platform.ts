/**
 * Interfaces of the platform's services other than the key-value store: the rate-limited weight store, the directory
 * that callers read, and the VM list, which may be stale.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_client.ts";

/** An entry of the platform's VM list. */
export interface ListedVm {
  readonly id: string;
  readonly region: string;
  readonly failureDomain: string;
  /** `host:port` of the VM's listener for other VMs. */
  readonly peerAddress: string;
  readonly state: "live" | "leaving";
}

/** The platform's VM list. It may be stale: a listed VM may be gone, and a new VM may be missing. */
export abstract class VmList {
  abstract list(): Promise<Result<readonly ListedVm[], PlatformError>>;
  abstract close(): Promise<void>;
}

/** Weights of a region's upstreams by upstream id; each weight is between 0 and 1. */
export type Weights = Readonly<Record<string, number>>;

/** The platform's weight store. It answers `limited` when its rate limit is exceeded. */
export abstract class WeightStore {
  /** Replaces the weights of one service in one region. */
  abstract publish(
    service: string,
    region: string,
    weights: Weights,
  ): Promise<Result<void, PlatformError>>;
  abstract close(): Promise<void>;
}

/** A VM that callers may send requests to. */
export interface DirectoryEntry {
  readonly vmId: string;
  readonly url: string;
  readonly weight: number;
}

/** The directory from which callers get the VMs that they connect to first. */
export abstract class CallerDirectory {
  /** Replaces the entries of one region. */
  abstract publish(
    region: string,
    entries: readonly DirectoryEntry[],
  ): Promise<Result<void, PlatformError>>;
  abstract close(): Promise<void>;
}
