/**
 * The upstreams as this VM uses them: what their entries say, and what stays in force while the store is not to be
 * believed.
 *
 * @module
 */

import type { Entry } from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";
import { decodeUpstream, decodeUpstreamId } from "../platform/mod.ts";
import type { Fleet, UpstreamRecord } from "../routing/mod.ts";
import { KeptEntries } from "./kept_entries.ts";
import type { ChangeCause } from "./replica.ts";
import { coldStepOf, leastColdMs } from "./upstream_content.ts";

/**
 * How long lapsed entries stay in use after the end of a store outage. Upstreams write them again within 2 s; without
 * the grace time no upstream at all would be left for a second after each outage.
 */
const LAPSED_GRACE_MS = 2_300;

/**
 * How long after the end of an evacuation a VM may still not know what the upstreams wrote since: they write every 1.2 s,
 * readers poll about every 1.3 s, and those whose copies agree with a reader's rely on an answer that is up to 1.2 s old.
 */
const MAX_NEWS_AGE_MS = 4_000;

/** When the store's entries were not to be believed, on the monotonic clock; `-Infinity` if never. */
export interface StoreTroubles {
  /** When the store answered again after failures. */
  readonly recoveredMonoMs: number;
  /** When the store came back from an older copy. */
  readonly restoredMonoMs: number;
}

/** Options of {@link UpstreamView}. */
export interface UpstreamViewOptions {
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly log: Log;
  readonly troubles: () => StoreTroubles;
  /** The entries that the store holds. */
  readonly entries: () => readonly Entry[];
  /** How long the upstreams of a service are cold after a start, in ms. */
  readonly coldMsOf: (service: string) => number;
}

/** Applies the entries of upstreams to the fleet. */
export class UpstreamView {
  readonly #options: UpstreamViewOptions;
  /** The least time for which upstreams are cold by their entries, by id. */
  readonly #leastColdMs = new Map<string, number>();
  /** The revisions at which evacuations of failure domains had ended, and when this VM learned of it. */
  readonly #takenBack = new Map<
    string,
    { readonly rev: number; readonly learnedMonoMs: number }
  >();
  /** Upstreams whose entry is gone but may come back, with the time until which they are kept. */
  readonly #lapsed = new Map<string, number>();
  /** By the keys of upstreams, which tell one start from the next. */
  readonly #kept = new KeptEntries();

  constructor(options: UpstreamViewOptions) {
    this.#options = options;
  }

  /** Applies an entry. */
  put(entry: Entry, cause: ChangeCause): void {
    const { fleet, log } = this.#options;
    const id = decodeUpstreamId(entry.key);
    this.#lapsed.delete(id);
    try {
      const record = decodeUpstream(id, entry.value);
      if (!this.#counts(record, cause)) return;
      const before = fleet.get(id);
      this.#use(record, entry.rev, cause);
      // An older entry may not say yet that the upstream is cold.
      if (cause === "restored" && before?.key === record.key) {
        fleet.keepCold(id, before.coldUntilMs);
      }
    } catch (error) {
      fleet.delete(id);
      log.warn("upstream entry unreadable", {
        upstream: id,
        rev: entry.rev,
        reason: String(error),
      });
    }
  }

  /** Applies the end of an entry. */
  delete(key: string, cause: ChangeCause): void {
    const { fleet, clock, troubles } = this.#options;
    const { recoveredMonoMs, restoredMonoMs } = troubles();
    const nowMs = clock.monoMs();
    const id = decodeUpstreamId(key);
    const held = fleet.get(id);
    const isKept = cause === "restored" && held !== undefined &&
      this.#kept.noteLost(held.key, restoredMonoMs, nowMs);
    if (isKept) return;
    // A draining upstream whose entry is gone has stopped; only a ready one may have lapsed.
    if (
      nowMs - recoveredMonoMs < LAPSED_GRACE_MS && held?.state === "ready"
    ) {
      this.#lapsed.set(id, recoveredMonoMs + LAPSED_GRACE_MS);
      return;
    }
    this.#remove(id, "entry gone");
  }

  /** Applies all entries again, as the regions of their failure domains may have changed. */
  reapply(): void {
    for (const entry of this.#options.entries()) {
      const id = decodeUpstreamId(entry.key);
      try {
        const record = decodeUpstream(id, entry.value);
        if (!this.#kept.isReturned(record.key)) {
          this.#use(record, entry.rev, "written");
        }
      } catch {
        // It was logged when it came.
      }
    }
  }

  /**
   * Keeps upstreams cold whose entries still say so. Entries whose cold time stands still or grows within a step are not
   * sent again.
   */
  keepCold(): void {
    const { fleet, clock } = this.#options;
    const nowMs = clock.monoMs();
    for (const [id, leastMs] of this.#leastColdMs) {
      if (leastMs > 0) fleet.keepCold(id, nowMs + leastMs);
    }
  }

  /**
   * Notes that a failure domain's evacuation had ended at a revision. Its upstreams may have become cold meanwhile, and
   * the end may be known here before their entries are read again: entries from before it don't count as warm.
   */
  noteTakenBack(failureDomain: string, rev: number): void {
    const { fleet, clock, entries } = this.#options;
    this.#takenBack.set(failureDomain, { rev, learnedMonoMs: clock.monoMs() });
    for (const entry of entries()) {
      const known = fleet.get(decodeUpstreamId(entry.key));
      if (known) this.#keepColdUnlessNew(known, entry.rev);
    }
  }

  /** Ends what was kept for long enough. */
  sweep(): void {
    const { fleet, clock, entries } = this.#options;
    const nowMs = clock.monoMs();
    fleet.forgetLeft(nowMs);
    for (const [id, untilMs] of this.#lapsed) {
      if (nowMs < untilMs) continue;
      this.#lapsed.delete(id);
      this.#remove(id, "entry lapsed in a store outage and did not return");
    }
    const { lost, returned } = this.#kept.takeDue(nowMs);
    for (const key of lost) {
      if (fleet.get(idOf(key))?.key !== key) continue;
      this.#remove(idOf(key), "entry lost by the store and not written again");
    }
    const returnedIds = new Set(returned.map(idOf));
    for (const entry of returnedIds.size > 0 ? entries() : []) {
      if (returnedIds.has(decodeUpstreamId(entry.key))) {
        this.put(entry, "written");
      }
    }
  }

  dump(): unknown {
    return this.#kept.dump();
  }

  /** Whether an entry counts: one that was deleted, and that the store has again since it came back, does not yet. */
  #counts({ key }: UpstreamRecord, cause: ChangeCause): boolean {
    if (cause === "restored") {
      const { clock, troubles } = this.#options;
      const { restoredMonoMs } = troubles();
      return this.#kept.noteReturned(key, restoredMonoMs, clock.monoMs());
    }
    this.#kept.noteWritten(key);
    return true;
  }

  /**
   * Keeps an upstream cold whose entry is older than the end of its failure domain's evacuation, until a newer one comes.
   * If none does, it has been warm for as long as it could have been cold, or the entry was written again unchanged.
   */
  #keepColdUnlessNew(
    { id, service, failureDomain }: UpstreamRecord,
    rev: number,
  ): void {
    const end = this.#takenBack.get(failureDomain);
    if (!end || rev > end.rev) return;
    const { fleet, coldMsOf } = this.#options;
    const keptMs = Math.max(coldMsOf(service), MAX_NEWS_AGE_MS);
    fleet.keepCold(id, end.learnedMonoMs + keptMs);
  }

  #use(record: UpstreamRecord, rev: number, cause: ChangeCause): void {
    const { fleet, clock, log } = this.#options;
    const nowMs = clock.monoMs();
    const before = fleet.put(record, nowMs);
    // What a store that came back from an older copy holds may be older than its revision tells.
    this.#keepColdUnlessNew(record, cause === "restored" ? 0 : rev);
    this.#leastColdMs.set(
      record.id,
      leastColdMs(coldStepOf(record.coldLeftMs)),
    );
    // The store may come back with an older entry that says "ready".
    if (record.state === "draining") fleet.noteLeaving(record.key, nowMs);
    if (before && before.key !== record.key) {
      this.#kept.noteDeleted(before.key, nowMs);
    }
    const isKnown = before?.key === record.key &&
      before.state === record.state && before.version === record.version;
    if (isKnown) return;
    log.info("upstream known", {
      upstream: record.key,
      service: record.service,
      failureDomain: record.failureDomain,
      state: record.state,
      version: record.version,
      coldLeftMs: record.coldLeftMs,
      rev,
    });
  }

  #remove(id: string, reason: string): void {
    const { fleet, clock, log } = this.#options;
    const before = fleet.delete(id);
    this.#leastColdMs.delete(id);
    if (!before) return;
    this.#kept.noteDeleted(before.key, clock.monoMs());
    log.info("upstream gone", {
      upstream: before.key,
      service: before.service,
      reason,
    });
  }
}

/** The id of the upstream with this {@link UpstreamRecord.key}. */
function idOf(key: string): string {
  return key.slice(0, key.lastIndexOf("@"));
}
