/**
 * Which VMs a VM has heard of, by whom and when.
 *
 * @module
 */

import type { NamedVm } from "../routing/mod.ts";
import { FarRegions } from "./far_regions.ts";
import type {
  LeadRecord,
  NamedList,
  RegionDigest,
  Report,
  Revisions,
  Roster,
  VmState,
} from "./messages.ts";
import { leadOrder, LEADS, STANDBYS } from "./order.ts";
import { recordOf, type VmRecord } from "./record.ts";

/** Silence after which a VM is gone: four reports in a row, since datagrams are lost one in forty on the worst links. */
const SILENT_MS = 1_000;
const SILENT_REPORTS = 4;
/** A lead without a roster for this long is not heard: two lost ones in a row are, three are not. */
export const ROSTER_SILENT_MS = 1_300;
/** A silent VM may only be cut off; it counts, and is looked for, until then. */
const FORGET_MS = 15_000;
/** VMs remembered that are named somewhere and not heard; a region's halves find each other by a few. */
const MOST_STRANGERS = 256;

/** A VM of this region that reports to this one. */
interface Reporter {
  readonly report: Report;
  readonly heardMs: number;
}

/** What another VM of this region told. */
export interface Told {
  readonly roster: Roster;
  /** The last list that it told; short rosters bring none. */
  readonly named: NamedList;
  readonly heardMs: number;
}

/** A VM that can be asked for news of the store. */
export interface Teller {
  readonly id: string;
  readonly ip: string;
  readonly region: string;
  readonly revisions: Revisions;
}

const NO_NAMES: NamedList = { ready: [], leaving: [] };

/** See the module. */
export class KnownVms {
  readonly far = new FarRegions();
  readonly #self: VmRecord;
  /** VMs that report to this one, of any region. */
  readonly #reporters = new Map<string, Reporter>();
  #ownReporters = 0;
  readonly #told = new Map<string, Told>();
  /** VMs that are named somewhere and not heard. */
  readonly #strangers = new Map<string, VmRecord>();

  constructor(self: VmRecord) {
    this.#self = self;
  }

  /** Takes in a report. Returns what the same VM reported before; the report itself if it is an old one that came late. */
  noteReport(report: Report, nowMs: number): Report | undefined {
    const before = this.#reporters.get(report.id)?.report;
    if (before && before.bornMs > report.bornMs) return report;
    if (!before && report.region === this.#self.region) this.#ownReporters++;
    this.#reporters.set(report.id, { report, heardMs: nowMs });
    this.#strangers.delete(report.id);
    return before;
  }

  /** Takes in a roster of this region. */
  noteRoster(roster: Roster, nowMs: number): void {
    const { from } = roster;
    const before = this.#told.get(from.id);
    if (before && before.roster.from.bornMs > from.bornMs) return;
    this.#told.set(from.id, {
      roster,
      named: roster.named ?? before?.named ?? NO_NAMES,
      heardMs: nowMs,
    });
    this.#strangers.delete(from.id);
    for (const lead of roster.leads) this.meet(lead);
    for (const digest of roster.regions) {
      this.far.note(digest, nowMs - digest.ageMs);
    }
  }

  /** Takes in a digest of another region. */
  noteDigest(digest: RegionDigest, nowMs: number): void {
    if (digest.from.region !== this.#self.region) {
      this.far.note(digest, nowMs);
    }
    for (const vm of digest.yours ?? []) this.meet(vm);
  }

  /** Notes that there may be a VM. */
  meet(vm: VmRecord): void {
    if (vm.id === this.#self.id) return;
    const known = this.#reporters.get(vm.id)?.report ??
      this.#told.get(vm.id)?.roster.from;
    if (known && known.bornMs >= vm.bornMs) return;
    this.#strangers.delete(vm.id);
    this.#strangers.set(vm.id, recordOf(vm));
    if (this.#strangers.size <= MOST_STRANGERS) return;
    const [oldest] = this.#strangers.keys();
    this.#strangers.delete(oldest);
  }

  get strangers(): VmRecord[] {
    return [...this.#strangers.values()];
  }

  /** VMs of a region that report to this one and are alive. */
  reporters(region: string, nowMs: number): Report[] {
    const alive: Report[] = [];
    for (const { report, heardMs } of this.#reporters.values()) {
      const silentMs = Math.max(SILENT_MS, SILENT_REPORTS * report.everyMs);
      if (report.region === region && nowMs - heardMs < silentMs) {
        alive.push(report);
      }
    }
    return alive;
  }

  /** What is heard of the VMs of this region that lead, or did a moment ago. */
  told(nowMs: number): Told[] {
    return [...this.#told.values()].filter(({ heardMs }) =>
      nowMs - heardMs < ROSTER_SILENT_MS
    );
  }

  /** The same, also of those that are silent by now. */
  get everTold(): Told[] {
    return [...this.#told.values()];
  }

  /** How long ago a lead surely knew that no configuration is newer than revision `rev`; `Infinity` if none says so. */
  configAgeMs(rev: number, nowMs: number): number {
    let least = Infinity;
    for (const { roster, heardMs } of this.#told.values()) {
      const { configAgeMs, revisions } = roster;
      if (typeof configAgeMs !== "number" || revisions.operators > rev) {
        continue;
      }
      least = Math.min(least, configAgeMs + nowMs - heardMs);
    }
    return least;
  }

  /** When a VM's roster was heard last. */
  rosterHeardMs(id: string): number {
    return this.#told.get(id)?.heardMs ?? -Infinity;
  }

  /** VMs of this region that report to this one, this one included, and silent ones as they may only be cut off. */
  get ownCount(): number {
    return 1 + this.#ownReporters;
  }

  /** VMs of this region as far as any lead knows. */
  get regionCount(): number {
    let most = this.ownCount;
    for (const { roster } of this.#told.values()) {
      most = Math.max(most, roster.vms);
    }
    return most;
  }

  /** VMs of this region that report to this one and that callers can be told of. */
  reporting(nowMs: number): NamedVm[] {
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

  /** VMs of this region that callers can be told of as far as any lead says, without this one. */
  named(nowMs: number): NamedVm[] {
    const { region, ip: selfIp } = this.#self;
    const byIp = new Map<string, NamedVm>();
    const put = (ip: string, servesMs: number) => {
      // A VM that leaves is named as leaving also where another lead has not heard of it yet.
      if (ip === selfIp || (servesMs === 0 && byIp.has(ip))) return;
      byIp.set(ip, { ip, region, isReady: servesMs === 0, servesMs });
    };
    for (const { ip, servesMs } of this.reporting(nowMs)) put(ip, servesMs);
    for (const { named, heardMs } of this.told(nowMs)) {
      for (const ip of named.ready) put(ip, 0);
      for (const [ip, servesMs] of named.leaving) {
        put(ip, Math.max(1, servesMs - (nowMs - heardMs)));
      }
    }
    return [...byIp.values()];
  }

  /**
   * The head of the region's order of leads, of the VMs that report to this one, those that leads tell of, and itself.
   * `isDeaf` tells which ones are to be left out.
   */
  order(
    self: VmState,
    isDeaf: (id: string) => boolean,
    nowMs: number,
  ): LeadRecord[] {
    const first = new Map<string, LeadRecord>();
    const last = new Map<string, LeadRecord>();
    const put = (
      vm: VmRecord & Pick<VmState, "isServed">,
      mayLead: boolean,
    ) => {
      (mayLead ? last : first).delete(vm.id);
      const { isServed } = vm;
      (mayLead ? first : last).set(vm.id, {
        ...recordOf(vm),
        isServed,
        mayLead,
      });
    };
    const told = this.told(nowMs);
    // Without any lead that is heard, the standbys of those heard last take over.
    for (const { roster } of told.length > 0 ? told : this.#told.values()) {
      for (const lead of roster.leads) {
        if (!isDeaf(lead.id)) put(lead, lead.mayLead);
      }
    }
    for (const report of this.reporters(this.#self.region, nowMs)) {
      put(report, report.ready && report.servesMs === undefined);
    }
    put(
      { ...this.#self, isServed: self.isServed },
      self.ready && self.servesMs === undefined,
    );
    return [...leadOrder([...first.values()]), ...leadOrder([...last.values()])]
      .slice(0, LEADS + STANDBYS);
  }

  /** VMs that may know more of the store than this one. */
  tellers(nowMs: number): Teller[] {
    const near: Teller[] = this.reporters(this.#self.region, nowMs);
    for (const { roster: { from, revisions } } of this.told(nowMs)) {
      near.push({ ...from, revisions });
    }
    const far = this.far.fresh(nowMs)
      .map(({ digest: { from, revisions } }) => ({ ...from, revisions }));
    return [...near, ...far];
  }

  /** Drops what was not heard for long. */
  forget(nowMs: number): void {
    this.far.forget(nowMs);
    for (const [id, { report, heardMs }] of this.#reporters) {
      if (nowMs - heardMs < FORGET_MS) continue;
      this.#reporters.delete(id);
      if (report.region === this.#self.region) this.#ownReporters--;
      // A region that was cut off is back sooner than the store is read again.
      this.meet(report);
    }
    for (const [id, { roster, heardMs }] of this.#told) {
      if (nowMs - heardMs < FORGET_MS) continue;
      this.#told.delete(id);
      this.meet(roster.from);
    }
  }

  /** This process was paused for `ms`: nobody had a chance to be heard. */
  shift(ms: number): void {
    this.far.shift(ms);
    for (const [id, { report, heardMs }] of this.#reporters) {
      this.#reporters.set(id, { report, heardMs: heardMs + ms });
    }
    for (const [id, told] of this.#told) {
      this.#told.set(id, { ...told, heardMs: told.heardMs + ms });
    }
  }
}
