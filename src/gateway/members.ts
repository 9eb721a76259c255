/**
 * Membership: sends and receives the messages by which VMs learn of each other; `region` decides what goes to whom.
 *
 * @module
 */

import type { KeyValue } from "../adapters/mod.ts";
import { type Clock, Random, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  decodeDigest,
  decodeLoadNote,
  decodeReport,
  decodeRoster,
  type DueMessage,
  type LeadRecord,
  type Load,
  type LoadNote,
  LoadTracker,
  type NewsSource,
  type RegionDigest,
  RegionView,
  type RemoteRegion,
  type Report,
  type Room,
  type Roster,
  type SeenOutcome,
  sumBusiest,
  type VmLoad,
  type VmRecord,
  type VmState,
} from "../region/mod.ts";
import type { DirectoryVm, HeldPart } from "../routing/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import { PendingLoadNote } from "./pending_load_note.ts";
import { VmRegistration } from "./vm_registration.ts";

/** Options of {@link Members}. */
export interface MemberOptions {
  readonly self: VmRecord;
  readonly datagrams: Datagrams;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  /** Addresses of some VMs, through which this one finds the others. */
  readonly seedIps: readonly string[];
  /** What this VM reports about itself. */
  readonly state: () => VmState;
  readonly load: () => VmLoad;
  /** Shared prompt parts that engines cached for this VM in the last `ms`. */
  readonly held: (ms: number) => readonly HeldPart[];
  /** The same for all VMs of the region, as far as they reported it to this one. */
  readonly regionHeld: (ms: number) => readonly HeldPart[];
  /** Free capacity that the region offers to other regions. */
  readonly room: () => Room;
  /** Called with prompt parts that engines cached, as reported by a VM of this region or of another one. */
  readonly onHeld: (
    held: readonly HeldPart[] | undefined,
    isOwnRegion: boolean,
  ) => void;
  /** Called with the outcomes of sends that another VM observed. */
  readonly onOutcomes: (vmId: string, seen: readonly SeenOutcome[]) => void;
}

interface LeadState {
  readonly order: readonly LeadRecord[];
  readonly leads: readonly LeadRecord[];
  readonly hearsAll: boolean;
  readonly isLead: boolean;
}

/** Tick interval of a lead, which has to notice soon that a VM stopped reporting. */
const LEAD_TICK_MS = 100;
const TICK_MS = 250;
/** Most upstreams whose load a roster carries, the busiest first: about two kilobytes. */
const MAX_ROSTER_LOADS = 64;

/** Sends reports and, on a lead, rosters and digests; applies those of other VMs. */
export class Members extends Task {
  readonly name = "members";
  /** Load of the region's other VMs, as far as they report to this one. */
  readonly loads = new LoadTracker();
  readonly #options: MemberOptions;
  readonly #nextNote = new PendingLoadNote();
  protected readonly handlers: Handlers<Messages> = {};
  #view!: RegionView;
  #registration!: VmRegistration;
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;
  #timerMs = Infinity;
  #lagMs = 0;
  #announcedLoad: Load = {};
  /** Who leads, as of the last message or tick; cached because every request asks for it. */
  #leadState: LeadState = {
    order: [],
    leads: [],
    hearsAll: true,
    isLead: true,
  };
  #closing = false;
  readonly #rosterListeners: (() => void)[] = [];

  constructor(options: MemberOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    const { self, datagrams, seedIps, state, store, leastLeaseMs } =
      this.#options;
    this.#view = new RegionView({
      self,
      seedIps,
      state,
      random: new Random(process.pid),
    }, this.#clock.monoMs());
    datagrams.on("report", (params) => this.#onReport(decodeReport(params)));
    datagrams.on("load", (params) => this.#onLoadNote(decodeLoadNote(params)));
    datagrams.on("roster", (params) => this.#onRoster(decodeRoster(params)));
    datagrams.on("digest", (params) => {
      const digest = decodeDigest(params);
      if (!digest) return;
      this.#view.onDigest(digest, this.#clock.monoMs());
      this.#tickAt(this.#view.nextDueMs);
      this.#options.onHeld(digest.held, false);
    });
    this.#registration = new VmRegistration({
      self,
      store,
      leastLeaseMs,
      clock: this.#clock,
      log: this.#log,
      hasSeeds: seedIps.some((ip) => ip !== self.ip),
      isLead: () => this.#view.isLead,
      isAlone: () => this.#view.isAlone(this.#clock.monoMs()),
      onFound: (vms) => {
        for (const vm of vms) this.#view.known.noteUnheard(vm);
      },
    });
    this.#registration.start();
    this.#tick();
    return Promise.resolve();
  }

  /** Removes this VM's store entry and stops. VMs that received its drain report don't have to wait for a timeout. */
  async close(_deadlineMs: number): Promise<void> {
    this.#closing = true;
    this.#timer?.close();
    await this.#registration.close();
  }

  dump(): unknown {
    const nowMs = this.#clock.monoMs();
    return {
      order: this.#view.order,
      isLead: this.#view.isLead,
      vms: this.#view.vmCount,
      sharers: this.sharerCount(),
      reporters: this.#view.known.reporters(this.#options.self.region, nowMs),
      regions: this.#view.known.remote.fresh(nowMs),
    };
  }

  /** Calls `run` after each roster that a lead sends. */
  onRosterReceived(run: () => void): void {
    this.#rosterListeners.push(run);
  }

  /** VMs that may be named to callers of a region, without this one. */
  vmsForCallers(region: string): DirectoryVm[] {
    return this.#view.named(region, this.#clock.monoMs());
  }

  /** VMs that may have newer store data than this one. */
  newsSources(): NewsSource[] {
    return this.#view.known.newsSources(this.#clock.monoMs());
  }

  /** Other regions that sent a digest recently. */
  otherRegions(): RemoteRegion[] {
    return this.#view.known.remote.fresh(this.#clock.monoMs());
  }

  /** The head of the region's lead order: leads and standbys. */
  get order(): readonly LeadRecord[] {
    return this.#leadState.order;
  }

  get leads(): readonly LeadRecord[] {
    return this.#leadState.leads;
  }

  /** Whether all VMs of the region receive each other's load reports; otherwise its leads place the requests. */
  get hearsAll(): boolean {
    return this.#leadState.hearsAll;
  }

  /** Whether every VM of the region reports to this one. */
  get isLead(): boolean {
    return this.#leadState.isLead;
  }

  /** VMs of the region that are alive and report to this one. */
  reporters(): Report[] {
    return this.#view.known.reporters(
      this.#options.self.region,
      this.#clock.monoMs(),
    );
  }

  /** The latest roster of a lead; `undefined` on a lead. */
  roster(): Roster | undefined {
    return this.#view.latestRoster(this.#clock.monoMs());
  }

  /** This VM's own load as it last reported it. */
  get announcedLoad(): Load {
    return this.#announcedLoad;
  }

  /** Number of VMs in all regions, this one included; silent ones count until they are forgotten. */
  vmCount(): number {
    return this.#view.vmCount;
  }

  /** Number of VMs among which limits for all of them are divided; see {@link SharerCount}. */
  sharerCount(): number {
    return this.#view.sharers.count;
  }

  /** Time since a lead could rule out that there is a configuration newer than that of `copy`. */
  configAgeMs(copy: Report["copies"]["operators"]): number {
    return this.#view.known.rosters.configAgeMs(copy, this.#clock.monoMs());
  }

  /** Delay of this VM's last tick: how far the process is behind its work. */
  get lagMs(): number {
    return this.#lagMs;
  }

  /** Number of VMs in the region as far as any lead knows, silent ones included. */
  get regionVmCount(): number {
    return this.#view.known.regionVmCount;
  }

  /** Sends reports and rosters at once, ahead of their schedule. */
  reportNow(): void {
    this.#view.sendSoon();
    this.#tick();
  }

  /** Records that a prompt waiting at an upstream was read; the first lead receives a note of it soon. */
  notePromptRead(): void {
    this.#tickAt(this.#nextNote.noteRead(this.#canSkip, this.#clock.monoMs()));
  }

  /** Records the end of a send; `seen` is its outcome. */
  noteSendEnd(seen?: SeenOutcome): void {
    const nowMs = this.#clock.monoMs();
    this.#tickAt(this.#nextNote.noteSendEnd(this.#canSkip, nowMs, seen));
  }

  /** Whether this VM's regular reports suffice, so that no load note has to be sent. */
  get #canSkip(): boolean {
    const { hearsAll, leads } = this.#leadState;
    return hearsAll || leads[0]?.id === this.#options.self.id;
  }

  #tick(): void {
    if (this.#closing) return;
    const nowMs = this.#clock.monoMs();
    if (nowMs >= this.#nextNote.dueMs) this.#sendLoadNote(nowMs);
    for (const due of this.#view.tick(nowMs)) this.#send(due);
    this.#updateLeads();
    const everyMs = this.#view.isLead ? LEAD_TICK_MS : TICK_MS;
    this.#tickAt(
      Math.min(nowMs + everyMs, this.#view.nextDueMs, this.#nextNote.dueMs),
    );
  }

  /** Keeps a timer that is due sooner. An overdue one runs next; setting it again would hide the lag. */
  #tickAt(dueMs: number): void {
    if (this.#closing || dueMs === Infinity) return;
    const nowMs = this.#clock.monoMs();
    if (this.#timerMs <= dueMs) return;
    this.#timer?.close();
    this.#timerMs = Math.max(nowMs + 1, dueMs);
    this.#timer = this.#clock.after(this.#timerMs - nowMs, () => {
      this.#lagMs = this.#clock.monoMs() - this.#timerMs;
      this.#timerMs = Infinity;
      this.#tick();
    });
  }

  #updateLeads(): void {
    if (this.#view.isLead) {
      const alive = new Set(this.reporters().map(({ id }) => id));
      this.loads.retain((id) => alive.has(id), this.#clock.monoMs());
    }
    const { leads, order, hearsAll, isLead } = this.#view;
    const previousIds = joinIds(this.#leadState.leads);
    this.#leadState = { leads, order, hearsAll, isLead };
    if (joinIds(leads) === previousIds) return;
    this.#log.info("leads", {
      leads: joinIds(leads),
      isLead,
      vms: this.#view.known.regionVmCount,
    });
  }

  #send(due: DueMessage): void {
    const { datagrams } = this.#options;
    const nowMs = this.#clock.monoMs();
    if (due.type === "report") {
      datagrams.send("report", this.#makeReport(), due.ips);
    } else if (due.type === "roster") {
      const roster: Roster = {
        ...this.#view.buildRoster(nowMs, due),
        load: due.isPartial ? {} : this.#sumRegionLoad(),
      };
      datagrams.send("roster", roster, due.ips);
    } else {
      const digest = this.#view.buildDigest(nowMs, due);
      const outgoing: RegionDigest = {
        ...digest,
        room: this.#options.room(),
        held: this.#options.regionHeld(digest.everyMs),
      };
      datagrams.send("digest", outgoing, due.ips);
    }
  }

  #makeReport(): Report {
    const { load, held } = this.#options;
    const report = this.#view.buildReport();
    const own = load();
    this.#announcedLoad = own.load;
    return { ...report, ...own, held: held(report.everyMs) };
  }

  #sendLoadNote(nowMs: number): void {
    const { self, datagrams, load, held } = this.#options;
    const { seen, sinceMs } = this.#nextNote.take(nowMs);
    const [first] = this.#view.leads;
    if (!first || first.id === self.id) return;
    const own = load();
    this.#announcedLoad = own.load;
    const note: LoadNote = { id: self.id, ...own, seen, held: held(sinceMs) };
    datagrams.send("load", note, [first.ip]);
  }

  /** Load of all VMs of the region, this one included. */
  #sumRegionLoad(): Load {
    // When all VMs receive each other's reports, each one sums them itself.
    if (this.#view.hearsAll) return {};
    const loads = [this.loads.load, this.#options.load().load];
    return sumBusiest(loads, MAX_ROSTER_LOADS);
  }

  #onReport(report: Report | undefined): void {
    if (!report || report.id === this.#options.self.id || this.#closing) return;
    const nowMs = this.#clock.monoMs();
    const replies = this.#view.onReport(report, nowMs);
    for (const due of replies) this.#send(due);
    if (report.region === this.#options.self.region) {
      this.loads.update(report.id, report, nowMs);
      this.#options.onHeld(report.held, true);
    }
    this.#tickAt(this.#view.nextDueMs);
  }

  #onLoadNote(note: LoadNote | undefined): void {
    if (!note || this.#closing) return;
    // The sender takes this VM for a lead by mistake, and will receive the actual leads.
    if (!this.#view.isLead) return;
    this.loads.update(note.id, note, this.#clock.monoMs());
    this.#options.onOutcomes(note.id, note.seen);
    this.#options.onHeld(note.held, true);
  }

  #onRoster(roster: Roster | undefined): void {
    if (!roster || this.#closing) return;
    this.#view.onRoster(roster, this.#clock.monoMs());
    this.#updateLeads();
    for (const run of this.#rosterListeners) run();
    this.#tickAt(this.#view.nextDueMs);
  }
}

function joinIds(vms: readonly VmRecord[]): string {
  return vms.map(({ id }) => id).join();
}
