/**
 * Finds out which version began a stream that this VM doesn't know: from other VMs, from what all VMs stored, or because
 * there was only one version.
 *
 * @module
 */

import { type FoundOrigin, type OriginPeers, vmsToAsk } from "../region/mod.ts";
import type { OriginQuestions } from "./origin_questions.ts";
import type { StoredOrigins } from "./stored_origins.ts";
import type { VersionWatch } from "./version_watch.ts";

/** A version may have come since this VM's copy of the entries was last known to be the store's. */
const FRESH_ENTRIES_MS = 2_000;
/** How long a stream waits for the versions recorded in the store: a round trip to another region and some more. */
const RECORD_TIMEOUT_MS = 500;

/** What is known of the origin of a stream that a caller takes up again. */
export type OriginAnswer = FoundOrigin | UnknownOrigin;

/** What is known instead of an origin. */
export interface UnknownOrigin {
  readonly type: "unknown";
  /** The versions of the service that may have begun it. */
  readonly seen: readonly string[];
  /** Whether there may be others: neither this VM nor one that it asked can know all that served lately. */
  readonly isIncomplete: boolean;
  /** How long this VM has watched the versions of upstreams. */
  readonly watchedMs: number;
  /** How many other VMs told what they have seen. */
  readonly replies: number;
}

/** Options of {@link OriginSearch}. */
export interface OriginSearchOptions {
  readonly versions: VersionWatch;
  readonly questions: OriginQuestions;
  readonly stored: StoredOrigins;
  readonly peers: () => OriginPeers;
  /** Time since this VM's copy of the upstreams' entries was last known to be the store's. */
  readonly entriesAgeMs: () => number;
}

/** Searches for origins. */
export class OriginSearch {
  readonly #options: OriginSearchOptions;

  constructor(options: OriginSearchOptions) {
    this.#options = options;
  }

  /** Finds the version that began a stream of a service, by the stream's key. */
  async run(key: string, service: string): Promise<OriginAnswer> {
    const { versions, questions, stored, peers } = this.#options;
    // Also where one version serves: the upstream may have been replaced by one that only the VM with the stream knows of.
    const answer = await questions.askInTurn(
      { service, key },
      vmsToAsk(peers()),
    );
    if (answer.type !== "unknown") return answer;
    const { seen, replies, sureReplies } = answer;
    const isKnownThere = sureReplies > 0;
    if (!isKnownThere) await versions.waitForRecord(RECORD_TIMEOUT_MS);
    const unknown = this.#describe(service, seen, replies, isKnownThere);
    const isOnlyVersion = unknown.seen.length < 2 && !unknown.isIncomplete;
    return isOnlyVersion ? unknown : await stored.find(key) ?? unknown;
  }

  /** Whether this VM knows all versions that served lately, up to now. */
  get isSure(): boolean {
    const { entriesAgeMs, versions } = this.#options;
    return entriesAgeMs() < FRESH_ENTRIES_MS && versions.knowsAll;
  }

  #describe(
    service: string,
    seenElsewhere: readonly string[],
    replies: number,
    isKnownThere: boolean,
  ): UnknownOrigin {
    const { versions } = this.#options;
    const seenHere = versions.recent(service);
    return {
      type: "unknown",
      seen: [...new Set([...seenHere, ...seenElsewhere])],
      isIncomplete: !isKnownThere && !this.isSure,
      watchedMs: versions.watchedMs,
      replies,
    };
  }
}
