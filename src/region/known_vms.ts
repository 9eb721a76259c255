/**
 * The other VMs that this VM hears or has seen named in messages, with their latest messages.
 *
 * @module
 */

import type { DirectoryVm } from "../routing/mod.ts";
import { RemoteRegions } from "./remote_regions.ts";
import { type HeardRoster, HeardRosters } from "./heard_rosters.ts";
import {
  type LeadRecord,
  pickRosterState,
  type RegionDigest,
  type ReplicaStates,
  type Report,
  type Roster,
  type VmState,
} from "./messages.ts";
import { LEAD_COUNT, orderLeads, STANDBY_COUNT } from "./lead_order.ts";
import { toVmRecord, type VmRecord } from "./record.ts";

/**
 * Minimum silence after which a VM is considered gone: four missed reports, as the worst links lose 1 datagram in 40.
 */
const MIN_SILENT_MS = 1_000;
const MISSED_REPORTS = 4;
/** A silent VM may be running but cut off, so it is counted and searched for until this time has passed. */
const FORGET_MS = 15_000;
/** Longest time for which a message is on its way, over a congested link. */
const MAX_ON_ITS_WAY_MS = 1_000;
/** Maximum VMs remembered that are named in messages and not heard. A few suffice for cut halves of a region to rejoin. */
const MAX_UNHEARD_VMS = 256;

/** A VM that reports to this one. */
interface Reporter {
  readonly report: Report;
  readonly heardMs: number;
}

/** A VM that can be asked for changes of the store. */
export interface NewsSource {
  readonly id: string;
  readonly ip: string;
  readonly region: string;
  readonly copies: ReplicaStates;
  /** Whether it said that the store answers it. */
  readonly isServed: boolean;
  /** See {@link VmState.configVersion}. */
  readonly configVersion?: number;
  /** See {@link VmState.restoredAgoMs}. */
  readonly restoredAgoMs?: number;
  /** See {@link VmState.leavingUpstreams}; absent in other regions, whose upstreams this VM does not reach. */
  readonly leavingUpstreams?: readonly string[];
}

/**
 * Whether a message is one of an earlier process of its VM that was on its way for long. A VM whose clock was set back
 * seems to have started before itself: it is heard once the process with the later start is silent.
 */
function isLate(from: VmRecord, heard: VmRecord, heardAgoMs: number): boolean {
  return from.bornMs < heard.bornMs && heardAgoMs < MAX_ON_ITS_WAY_MS;
}

function isAlive({ report, heardMs }: Reporter, nowMs: number): boolean {
  const timeoutMs = Math.max(MIN_SILENT_MS, MISSED_REPORTS * report.everyMs);
  return nowMs - heardMs < timeoutMs;
}

/** Keeps what this VM heard of other VMs: reports, rosters and digests. */
export class KnownVms {
  readonly remote = new RemoteRegions();
  readonly #self: VmRecord;
  /** VMs that report to this one, of any region. */
  readonly #reporters = new Map<string, Reporter>();
  #localCount = 0;
  readonly #rosters: HeardRosters;
  /** The leads by the last order. */
  #leadIds: ReadonlySet<string> = new Set();
  /** VMs that are named in messages and not heard. */
  readonly #unheard = new Map<string, VmRecord>();

  constructor(self: VmRecord) {
    this.#self = self;
    this.#rosters = new HeardRosters((id, nowMs) =>
      this.#leadIds.has(id) && this.reports(id, nowMs)
    );
  }

  /** Stores a report. Returns the VM's previous report, or the report itself if it is from an earlier start of the VM. */
  noteReport(report: Report, nowMs: number): Report | undefined {
    const heard = this.#reporters.get(report.id);
    const before = heard?.report;
    if (heard && isLate(report, heard.report, nowMs - heard.heardMs)) {
      return report;
    }
    if (!before && report.region === this.#self.region) this.#localCount++;
    this.#reporters.set(report.id, { report, heardMs: nowMs });
    this.#unheard.delete(report.id);
    return before;
  }

  /** Stores a roster of this region. */
  noteRoster(roster: Roster, nowMs: number): void {
    const { from } = roster;
    const before = this.#rosters.get(from.id);
    if (before && isLate(from, before.roster.from, nowMs - before.heardMs)) {
      return;
    }
    this.#rosters.set(roster, nowMs);
    this.#unheard.delete(from.id);
    for (const lead of roster.leads) this.noteUnheard(lead);
    for (const digest of roster.regions) {
      this.remote.update(digest, nowMs - digest.ageMs);
    }
  }

  /** Stores a digest of another region. */
  noteDigest(digest: RegionDigest, nowMs: number): void {
    if (digest.from.region !== this.#self.region) {
      this.remote.update(digest, nowMs);
    }
    for (const vm of digest.yours ?? []) this.noteUnheard(vm);
  }

  /** Remembers a VM that is named in a message and may exist. */
  noteUnheard(vm: VmRecord): void {
    if (vm.id === this.#self.id) return;
    const known = this.#reporters.get(vm.id)?.report ??
      this.#rosters.get(vm.id)?.roster.from;
    if (known && known.bornMs >= vm.bornMs) return;
    this.#unheard.delete(vm.id);
    this.#unheard.set(vm.id, toVmRecord(vm));
    if (this.#unheard.size <= MAX_UNHEARD_VMS) return;
    const [oldest] = this.#unheard.keys();
    this.#unheard.delete(oldest);
  }

  get unheardVms(): VmRecord[] {
    return [...this.#unheard.values()];
  }

  /** VMs of a region that report to this one and are alive. */
  reporters(region: string, nowMs: number): Report[] {
    const alive: Report[] = [];
    for (const reporter of this.#reporters.values()) {
      const { report } = reporter;
      if (report.region === region && isAlive(reporter, nowMs)) {
        alive.push(report);
      }
    }
    return alive;
  }

  /** Whether a VM reports to this one and is alive. */
  reports(id: string, nowMs: number): boolean {
    const reporter = this.#reporters.get(id);
    return reporter !== undefined && isAlive(reporter, nowMs);
  }

  /** The rosters of VMs of this region that lead, or led until recently. */
  freshRosters(nowMs: number): HeardRoster[] {
    return this.#rosters.fresh(nowMs);
  }

  /** The latest rosters, including those of VMs that are silent by now. */
  get rosters(): HeardRosters {
    return this.#rosters;
  }

  /** Number of VMs of this region that report to this one, including itself and silent ones, which may only be cut off. */
  get reportingCount(): number {
    return 1 + this.#localCount;
  }

  /** Number of VMs of this region: the maximum that any lead knows. */
  get regionVmCount(): number {
    let max = this.reportingCount;
    for (const { roster } of this.#rosters.all) {
      max = Math.max(max, roster.vms);
    }
    return max;
  }

  /** VMs of this region that report to this one and can be named to callers. */
  namedHere(nowMs: number): DirectoryVm[] {
    const { region } = this.#self;
    return this.reporters(region, nowMs)
      .filter(({ ready, servesMs }) => ready || servesMs !== undefined)
      .map(({ ip, servesMs = 0 }) => ({
        ip,
        region,
        isReady: servesMs === 0,
        servesMs,
      }));
  }

  /** VMs of this region that any lead names as usable by callers, without this one. */
  named(nowMs: number): DirectoryVm[] {
    const { region, ip: selfIp } = this.#self;
    const byIp = new Map<string, DirectoryVm>();
    const add = (ip: string, servesMs: number) => {
      // A draining VM is named as draining even if another lead has not heard of it yet and names it as ready.
      if (ip === selfIp || (servesMs === 0 && byIp.has(ip))) return;
      byIp.set(ip, { ip, region, isReady: servesMs === 0, servesMs });
    };
    for (const { ip, servesMs } of this.namedHere(nowMs)) add(ip, servesMs);
    for (const { named, heardMs } of this.freshRosters(nowMs)) {
      for (const ip of named.ready) add(ip, 0);
      for (const [ip, servesMs] of named.leaving) {
        add(ip, Math.max(1, servesMs - (nowMs - heardMs)));
      }
    }
    return [...byIp.values()];
  }

  /**
   * The head of the region's lead order, computed from the VMs that report to this one, those in the leads' rosters, and
   * this VM. VMs in rosters for which `isSilent` holds are left out.
   */
  leadOrder(
    self: VmState,
    isSilent: (id: string) => boolean,
    nowMs: number,
  ): LeadRecord[] {
    const eligible = new Map<string, LeadRecord>();
    const lastResort = new Map<string, LeadRecord>();
    const add = (
      vm: VmRecord & Pick<VmState, "isServed">,
      mayLead: boolean,
    ) => {
      (mayLead ? lastResort : eligible).delete(vm.id);
      const { isServed } = vm;
      (mayLead ? eligible : lastResort).set(vm.id, {
        ...toVmRecord(vm),
        isServed,
        mayLead,
      });
    };
    const fresh = this.freshRosters(nowMs);
    // If no lead is heard, the standbys in the last rosters take over.
    for (const { leads } of fresh.length > 0 ? fresh : this.#rosters.all) {
      for (const lead of leads) {
        if (!isSilent(lead.id)) add(lead, lead.mayLead);
      }
    }
    for (const report of this.reporters(this.#self.region, nowMs)) {
      add(report, report.ready && report.servesMs === undefined);
    }
    add(
      { ...this.#self, isServed: self.isServed },
      self.ready && self.servesMs === undefined,
    );
    const order = [
      ...orderLeads([...eligible.values()]),
      ...orderLeads([...lastResort.values()]),
    ]
      .slice(0, LEAD_COUNT + STANDBY_COUNT);
    this.#leadIds = new Set(order.slice(0, LEAD_COUNT).map(({ id }) => id));
    return order;
  }

  /** The leads of another region, or those of its VMs that report here if it has not told its leads. */
  leadsOf(region: string, nowMs: number): readonly VmRecord[] {
    const leads = this.remote.leads(region);
    if (leads.length > 0) return leads;
    const reporting = this.reporters(region, nowMs).map(toVmRecord);
    return orderLeads(reporting).slice(0, LEAD_COUNT);
  }

  /** VMs that may have newer changes of the store than this one. */
  newsSources(nowMs: number): NewsSource[] {
    const local: NewsSource[] = this.reporters(this.#self.region, nowMs);
    const rosters = this.#rosters.recent(nowMs)
      .map(({ roster: { from, ...state }, heardMs }) => ({
        ...from,
        ...pickRosterState(state),
        restoredAgoMs: state.restoredAgoMs === undefined
          ? undefined
          : state.restoredAgoMs + nowMs - heardMs,
      }));
    const remote = this.remote.fresh(nowMs)
      .map(({ digest: { from, copies, configVersion, restoredAgoMs } }) => ({
        ...from,
        copies,
        configVersion,
        restoredAgoMs,
        isServed: false,
      }));
    return [...local, ...rosters, ...remote];
  }

  /** Drops VMs and regions that were not heard for a long time. */
  dropStale(nowMs: number): void {
    this.remote.dropStale(nowMs);
    for (const [id, { report, heardMs }] of this.#reporters) {
      if (nowMs - heardMs < FORGET_MS) continue;
      this.#reporters.delete(id);
      if (report.region === this.#self.region) this.#localCount--;
      // If the VM was only cut off, it is found again sooner this way than by the next reading of the store.
      this.noteUnheard(report);
    }
    for (const vm of this.#rosters.dropSilent(FORGET_MS, nowMs)) {
      this.noteUnheard(vm);
    }
  }

  /** Shifts all times by a pause of this process, since nothing could be heard during it. */
  skipPause(ms: number): void {
    this.remote.skipPause(ms);
    for (const [id, { report, heardMs }] of this.#reporters) {
      this.#reporters.set(id, { report, heardMs: heardMs + ms });
    }
    this.#rosters.skipPause(ms);
  }
}
