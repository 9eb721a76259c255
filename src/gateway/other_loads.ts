/**
 * The load of the region's other VMs at each upstream.
 *
 * @module
 */

import type {
  LeadRecord,
  Load,
  LoadTracker,
  Report,
  Roster,
  UpstreamLoad,
} from "../region/mod.ts";

/** What is known of the load of the region's VMs. */
export interface RegionLoads {
  readonly hearsAll: boolean;
  readonly isLead: boolean;
  readonly leads: readonly LeadRecord[];
  readonly loads: LoadTracker;
  readonly announcedLoad: Load;
  /** Number of VMs in the region, silent ones included. */
  readonly regionVmCount: number;
  reporters(): readonly Report[];
  roster(): Roster | undefined;
}

/** How long the roster and the list of VMs are cached; a request reads them several times for each upstream. */
const REFRESH_MS = 25;
/** A VM that has just started may not have heard the others yet. */
const SETTLE_MS = 1_300;
const NO_LOAD: UpstreamLoad = [0, 0];

/** The load of the other VMs. A lead adds up the reports that it receives; other VMs use the latest roster. */
export class OtherLoads {
  readonly #region: RegionLoads;
  readonly #selfId: string;
  #rosterLoad: Load | undefined;
  #coldVmIds: readonly string[] = [];
  #rosterReadMonoMs = -Infinity;
  #coldVmsReadMonoMs = -Infinity;
  #startMonoMs: number | undefined;

  constructor(region: RegionLoads, selfId: string) {
    this.#region = region;
    this.#selfId = selfId;
  }

  /** Returns the load of the other VMs at an upstream. */
  loadAt(upstreamKey: string, nowMs: number): UpstreamLoad {
    this.#readRoster(nowMs);
    if (!this.#rosterLoad) return this.#region.loads.at(upstreamKey);
    const [running, waitingTokens] = this.#rosterLoad[upstreamKey] ?? NO_LOAD;
    const [own, ownTokens] = this.#region.announcedLoad[upstreamKey] ?? NO_LOAD;
    return [Math.max(0, running - own), Math.max(0, waitingTokens - ownTokens)];
  }

  /**
   * Returns the VMs among which the owner of a cold upstream's rate is chosen: the first lead, which places the
   * requests of all VMs, or every VM where each places its own. There is none for a VM that hears no other though there
   * may be some: each of those would take itself for the owner.
   */
  coldVmIds(nowMs: number): readonly string[] {
    this.#readColdVms(nowMs);
    return this.#coldVmIds;
  }

  /** Notes that there is a newer roster. */
  forgetRoster(): void {
    this.#rosterReadMonoMs = -Infinity;
  }

  #readRoster(nowMs: number): void {
    if (nowMs - this.#rosterReadMonoMs < REFRESH_MS) return;
    this.#rosterReadMonoMs = nowMs;
    const { isLead } = this.#region;
    this.#rosterLoad = isLead ? undefined : this.#region.roster()?.load;
  }

  /** Needed only to place requests; it goes through all VMs, and a stream's chunks need the roster alone. */
  #readColdVms(nowMs: number): void {
    if (nowMs - this.#coldVmsReadMonoMs < REFRESH_MS) return;
    this.#coldVmsReadMonoMs = nowMs;
    const { hearsAll, leads } = this.#region;
    const all = hearsAll
      ? [this.#selfId, ...this.#region.reporters().map(({ id }) => id)]
      : leads.slice(0, 1).map(({ id }) => id);
    const ids = this.#mayMissOthers(nowMs) ? [] : all;
    if (ids.join() !== this.#coldVmIds.join()) this.#coldVmIds = ids;
  }

  #mayMissOthers(nowMs: number): boolean {
    this.#startMonoMs ??= nowMs;
    const { regionVmCount } = this.#region;
    const isHeard = this.#region.reporters().length > 0 ||
      this.#region.roster() !== undefined;
    if (isHeard) return false;
    return regionVmCount > 1 || nowMs - this.#startMonoMs < SETTLE_MS;
  }
}
