/**
 * The VMs that are there: sends and takes in what they tell each other; whom it tells what is decided in `region`.
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
  type Due,
  type FarRegion,
  type LeadRecord,
  type Load,
  LoadBook,
  type LoadNote,
  type RegionDigest,
  RegionView,
  type Report,
  type Room,
  type Roster,
  type SeenOutcome,
  type Teller,
  type VmLoad,
  type VmRecord,
  type VmState,
} from "../region/mod.ts";
import type { HeldPart, NamedVm } from "../routing/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import { DueNote } from "./due_note.ts";
import { OwnEntry } from "./own_entry.ts";

/** Options of {@link Members}. */
export interface MemberOptions {
  readonly self: VmRecord;
  readonly datagrams: Datagrams;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  /** Addresses of some VMs. */
  readonly seedIps: readonly string[];
  /** What this VM says of itself. */
  readonly state: () => VmState;
  readonly load: () => VmLoad;
  /** Shared parts of prompts that engines read for this VM in the last `ms`. */
  readonly held: (ms: number) => readonly HeldPart[];
  /** The same for all VMs of the region, as far as they told this one. */
  readonly regionHeld: (ms: number) => readonly HeldPart[];
  /** Places that the region offers to others. */
  readonly room: () => Room;
  /** Called with what another VM, of this region or not, says that engines have read. */
  readonly onHeld: (
    held: readonly HeldPart[] | undefined,
    isNear: boolean,
  ) => void;
  /** Called with the outcomes of sends that another VM has seen. */
  readonly onSeen: (vmId: string, seen: readonly SeenOutcome[]) => void;
}

interface LeadsSeen {
  readonly order: readonly LeadRecord[];
  readonly leads: readonly LeadRecord[];
  readonly hearsAll: boolean;
  readonly isLead: boolean;
}

/** A lead looks this often who has fallen silent. */
const LEAD_TICK_MS = 100;
const TICK_MS = 250;
/** Upstreams whose load a roster tells: those with the most, in about two kilobytes. */
const MOST_LOADS = 64;

/** See the module. */
export class Members extends Task {
  readonly name = "members";
  /** What the other VMs of the region have under way, as far as they report here. */
  readonly book = new LoadBook();
  readonly #options: MemberOptions;
  readonly #notes = new DueNote();
  protected readonly handlers: Handlers<Messages> = {};
  #view!: RegionView;
  #entry!: OwnEntry;
  #clock!: Clock;
  #log!: Log;
  #timer: Timer | undefined;
  #timerMs = Infinity;
  #lagMs = 0;
  #saidLoad: Load = {};
  /** Who leads, as of the last message or tick: it is asked for on each request. */
  #lookedAt: LeadsSeen = {
    order: [],
    leads: [],
    hearsAll: true,
    isLead: true,
  };
  #closing = false;
  #onNews: () => void = () => {};

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
    datagrams.on("load", (params) => this.#onNote(decodeLoadNote(params)));
    datagrams.on("roster", (params) => this.#onRoster(decodeRoster(params)));
    datagrams.on("digest", (params) => {
      const digest = decodeDigest(params);
      if (!digest) return;
      this.#view.known.noteDigest(digest, this.#clock.monoMs());
      this.#options.onHeld(digest.held, false);
    });
    this.#entry = new OwnEntry({
      self,
      store,
      leastLeaseMs,
      clock: this.#clock,
      log: this.#log,
      hasSeeds: seedIps.some((ip) => ip !== self.ip),
      isLead: () => this.#view.isLead,
      isAlone: () => this.#view.isAlone(this.#clock.monoMs()),
      onFound: (vms) => {
        for (const vm of vms) this.#view.known.meet(vm);
      },
    });
    this.#entry.start();
    this.#tick();
    return Promise.resolve();
  }

  /** Removes the VM's entry and stops; the VMs that were told of the leaving need not wait for silence. */
  async close(_deadlineMs: number): Promise<void> {
    this.#closing = true;
    this.#timer?.close();
    await this.#entry.close();
  }

  dump(): unknown {
    const nowMs = this.#clock.monoMs();
    return {
      order: this.#view.order,
      isLead: this.#view.isLead,
      vms: this.#view.allVms,
      reporters: this.#view.known.reporters(this.#options.self.region, nowMs),
      regions: this.#view.known.far.fresh(nowMs),
    };
  }

  /** Calls `run` when a lead has told something. */
  onNews(run: () => void): void {
    this.#onNews = run;
  }

  /** VMs that callers of a region can be told of, without this one. */
  named(region: string): NamedVm[] {
    return this.#view.named(region, this.#clock.monoMs());
  }

  /** VMs that may know more of the store. */
  tellers(): Teller[] {
    return this.#view.known.tellers(this.#clock.monoMs());
  }

  /** Other regions that were heard lately. */
  regions(): FarRegion[] {
    return this.#view.known.far.fresh(this.#clock.monoMs());
  }

  /** The head of the region's order of leads. */
  get order(): readonly LeadRecord[] {
    return this.#lookedAt.order;
  }

  get leads(): readonly LeadRecord[] {
    return this.#lookedAt.leads;
  }

  /** Whether all VMs of the region hear each other's loads; else its leads place the requests. */
  get hearsAll(): boolean {
    return this.#lookedAt.hearsAll;
  }

  /** Whether every VM of the region reports to this one. */
  get isLead(): boolean {
    return this.#lookedAt.isLead;
  }

  /** VMs of the region that are alive and report to this one. */
  reporters(): Report[] {
    return this.#view.known.reporters(
      this.#options.self.region,
      this.#clock.monoMs(),
    );
  }

  /** What a lead told last; `undefined` for a lead. */
  roster(): Roster | undefined {
    return this.#view.roster(this.#clock.monoMs());
  }

  /** What this VM said last of its own load. */
  get saidLoad(): Load {
    return this.#saidLoad;
  }

  /** How many VMs there are, this one included; silent ones count until they are forgotten. */
  count(): number {
    return this.#view.allVms;
  }

  /** How long ago a lead surely knew that no configuration is newer than revision `rev`. */
  configAgeMs(rev: number): number {
    return this.#view.known.configAgeMs(rev, this.#clock.monoMs());
  }

  /** How late this VM's last tick came: how far the process is behind its work. */
  get lagMs(): number {
    return this.#lagMs;
  }

  /** VMs of the region as far as any lead knows, silent ones included. */
  get regionCount(): number {
    return this.#view.known.regionCount;
  }

  /** Tells every VM at once, out of turn. */
  beat(): void {
    this.#view.touch();
    this.#tick();
  }

  /** A prompt that waited at an upstream has been read: the first lead is told soon. */
  noteRead(): void {
    this.#wakeAt(this.#notes.noteRead(this.#isFirst, this.#clock.monoMs()));
  }

  /** A send is over; `seen` is what became of it. */
  noteOver(seen?: SeenOutcome): void {
    const nowMs = this.#clock.monoMs();
    this.#wakeAt(this.#notes.noteOver(this.#isFirst, nowMs, seen));
  }

  /** Whether nobody else has to know this VM's load sooner than by its reports. */
  get #isFirst(): boolean {
    const { hearsAll, leads } = this.#lookedAt;
    return hearsAll || leads[0]?.id === this.#options.self.id;
  }

  #tick(): void {
    if (this.#closing) return;
    const nowMs = this.#clock.monoMs();
    if (nowMs >= this.#notes.dueMs) this.#sendNote(nowMs);
    for (const due of this.#view.tick(nowMs)) this.#send(due);
    this.#noteLeads();
    const everyMs = this.#view.isLead ? LEAD_TICK_MS : TICK_MS;
    this.#wakeAt(
      Math.min(nowMs + everyMs, this.#view.nextDueMs, this.#notes.dueMs),
    );
  }

  /** A timer that is due sooner already stands; an overdue one runs next, and set anew it would hide the lag. */
  #wakeAt(dueMs: number): void {
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

  #noteLeads(): void {
    if (this.#view.isLead) {
      const alive = new Set(this.reporters().map(({ id }) => id));
      this.book.keep((id) => alive.has(id));
    }
    const { leads, order, hearsAll, isLead } = this.#view;
    const before = idsOf(this.#lookedAt.leads);
    this.#lookedAt = { leads, order, hearsAll, isLead };
    if (idsOf(leads) === before) return;
    this.#log.info("leads", {
      leads: idsOf(leads),
      isLead,
      vms: this.#view.known.regionCount,
    });
  }

  #send(due: Due): void {
    const { datagrams } = this.#options;
    const nowMs = this.#clock.monoMs();
    if (due.type === "report") {
      datagrams.send("report", this.#report(), due.ips);
    } else if (due.type === "roster") {
      const roster: Roster = {
        ...this.#view.tellRegion(nowMs, due.withNames),
        load: this.#regionLoad(),
      };
      datagrams.send("roster", roster, due.ips);
    } else {
      const digest = this.#view.tellRegions(nowMs, due.to);
      const said: RegionDigest = {
        ...digest,
        room: this.#options.room(),
        held: this.#options.regionHeld(digest.everyMs),
      };
      datagrams.send("digest", said, due.ips);
    }
  }

  #report(): Report {
    const { self, state, load, held } = this.#options;
    const everyMs = this.#view.reportEveryMs;
    const said = load();
    this.#saidLoad = said.load;
    return { ...self, everyMs, ...state(), ...said, held: held(everyMs) };
  }

  #sendNote(nowMs: number): void {
    const { self, datagrams, load, held } = this.#options;
    const { seen, sinceMs } = this.#notes.take(nowMs);
    const [first] = this.#view.leads;
    if (!first || first.id === self.id) return;
    const said = load();
    this.#saidLoad = said.load;
    const note: LoadNote = { id: self.id, ...said, seen, held: held(sinceMs) };
    datagrams.send("load", note, [first.ip]);
  }

  /** What all VMs of the region have under way, this one included. */
  #regionLoad(): Load {
    // Where all hear all, each adds up for itself.
    if (this.#view.hearsAll) return {};
    const sums = new Map<string, [number, number]>();
    for (const load of [this.book.load, this.#options.load().load]) {
      for (const [key, [running, waitingTokens]] of Object.entries(load)) {
        const sum = sums.get(key) ?? [0, 0];
        sums.set(key, [sum[0] + running, sum[1] + waitingTokens]);
      }
    }
    const most = [...sums].sort(([, a], [, b]) => b[0] - a[0])
      .slice(0, MOST_LOADS);
    return Object.fromEntries(most);
  }

  #onReport(report: Report | undefined): void {
    if (!report || report.id === this.#options.self.id || this.#closing) return;
    const nowMs = this.#clock.monoMs();
    const replies = this.#view.onReport(report, nowMs);
    for (const due of replies) this.#send(due);
    if (report.region === this.#options.self.region) {
      this.book.note(report.id, report, nowMs);
      this.#options.onHeld(report.held, true);
    }
    this.#wakeAt(this.#view.nextDueMs);
  }

  #onNote(note: LoadNote | undefined): void {
    if (!note || this.#closing) return;
    // Who does not report here takes this VM for a lead wrongly, and will learn who is.
    if (!this.#view.isLead) return;
    this.book.note(note.id, note, this.#clock.monoMs());
    this.#options.onSeen(note.id, note.seen);
    this.#options.onHeld(note.held, true);
  }

  #onRoster(roster: Roster | undefined): void {
    if (!roster || this.#closing) return;
    this.#view.onRoster(roster, this.#clock.monoMs());
    this.#noteLeads();
    this.#onNews();
    this.#wakeAt(this.#view.nextDueMs);
  }
}

function idsOf(vms: readonly VmRecord[]): string {
  return vms.map(({ id }) => id).join();
}
