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
  reporters(): readonly Report[];
  roster(): Roster | undefined;
}

/** How long the roster and the list of VMs are cached; a request reads them several times for each upstream. */
const REFRESH_MS = 25;
const NO_LOAD: UpstreamLoad = [0, 0];

/** The load of the other VMs. A lead adds up the reports that it receives; other VMs use the latest roster. */
export class OtherLoads {
  readonly #region: RegionLoads;
  readonly #selfId: string;
  #rosterLoad: Load | undefined;
  #coldVmIds: readonly string[] = [];
  #refreshedMonoMs = -Infinity;

  constructor(region: RegionLoads, selfId: string) {
    this.#region = region;
    this.#selfId = selfId;
  }

  /** Returns the load of the other VMs at an upstream. */
  loadAt(upstreamKey: string, nowMs: number): UpstreamLoad {
    this.#refresh(nowMs);
    if (!this.#rosterLoad) return this.#region.loads.at(upstreamKey);
    const [running, waitingTokens] = this.#rosterLoad[upstreamKey] ?? NO_LOAD;
    const [own, ownTokens] = this.#region.announcedLoad[upstreamKey] ?? NO_LOAD;
    return [Math.max(0, running - own), Math.max(0, waitingTokens - ownTokens)];
  }

  /**
   * Returns the VMs among which the owner of a cold upstream's rate is chosen: the first lead, which places the
   * requests of all VMs, or every VM where each places its own.
   */
  coldVmIds(nowMs: number): readonly string[] {
    this.#refresh(nowMs);
    return this.#coldVmIds;
  }

  #refresh(nowMs: number): void {
    if (nowMs - this.#refreshedMonoMs < REFRESH_MS) return;
    this.#refreshedMonoMs = nowMs;
    const { hearsAll, isLead, leads } = this.#region;
    this.#rosterLoad = isLead ? undefined : this.#region.roster()?.load;
    const ids = hearsAll
      ? [this.#selfId, ...this.#region.reporters().map(({ id }) => id)]
      : leads.slice(0, 1).map(({ id }) => id);
    if (ids.join() !== this.#coldVmIds.join()) this.#coldVmIds = ids;
  }
}
