/**
 * Finds out which version began a stream that this VM doesn't know: from other VMs, from what all VMs stored, or because
 * there was only one version.
 *
 * @module
 */

import {
  type FoundOrigin,
  ORIGIN_TTL_MS,
  type OriginPeers,
  vmsToAsk,
} from "../region/mod.ts";
import type { EntryRefresh } from "./entry_refresh.ts";
import type { OriginQuestions, UnknownResult } from "./origin_questions.ts";
import type { StoredOrigins } from "./stored_origins.ts";
import type { VersionWatch } from "./version_watch.ts";

/** A version may have come since this VM's copy of the entries was last known to be the store's. */
const FRESH_ENTRIES_MS = 2_000;
/** How long a stream waits for what the store tells: a round trip to another region and some more. */
const STORE_TIMEOUT_MS = 500;

/** What is known of the origin of a stream that a caller takes up again. */
export type OriginAnswer = FoundOrigin | UnknownOrigin;

/** What is known instead of an origin. */
export interface UnknownOrigin {
  readonly type: "unknown";
  /** The versions of the service that may have begun it. */
  readonly seen: readonly string[];
  /** Whether its route may have had other targets when it began. */
  readonly hasMoved: boolean;
  /**
   * Whether there may be others: neither this VM nor one that it asked can know all that served lately, or this VM can't
   * tell which have come since.
   */
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
  readonly entries: EntryRefresh;
  /** Time since this VM's copy of the upstreams' entries was last known to be the store's. */
  readonly entriesAgeMs: () => number;
}

/** Searches for origins. */
export class OriginSearch {
  readonly #options: OriginSearchOptions;

  constructor(options: OriginSearchOptions) {
    this.#options = options;
  }

  /** Finds the version that began a stream of a service, by the stream's key. `route` is the name of its route. */
  async run(
    key: string,
    service: string,
    route: string | undefined,
  ): Promise<OriginAnswer> {
    const { versions, questions, stored, peers } = this.#options;
    // Also where one version serves: the upstream may have been replaced by one that only the VM with the stream knows of.
    const answer = await questions.askInTurn(
      { service, route, key },
      vmsToAsk(peers()),
    );
    if (answer.type !== "unknown") return answer;
    const isKnownThere = answer.sureReplies > 0;
    if (!isKnownThere) await versions.waitForRecord(STORE_TIMEOUT_MS);
    const unknown = await this.#describe(
      service,
      route,
      answer,
      isKnownThere,
    );
    // A version may have come and gone with all VMs before one of them could record it.
    const isOnlyVersion = unknown.seen.length < 2 && !unknown.hasMoved &&
      !unknown.isIncomplete &&
      versions.watchedMs >= ORIGIN_TTL_MS;
    return isOnlyVersion ? unknown : await stored.find(key) ?? unknown;
  }

  /** Whether this VM knows all versions that served lately, up to now. */
  get isSure(): boolean {
    const { entriesAgeMs, versions } = this.#options;
    return entriesAgeMs() < FRESH_ENTRIES_MS && versions.knowsAll;
  }

  async #describe(
    service: string,
    route: string | undefined,
    { seen: seenElsewhere, seenTargets, replies }: UnknownResult,
    isKnownThere: boolean,
  ): Promise<UnknownOrigin> {
    const { versions, entries } = this.#options;
    const listSeen = () => [
      ...new Set([...versions.recent(service), ...seenElsewhere]),
    ];
    // A version may have come a moment ago, and the VMs that know of it may be out of reach.
    const isCurrent = listSeen().length > 1 ||
      await entries.run(STORE_TIMEOUT_MS);
    const targets = route === undefined ? [] : versions.recent(route);
    return {
      type: "unknown",
      seen: listSeen(),
      hasMoved: new Set([...targets, ...seenTargets]).size > 1,
      isIncomplete: !isCurrent || !(isKnownThere || versions.knowsAll),
      watchedMs: versions.watchedMs,
      replies,
    };
  }
}
