/**
 * Who leads a region as a VM sees it, whom it tells what, and when.
 *
 * Every VM reports to the leads of its region; they tell all of them, in a roster, who is there, and tell the leads of
 * other regions, in a digest. So a VM sends and gets the same number of messages in a region of 5 and of 500.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { NamedVm } from "../routing/mod.ts";
import { KnownVms, ROSTER_SILENT_MS } from "./known_vms.ts";
import {
  type LeadRecord,
  MOST_NAMED,
  type NamedList,
  type RegionDigest,
  type Report,
  type Roster,
  type VmState,
} from "./messages.ts";
import { ALL_LEAD_VMS, leadCount, leadOrder, LEADS } from "./order.ts";
import { digestEveryMs, reportEveryMs, rosterEveryMs } from "./pace.ts";
import { recordOf, type VmRecord } from "./record.ts";

/** A change is told at once, but no two rosters are closer than this. */
const ROSTER_GAP_MS = 100;
/** After a change rosters come faster and with the lists of names, so that a lost one delays nobody; else now and then. */
const CHANGED_ROSTER_MS = 200;
const AFTER_CHANGE_MS = 500;
const NAMED_EVERY_MS = 2_000;
/** VMs that a digest names: enough that what is handed over spreads, in a third of a kilobyte. */
const DIGEST_READY = 24;
/** How often a lead looks for VMs that it doesn't hear: cut halves of a region find each other again in this time. */
const SEARCH_MS = 2_000;
/** A VM that hears no other looks more often at first, as all may be starting together. */
const LONELY_SEARCH_MS = 250;
const LONELY_MS = 10_000;
const MOST_SEARCHED = 8;
/** A lead that was reported to and stayed silent is left aside for this long, unless it is heard. */
const DEAF_MS = 15_000;
/** A VM that runs again after a gap this long was paused. */
const PAUSE_MS = 600;

/** A message to some addresses. */
export type Due =
  | { readonly type: "report"; readonly ips: readonly string[] }
  | {
    readonly type: "digest";
    readonly ips: readonly string[];
    /** Region of a VM that may know nobody of its own; `undefined` for leads. */
    readonly to?: string;
  }
  | {
    readonly type: "roster";
    readonly ips: readonly string[];
    readonly withNames: boolean;
  };

/** Options of {@link RegionView}. */
export interface ViewOptions {
  readonly self: VmRecord;
  /** Addresses of some VMs of any region; may be stale. */
  readonly seedIps: readonly string[];
  readonly random: Random;
  /** What this VM says of itself now. */
  readonly state: () => VmState;
}

/** See the module. Times are of a monotonic clock. */
export class RegionView {
  readonly known: KnownVms;
  readonly #options: ViewOptions;
  readonly #self: VmRecord;
  /** When this VM began to report to a lead. */
  readonly #reportedSinceMs = new Map<string, number>();
  /** Leads that were reported to and not heard, with the time of that. */
  readonly #deafSinceMs = new Map<string, number>();
  #order: LeadRecord[] = [];
  #aloneSinceMs: number;
  #lastTickMs: number;
  #reportDueMs = -Infinity;
  #rosterDueMs = -Infinity;
  #rosterSentMs = -Infinity;
  #digestDueMs = -Infinity;
  #searchDueMs = -Infinity;
  #namedDueMs = -Infinity;
  #changedUntilMs = -Infinity;
  #said = "";

  constructor(options: ViewOptions, nowMs: number) {
    this.#options = options;
    this.#self = options.self;
    this.known = new KnownVms(options.self);
    this.#lastTickMs = nowMs;
    this.#aloneSinceMs = nowMs;
    this.#order = [{
      ...recordOf(options.self),
      isServed: false,
      mayLead: false,
    }];
  }

  /** Leads and standbys of the region as far as this VM knows, the first lead first. */
  get order(): readonly LeadRecord[] {
    return this.#order;
  }

  get leads(): readonly LeadRecord[] {
    return this.#order.slice(0, leadCount(this.known.regionCount));
  }

  get isLead(): boolean {
    return this.leads.some(({ id }) => id === this.#self.id);
  }

  /** Whether all VMs of the region hear each other, so that none needs a lead. */
  get hearsAll(): boolean {
    return this.known.regionCount <= ALL_LEAD_VMS;
  }

  /** VMs of all regions, silent ones included as they may only be cut off. */
  get allVms(): number {
    return this.known.regionCount + this.known.far.vms();
  }

  /** Whether no other VM of the region is heard. */
  isAlone(nowMs: number): boolean {
    return this.#near(nowMs).length === 0 &&
      this.known.told(nowMs).length === 0;
  }

  /** The latest roster of the first lead that is heard; `undefined` for a lead, which knows better itself. */
  roster(nowMs: number): Roster | undefined {
    if (this.isLead) return undefined;
    const told = this.known.told(nowMs);
    for (const { id } of this.#order) {
      const ofLead = told.find(({ roster }) => roster.from.id === id);
      if (ofLead) return ofLead.roster;
    }
    return undefined;
  }

  /** VMs that callers of a region can be told of, without this one. */
  named(region: string, nowMs: number): NamedVm[] {
    if (region === this.#self.region) return this.known.named(nowMs);
    return this.known.far.ready(region, nowMs)
      .map((ip) => ({ ip, region, isReady: true, servesMs: 0 }));
  }

  /** Takes in a report. Returns what is answered. */
  onReport(report: Report, nowMs: number): Due[] {
    const before = this.known.noteReport(report, nowMs);
    if (before === report) return [];
    this.#deafSinceMs.delete(report.id);
    const ips = [report.ip];
    if (report.region !== this.#self.region) {
      return [{ type: "digest", ips, to: report.region }];
    }
    const isNew = before?.bornMs !== report.bornMs;
    const isOther = isNew || before.ready !== report.ready ||
      (before.servesMs === undefined) !== (report.servesMs === undefined);
    if (isOther) {
      this.#refresh(nowMs);
      this.#listChanged(nowMs);
    }
    // One that takes this VM for a lead, wrongly, learns who is; a new one need not wait for the next roster.
    const isAnswered = isNew || !this.isLead;
    return isAnswered ? [{ type: "roster", ips, withNames: true }] : [];
  }

  /** Takes in a roster; one of another region is not meant for this VM. */
  onRoster(roster: Roster, nowMs: number): void {
    const { from } = roster;
    if (from.region !== this.#self.region || from.id === this.#self.id) return;
    this.known.noteRoster(roster, nowMs);
    this.#deafSinceMs.delete(from.id);
    this.#refresh(nowMs);
  }

  /** Tells at once, out of turn. */
  touch(): void {
    this.#reportDueMs = -Infinity;
    this.#rosterDueMs = -Infinity;
  }

  /** When {@link RegionView.tick} has something to do next, as far as is known now. */
  get nextDueMs(): number {
    if (!this.isLead) return this.#reportDueMs;
    const rosterMs = Math.max(
      this.#rosterDueMs,
      this.#rosterSentMs + ROSTER_GAP_MS,
    );
    return Math.min(this.#reportDueMs, rosterMs, this.#digestDueMs);
  }

  /** Time between this VM's reports. */
  get reportEveryMs(): number {
    return reportEveryMs(this.known.regionCount);
  }

  /** Time between this VM's rosters, as a lead. */
  get rosterEveryMs(): number {
    return rosterEveryMs(this.known.regionCount);
  }

  /** What is to be sent now. */
  tick(nowMs: number): Due[] {
    this.#skipPause(nowMs);
    this.known.forget(nowMs);
    this.#refresh(nowMs);
    const due: Due[] = [];
    if (nowMs >= this.#reportDueMs) {
      this.#reportDueMs = nowMs + this.reportEveryMs;
      due.push({ type: "report", ips: this.#reportTo(nowMs) });
    }
    if (nowMs >= this.#searchDueMs) due.push(this.#search(nowMs));
    if (this.isLead) due.push(...this.#lead(nowMs));
    return due.filter(({ ips }) => ips.length > 0);
  }

  /** What this VM tells its region. */
  tellRegion(nowMs: number, withNames: boolean): Omit<Roster, "load"> {
    const { revisions, isServed, configAgeMs } = this.#options.state();
    return {
      from: recordOf(this.#self),
      everyMs: this.rosterEveryMs,
      leads: this.#order,
      vms: this.known.ownCount,
      revisions,
      isServed,
      configAgeMs,
      named: withNames ? this.#names(nowMs) : undefined,
      regions: this.known.far.passOn(nowMs),
    };
  }

  /** What this VM tells the leads of another region. */
  tellRegions(nowMs: number, to?: string): Omit<RegionDigest, "room" | "held"> {
    const { ready } = this.#names(nowMs);
    return {
      from: recordOf(this.#self),
      everyMs: this.#digestEveryMs(nowMs),
      leads: this.#order.slice(0, LEADS).map(recordOf),
      ready: this.#options.random.sample(ready, DIGEST_READY),
      vms: this.known.regionCount,
      revisions: this.#options.state().revisions,
      yours: to === undefined ? [] : this.#leadsElsewhere(to, nowMs),
    };
  }

  #lead(nowMs: number): Due[] {
    const due: Due[] = [];
    this.#noteSaid(nowMs);
    const mayTell = nowMs >= this.#rosterSentMs + ROSTER_GAP_MS;
    if (nowMs >= this.#rosterDueMs && mayTell) {
      const isChanged = nowMs < this.#changedUntilMs;
      const withNames = isChanged || nowMs >= this.#namedDueMs;
      if (withNames) this.#namedDueMs = nowMs + NAMED_EVERY_MS;
      const { rosterEveryMs } = this;
      this.#rosterDueMs = nowMs +
        (isChanged
          ? Math.min(CHANGED_ROSTER_MS, rosterEveryMs)
          : rosterEveryMs);
      this.#rosterSentMs = nowMs;
      const ips = this.#near(nowMs).map(({ ip }) => ip);
      due.push({ type: "roster", ips, withNames });
    }
    if (nowMs >= this.#digestDueMs) {
      this.#digestDueMs = nowMs + this.#digestEveryMs(nowMs);
      const ips = this.known.far.fresh(nowMs)
        .flatMap(({ digest }) => digest.leads.map(({ ip }) => ip));
      due.push({ type: "digest", ips });
    }
    return due;
  }

  /** A change of what this VM says is told at once. */
  #noteSaid(nowMs: number): void {
    const { revisions, isServed, ready } = this.#options.state();
    const said = [
      revisions.operators,
      revisions.upstreams,
      isServed,
      ready,
      this.#near(nowMs).length,
      ...this.#order.map(({ id }) => id),
    ].join();
    if (said === this.#said) return;
    this.#said = said;
    this.#listChanged(nowMs);
  }

  #listChanged(nowMs: number): void {
    this.#rosterDueMs = -Infinity;
    this.#changedUntilMs = nowMs + AFTER_CHANGE_MS;
  }

  #digestEveryMs(nowMs: number): number {
    const isFirst = this.#order[0]?.id === this.#self.id || this.hearsAll;
    return digestEveryMs(isFirst, this.known.far.fresh(nowMs).length);
  }

  #near(nowMs: number): Report[] {
    return this.known.reporters(this.#self.region, nowMs);
  }

  #names(nowMs: number): NamedList {
    const state = this.#options.state();
    const ready = state.ready ? [this.#self.ip] : [];
    const leaving: [string, number][] = state.servesMs === undefined
      ? []
      : [[this.#self.ip, state.servesMs]];
    for (const { ip, isReady, servesMs } of this.#direct(nowMs)) {
      if (isReady) ready.push(ip);
      else leaving.push([ip, Math.round(servesMs)]);
    }
    return {
      ready: this.#options.random.sample(ready, MOST_NAMED),
      leaving: leaving.slice(0, MOST_NAMED),
    };
  }

  /**
   * The VMs that this one answers for. A lead names only those that report to it: leads that repeated each other's lists
   * would keep a dead VM in them for good.
   */
  #direct(nowMs: number): readonly NamedVm[] {
    return this.isLead ? this.known.reporting(nowMs) : this.known.named(nowMs);
  }

  #reportTo(nowMs: number): string[] {
    const leads = this.leads.filter(({ id }) => id !== this.#self.id);
    const ids = new Set(leads.map(({ id }) => id));
    for (const id of this.#reportedSinceMs.keys()) {
      if (!ids.has(id)) this.#reportedSinceMs.delete(id);
    }
    for (const id of ids) {
      const sinceMs = this.#reportedSinceMs.get(id);
      if (sinceMs === undefined) this.#reportedSinceMs.set(id, nowMs);
      else if (
        nowMs - Math.max(sinceMs, this.known.rosterHeardMs(id)) >=
          ROSTER_SILENT_MS
      ) this.#deafSinceMs.set(id, nowMs);
    }
    return leads.map(({ ip }) => ip);
  }

  /** Looks for VMs that are not heard: seeds, strangers, and, without any other VM, whoever was named last. */
  #search(nowMs: number): Due {
    const isAlone = this.isAlone(nowMs);
    if (!isAlone) this.#aloneSinceMs = nowMs;
    const isLonely = isAlone && nowMs - this.#aloneSinceMs < LONELY_MS;
    this.#searchDueMs = nowMs + (isLonely ? LONELY_SEARCH_MS : SEARCH_MS);
    if (!isAlone && !this.isLead) return { type: "report", ips: [] };
    const { random, seedIps } = this.#options;
    const named = this.known.everTold.flatMap((told) => told.named.ready);
    const strangers = this.known.strangers.map(({ ip }) => ip);
    const ips = new Set([
      ...seedIps,
      ...random.sample(strangers, MOST_SEARCHED),
      ...(isAlone ? random.sample(named, MOST_SEARCHED) : []),
    ]);
    ips.delete(this.#self.ip);
    for (const { ip } of this.#near(nowMs)) ips.delete(ip);
    return { type: "report", ips: [...ips] };
  }

  #leadsElsewhere(region: string, nowMs: number): readonly VmRecord[] {
    const leads = this.known.far.leads(region);
    return leads.length > 0
      ? leads
      : leadOrder(this.known.reporters(region, nowMs).map(recordOf))
        .slice(0, LEADS);
  }

  #refresh(nowMs: number): void {
    this.#order = this.known.order(
      this.#options.state(),
      (id) => this.#deafSinceMs.has(id),
      nowMs,
    );
  }

  #skipPause(nowMs: number): void {
    const gapMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    for (const [id, sinceMs] of this.#deafSinceMs) {
      if (nowMs - sinceMs >= DEAF_MS) this.#deafSinceMs.delete(id);
    }
    if (gapMs < PAUSE_MS) return;
    this.known.shift(gapMs);
    this.#reportedSinceMs.clear();
  }
}
