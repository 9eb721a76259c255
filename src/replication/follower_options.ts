/**
 * What a follower of the store's keys needs.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  Entry,
  Listing,
  StoreError,
  StorePurpose,
  WatchEvent,
} from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import type { ReplicaOptions } from "./replica.ts";

/** The calls to the store that a follower makes. */
export interface FollowedStore {
  list(
    prefix: string,
    options: Record<string, never>,
    purpose: StorePurpose,
  ): Promise<Result<Listing, StoreError>>;
  changes(
    prefix: string,
    afterRev: number,
    waitMs: number,
    purpose: StorePurpose,
  ): Promise<
    Result<
      {
        readonly events: readonly WatchEvent[];
        readonly rev: number;
        readonly generation?: number | undefined;
      },
      { readonly kind: string; readonly message: string }
    >
  >;
}

/** Options of {@link Follower}. */
export interface FollowerOptions extends ReplicaOptions {
  readonly store: FollowedStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Log;
  /** How long one poll for changes waits at the store. */
  readonly waitMs: number;
  /** Pause after a poll, so that many small changes are taken together and cost one call. */
  readonly pauseMs: number;
  /** Other VMs regard this one as cut off from the store if its last answer is older than this. */
  readonly maxAnswerAgeMs: number;
  /** Whether this VM polls the store now; otherwise it relies on other VMs' news. */
  readonly isReader: () => boolean;
  /** Returns the part of a store entry that is kept and sent to other VMs. */
  readonly redact?: (entry: Entry) => Entry;
  /** Called when a VM that the store answers announces the same copy. */
  readonly onAgreed?: () => void;
}
