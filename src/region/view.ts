/**
 * A VM's view of its region: which VMs lead, and which messages are due to whom and when.
 *
 * Every VM sends reports to the leads of its region. The leads send rosters of the region's VMs to all VMs, and digests to
 * the leads of other regions. So a VM sends and receives the same number of messages in a region of 5 and of 500 VMs.
 *
 * @module
 */

import type { Random } from "../base/mod.ts";
import type { DirectoryVm } from "../routing/mod.ts";
import type { HeardRoster } from "./heard_rosters.ts";
import { KnownVms } from "./known_vms.ts";
import {
  type LeadRecord,
  MAX_NAMED,
  type NamedList,
  pickRosterState,
  type RegionDigest,
  type Report,
  type Roster,
  type RosterNeed,
  type VmLoad,
  type VmState,
} from "./messages.ts";
import { countLeads, LEAD_COUNT, MAX_ALL_LEAD_VMS } from "./lead_order.ts";
import { type DigestDue, DigestSchedule } from "./digest_schedule.ts";
import { digestEveryMs, reportEveryMs } from "./intervals.ts";
import {
  pickRosterEveryMs,
  type RosterAudience,
  type RosterDue,
  RosterSchedule,
} from "./roster_schedule.ts";
import { toVmRecord, type VmRecord } from "./record.ts";
import { SilentLeads } from "./silent_leads.ts";
import { SharerCount } from "./sharer_count.ts";

/** Maximum VMs that a digest names as ready: enough to spread relayed requests, in about a third of a kilobyte. */
const MAX_DIGEST_READY = 24;
/** How often a lead searches for VMs that it doesn't hear. Cut halves of a region find each other again in this time. */
const SEARCH_EVERY_MS = 2_000;
/** A VM that hears no other searches more often at first, as all VMs may be starting together. */
const FAST_SEARCH_MS = 250;
const STARTING_MS = 10_000;
const MAX_SEARCHED = 8;
/** A gap of at least this length between two ticks means that this process was paused. */
const MIN_PAUSE_MS = 600;

/** A message that is due, with the addresses to send it to. */
export type DueMessage =
  | { readonly type: "report"; readonly ips: readonly string[] }
  | DigestDue
  | RosterDue;

/** Options of {@link RegionView}. */
export interface RegionViewOptions {
  readonly self: VmRecord;
  /** Addresses of some VMs of any region; may be stale. */
  readonly seedIps: readonly string[];
  readonly random: Random;
  /** The current state of this VM. */
  readonly state: () => VmState;
}

/** Tracks who leads the region and decides which messages are due. Times are of a monotonic clock. */
export class RegionView {
  readonly known: KnownVms;
  /** Among how many VMs limits for all of them are divided. */
  readonly sharers: SharerCount;
  readonly #options: RegionViewOptions;
  readonly #self: VmRecord;
  readonly #rosters = new RosterSchedule();
  readonly #digests = new DigestSchedule();
  readonly #silentLeads = new SilentLeads();
  #order: LeadRecord[] = [];
  #aloneSinceMs: number;
  #lastTickMs: number;
  #reportDueMs = -Infinity;
  #searchDueMs = -Infinity;
  #rosterNeed: RosterNeed = "complete";

  constructor(options: RegionViewOptions, nowMs: number) {
    this.#options = options;
    this.#self = options.self;
    this.known = new KnownVms(options.self);
    const hasOthers = options.seedIps.some((ip) => ip !== options.self.ip);
    this.sharers = new SharerCount(hasOthers, nowMs);
    this.#lastTickMs = nowMs;
    this.#aloneSinceMs = nowMs;
    this.#order = [{
      ...toVmRecord(options.self),
      isServed: false,
      mayLead: false,
    }];
  }

  /** Leads and standbys of the region as this VM knows them, the first lead first. */
  get order(): readonly LeadRecord[] {
    return this.#order;
  }

  get leads(): readonly LeadRecord[] {
    return this.#order.slice(0, countLeads(this.known.regionVmCount));
  }

  get isLead(): boolean {
    return this.leads.some(({ id }) => id === this.#self.id);
  }

  /** Whether all VMs of the region hear each other, so that none depends on a lead. */
  get hearsAll(): boolean {
    return this.known.regionVmCount <= MAX_ALL_LEAD_VMS;
  }

  /** Number of VMs of all regions, including silent ones as they may only be cut off. */
  get vmCount(): number {
    return this.known.regionVmCount + this.known.remote.vmCount();
  }

  /** Whether no other VM of the region is heard. */
  isAlone(nowMs: number): boolean {
    return this.#reporters(nowMs).length === 0 &&
      this.known.freshRosters(nowMs).length === 0;
  }

  /**
   * The latest complete roster of the first lead that is heard; `undefined` on a lead, which has newer information itself.
   * When the first lead is lost, its last roster is valid until the next lead sends complete ones.
   */
  latestRoster(nowMs: number): Roster | undefined {
    if (this.isLead) return undefined;
    return this.known.rosters.latestOf(this.#order, nowMs);
  }

  /** VMs of a region that can be named to callers, without this one. */
  named(region: string, nowMs: number): DirectoryVm[] {
    if (region === this.#self.region) return this.known.named(nowMs);
    return this.known.remote.readyIps(region, nowMs)
      .map((ip) => ({ ip, region, isReady: true, servesMs: 0 }));
  }

  /** Handles a report. Returns the messages to answer it with. */
  onReport(report: Report, nowMs: number): DueMessage[] {
    const before = this.known.noteReport(report, nowMs);
    if (before === report) return [];
    this.#silentLeads.noteHeard(report.id);
    const ips = [report.ip];
    if (report.region !== this.#self.region) {
      return [{ type: "digest", ips, toRegion: report.region }];
    }
    const isNew = before?.bornMs !== report.bornMs;
    const isChanged = isNew || before.ready !== report.ready ||
      (before.servesMs === undefined) !== (report.servesMs === undefined);
    if (isChanged) {
      this.#refreshOrder(nowMs);
      this.#rosters.noteChange(nowMs);
    }
    const needsMore = before?.rosterNeed === "partial" &&
      report.rosterNeed === "complete";
    // A VM that wrongly takes this one for a lead learns who leads; a new VM, or one that no longer hears the first lead,
    // need not wait for the next roster.
    if (!isNew && !needsMore && this.isLead) return [];
    return [{
      type: "roster",
      ips,
      withNames: true,
      withOrder: true,
      isPartial: false,
    }];
  }

  /** Handles a roster. A roster of another region is not meant for this VM and is ignored. */
  onRoster(roster: Roster, nowMs: number): void {
    const { from } = roster;
    if (from.region !== this.#self.region || from.id === this.#self.id) return;
    this.known.noteRoster(roster, nowMs);
    this.#silentLeads.noteHeard(from.id);
    this.#refreshOrder(nowMs);
    this.#refreshNeed(nowMs);
  }

  /** Handles a digest of another region. */
  onDigest(digest: RegionDigest, nowMs: number): void {
    this.known.noteDigest(digest, nowMs);
    if (digest.isAhead && !this.#firstRoster(nowMs)) this.#rosters.sendSoon();
  }

  /** Makes the next report and roster due at once, ahead of schedule. */
  sendSoon(): void {
    this.#reportDueMs = -Infinity;
    this.#rosters.sendSoon();
  }

  /** When {@link RegionView.tick} is next due, as far as is known now. */
  get nextDueMs(): number {
    if (!this.isLead) return this.#reportDueMs;
    const rosterMs = this.#rosters.dueMs;
    return Math.min(this.#reportDueMs, rosterMs, this.#digests.dueMs);
  }

  /** Returns the messages that are due now. */
  tick(nowMs: number): DueMessage[] {
    this.#skipPause(nowMs);
    this.sharers.note(this.vmCount, nowMs);
    this.known.dropStale(nowMs);
    this.#refreshOrder(nowMs);
    this.#refreshNeed(nowMs);
    const due: DueMessage[] = [];
    if (nowMs >= this.#reportDueMs) {
      this.#reportDueMs = nowMs + reportEveryMs(this.known.regionVmCount);
      due.push({ type: "report", ips: this.#reportIps(nowMs) });
    }
    if (nowMs >= this.#searchDueMs) due.push(this.#search(nowMs));
    if (this.isLead) due.push(...this.#leadMessages(nowMs));
    return due.filter(({ ips }) => ips.length > 0);
  }

  /** Builds a report. */
  buildReport(): Omit<Report, keyof VmLoad> {
    return {
      ...this.#self,
      everyMs: reportEveryMs(this.known.regionVmCount),
      rosterNeed: this.#rosterNeed,
      ...this.#options.state(),
    };
  }

  /** Builds a roster for the VMs of the own region. */
  buildRoster(
    nowMs: number,
    { withNames, withOrder, isPartial }: RosterDue,
  ): Omit<Roster, "load"> {
    const firstRoster = isPartial ? this.#firstRoster(nowMs) : undefined;
    return {
      ...pickRosterState(this.#options.state()),
      from: toVmRecord(this.#self),
      everyMs: pickRosterEveryMs(this.#rosterAudience(nowMs)),
      isPartial: isPartial || undefined,
      leads: withOrder ? this.#order : [],
      heardLeads: this.hearsAll ? undefined : this.#reportingLeads(nowMs),
      vms: this.known.reportingCount,
      named: withNames ? this.#namedList(nowMs) : undefined,
      regions: this.known.remote.passedDigests(nowMs, firstRoster),
    };
  }

  /** Builds a digest for another region. */
  buildDigest(
    nowMs: number,
    { toRegion, isAhead }: DigestDue,
  ): Omit<RegionDigest, "room" | "held"> {
    const { ready } = this.#namedList(nowMs);
    const { copies, configVersion, restoredAgoMs } = this.#options.state();
    return {
      from: toVmRecord(this.#self),
      everyMs: this.#digestEveryMs(nowMs),
      leads: this.#order.slice(0, LEAD_COUNT).map(toVmRecord),
      ready: this.#options.random.sample(ready, MAX_DIGEST_READY),
      vms: this.known.regionVmCount,
      copies,
      configVersion,
      restoredAgoMs,
      yours: toRegion === undefined ? [] : this.known.leadsOf(toRegion, nowMs),
      isAhead,
    };
  }

  #leadMessages(nowMs: number): DueMessage[] {
    const audience = this.#rosterAudience(nowMs);
    this.#rosters.noteAnnounced(
      this.#options.state(),
      [audience.reporters.length, ...this.#order.map(({ id }) => id)],
      audience,
      nowMs,
    );
    const due: DueMessage[] = this.#rosters.take(audience, nowMs);
    const isFirst = !this.hearsAll && !audience.hasFirst;
    this.#digests.noteReporters(isFirst ? audience.reporters : []);
    const ips = this.known.remote.fresh(nowMs)
      .flatMap(({ digest }) => digest.leads.map(({ ip }) => ip));
    due.push(...this.#digests.take(ips, this.#digestEveryMs(nowMs), nowMs));
    return due;
  }

  /** On another lead, the latest roster of the first one, if that is heard and sends complete ones. */
  #firstRoster(nowMs: number): HeardRoster | undefined {
    const [first] = this.#order;
    const isOther = this.isLead && !this.hearsAll &&
      first.id !== this.#self.id;
    if (!isOther) return undefined;
    return this.known.rosters.completeOf(first.id, nowMs);
  }

  #rosterAudience(nowMs: number): RosterAudience {
    return {
      reporters: this.#reporters(nowMs),
      rosters: this.known.freshRosters(nowMs),
      vmCount: this.known.regionVmCount,
      hasFirst: this.#firstRoster(nowMs) !== undefined,
      tellsConfigAge: this.#options.state().configAgeMs !== undefined,
    };
  }

  #reportingLeads(nowMs: number): string[] {
    return this.leads.map(({ id }) => id)
      .filter((id) => this.known.reports(id, nowMs));
  }

  /** Reports at once if this VM no longer hears the first lead, so that the next one sends it complete rosters. */
  #refreshNeed(nowMs: number): void {
    const [first] = this.known.rosters.inOrder(this.#order, nowMs);
    const isPartial = this.isLead || (first && !first.roster.isPartial);
    const need = isPartial ? "partial" : "complete";
    if (need === this.#rosterNeed) return;
    this.#rosterNeed = need;
    if (need === "complete") this.#reportDueMs = -Infinity;
  }

  #digestEveryMs(nowMs: number): number {
    const isFirst = this.#order[0]?.id === this.#self.id || this.hearsAll;
    return digestEveryMs(isFirst, this.known.remote.fresh(nowMs).length);
  }

  #reporters(nowMs: number): Report[] {
    return this.known.reporters(this.#self.region, nowMs);
  }

  #namedList(nowMs: number): NamedList {
    const state = this.#options.state();
    const ready = state.ready ? [this.#self.ip] : [];
    const leaving: [string, number][] = state.servesMs === undefined
      ? []
      : [[this.#self.ip, state.servesMs]];
    for (const { ip, isReady, servesMs } of this.#namedVms(nowMs)) {
      if (isReady) ready.push(ip);
      else leaving.push([ip, Math.round(servesMs)]);
    }
    return {
      ready: this.#options.random.sample(ready, MAX_NAMED),
      leaving: leaving.slice(0, MAX_NAMED),
    };
  }

  /**
   * The VMs that this one names. A lead names only those that report to it: if leads repeated each other's lists, a dead VM
   * would stay in them forever.
   */
  #namedVms(nowMs: number): readonly DirectoryVm[] {
    return this.isLead ? this.known.namedHere(nowMs) : this.known.named(nowMs);
  }

  #reportIps(nowMs: number): string[] {
    const leads = this.leads.filter(({ id }) => id !== this.#self.id);
    this.#silentLeads.noteReport(
      new Set(leads.map(({ id }) => id)),
      (id) => this.known.rosters.isFresh(id, nowMs),
      nowMs,
    );
    return leads.map(({ ip }) => ip);
  }

  /** Sends reports to VMs that are not heard: seeds, VMs named in messages and, if alone, the VMs named last as ready. */
  #search(nowMs: number): DueMessage {
    const isAlone = this.isAlone(nowMs);
    if (!isAlone) this.#aloneSinceMs = nowMs;
    const isStarting = isAlone && nowMs - this.#aloneSinceMs < STARTING_MS;
    this.#searchDueMs = nowMs + (isStarting ? FAST_SEARCH_MS : SEARCH_EVERY_MS);
    if (!isAlone && !this.isLead) return { type: "report", ips: [] };
    const { random, seedIps } = this.#options;
    const named = this.known.rosters.all.flatMap((heard) => heard.named.ready);
    const unheard = this.known.unheardVms.map(({ ip }) => ip);
    const ips = new Set([
      ...seedIps,
      ...random.sample(unheard, MAX_SEARCHED),
      ...(isAlone ? random.sample(named, MAX_SEARCHED) : []),
    ]);
    ips.delete(this.#self.ip);
    for (const { ip } of this.#reporters(nowMs)) ips.delete(ip);
    return { type: "report", ips: [...ips] };
  }

  #refreshOrder(nowMs: number): void {
    this.#order = this.known.leadOrder(
      this.#options.state(),
      (id) => this.#silentLeads.has(id),
      nowMs,
    );
  }

  #skipPause(nowMs: number): void {
    const gapMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    this.#silentLeads.expire(nowMs);
    if (gapMs < MIN_PAUSE_MS) return;
    this.known.skipPause(gapMs);
    this.#silentLeads.skipPause();
  }
}
