/**
 * The latest rosters of a region's leads, and which of the leads still count as heard.
 *
 * @module
 */

import {
  compareReplicaStates,
  type LeadRecord,
  type NamedList,
  type ReplicaState,
  type Roster,
} from "./messages.ts";
import type { VmRecord } from "./record.ts";

/**
 * A lead is considered silent when no roster came for this long: two lost rosters in a row are tolerated, not three.
 */
export const ROSTER_TIMEOUT_MS = 1_300;
/** Intervals without a roster after which a lead is silent that another lead hears: two lost rosters are tolerated. */
const MISSED_ROSTERS = 2.6;

const NO_NAMES: NamedList = { ready: [], leaving: [] };

/** The latest roster of another VM of this region. */
export interface HeardRoster {
  readonly roster: Roster;
  /** The latest list of names from this VM; rosters without names carry none. */
  readonly named: NamedList;
  /** The latest lead order from this VM; rosters without names may carry none. */
  readonly leads: readonly LeadRecord[];
  readonly heardMs: number;
}

/** Keeps the latest roster of each lead. */
export class HeardRosters {
  readonly #byId = new Map<string, HeardRoster>();
  readonly #reports: (id: string, nowMs: number) => boolean;

  /** `reports` tells whether a VM is a lead and reports to this one, which shows that it is alive. */
  constructor(reports: (id: string, nowMs: number) => boolean) {
    this.#reports = reports;
  }

  /** Stores a roster that was heard at `heardMs`. */
  set(roster: Roster, heardMs: number): void {
    const { id } = roster.from;
    const before = this.#byId.get(id);
    this.#byId.set(id, {
      roster,
      named: roster.named ?? before?.named ?? NO_NAMES,
      leads: roster.leads.length > 0 ? roster.leads : before?.leads ?? [],
      heardMs,
    });
  }

  get(id: string): HeardRoster | undefined {
    return this.#byId.get(id);
  }

  /** All known rosters, including those of VMs that are silent by now. */
  get all(): HeardRoster[] {
    return [...this.#byId.values()];
  }

  /** The rosters of VMs that lead, or led until recently. */
  fresh(nowMs: number): HeardRoster[] {
    const fresh: HeardRoster[] = [];
    for (const heard of this.#byId.values()) {
      if (this.#isFresh(heard, nowMs)) fresh.push(heard);
    }
    return fresh;
  }

  /** The rosters of leads that are heard, in the lead order. */
  inOrder(order: readonly VmRecord[], nowMs: number): HeardRoster[] {
    return order.flatMap(({ id }) =>
      this.isFresh(id, nowMs) ? this.#byId.get(id)! : []
    );
  }

  /** The complete roster of the first lead that is heard and sends some; the latest of all if only partial ones come. */
  latestOf(order: readonly VmRecord[], nowMs: number): Roster | undefined {
    const heard = this.inOrder(order, nowMs)
      .find(({ roster }) => !roster.isPartial);
    if (heard) return heard.roster;
    return this.fresh(nowMs).length > 0
      ? this.#latestComplete?.roster
      : undefined;
  }

  /** The latest roster of lead `id`, if it came lately and is complete. */
  completeOf(id: string, nowMs: number): HeardRoster | undefined {
    const heard = this.#byId.get(id);
    return heard && !heard.roster.isPartial &&
        nowMs - heard.heardMs < ROSTER_TIMEOUT_MS
      ? heard
      : undefined;
  }

  /**
   * The rosters that were heard lately. What they say of the store still holds: a VM takes an equal copy of a lead that the
   * store answers as a sign that its own is the newest.
   */
  recent(nowMs: number): HeardRoster[] {
    return this.all.filter(({ heardMs }) =>
      nowMs - heardMs < ROSTER_TIMEOUT_MS
    );
  }

  /** Whether a lead counts as heard: its roster is recent, or another sign shows that it is alive. */
  isFresh(id: string, nowMs: number): boolean {
    const heard = this.#byId.get(id);
    return heard !== undefined && this.#isFresh(heard, nowMs);
  }

  /** How long ago a lead was certain that no configuration is newer than that of `copy`; `Infinity` if none was. */
  configAgeMs(copy: ReplicaState, nowMs: number): number {
    let least = Infinity;
    for (const { roster, heardMs } of this.#byId.values()) {
      const { configAgeMs, copies: { operators } } = roster;
      const isNewer = compareReplicaStates(operators, copy) > 0 &&
        operators.digest !== copy.digest;
      if (typeof configAgeMs !== "number" || isNewer) continue;
      least = Math.min(least, configAgeMs + nowMs - heardMs);
    }
    return least;
  }

  /** Forgets the VMs that were not heard for `ms`, and returns them. */
  dropSilent(ms: number, nowMs: number): VmRecord[] {
    const dropped: VmRecord[] = [];
    for (const [id, { roster, heardMs }] of this.#byId) {
      if (nowMs - heardMs < ms) continue;
      this.#byId.delete(id);
      dropped.push(roster.from);
    }
    return dropped;
  }

  /** Shifts all times by a pause of this process, since nothing could be heard during it. */
  skipPause(ms: number): void {
    for (const [id, heard] of this.#byId) {
      this.#byId.set(id, { ...heard, heardMs: heard.heardMs + ms });
    }
  }

  /** The latest complete roster; its lead may be silent by now. */
  get #latestComplete(): HeardRoster | undefined {
    let latest: HeardRoster | undefined;
    for (const heard of this.#byId.values()) {
      if (heard.roster.isPartial) continue;
      if (!latest || heard.heardMs > latest.heardMs) latest = heard;
    }
    return latest;
  }

  /**
   * Leads other than the first send rosters rarely. Between them the first lead tells that they are alive, as they report
   * to it; when it is silent, their own rosters decide alone, so that they are not waited for if they were lost with it.
   */
  #isFresh({ roster, heardMs }: HeardRoster, nowMs: number): boolean {
    const ageMs = nowMs - heardMs;
    if (ageMs < ROSTER_TIMEOUT_MS) return true;
    return ageMs < MISSED_ROSTERS * roster.everyMs &&
      this.#isAlive(roster.from.id, nowMs);
  }

  #isAlive(id: string, nowMs: number): boolean {
    if (this.#reports(id, nowMs)) return true;
    for (const { roster, heardMs } of this.#byId.values()) {
      if (
        nowMs - heardMs < ROSTER_TIMEOUT_MS &&
        roster.heardLeads?.includes(id)
      ) return true;
    }
    return false;
  }
}
