/**
 * The suspects in the store, which outlast the VMs.
 *
 * @module
 */

/** A suspect as it is stored. */
export interface StoredSuspect {
  /** The trait that is suspected. */
  readonly digest: string;
  /** The upstreams that crashed under it, as the rows of the history name them. */
  readonly upstreams: readonly string[];
}

/** What a VM knows of a suspect as it stores it. */
export interface SuspectUpdate extends StoredSuspect {
  /** Upstreams whose crashes do not count any more. */
  readonly past: readonly string[];
}

/** The suspects in the store. Failed operations are not retried here, but by the tracker. */
export abstract class SuspectRecords {
  /** Lists all suspects in the store; `undefined` if the store did not answer. */
  abstract list(): Promise<readonly StoredSuspect[] | undefined>;
  /**
   * Stores a suspect, so that it survives a restart of all VMs. Crashes that other VMs stored are kept, except for past
   * ones. Resolves to whether it is stored.
   */
  abstract put(suspect: SuspectUpdate): Promise<boolean>;
  /**
   * Acquires the permission to run a suspect once more, which one VM has at a time. Resolves to `false` also if the
   * store is unavailable.
   */
  abstract acquireTrial(digest: string): Promise<boolean>;
  /** Gives the permission back before it lapses. */
  abstract releaseTrial(digest: string): Promise<void>;
  /** Deletes a suspect and its trial. Resolves to whether they are deleted. */
  abstract delete(digest: string): Promise<boolean>;
}
