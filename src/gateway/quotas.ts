/**
 * Enforces the limits of workspaces: counts what requests use, for the region as its first lead, or against this VM's
 * local quota.
 *
 * The first lead of a region counts exactly what all of its VMs send, as part of the placement request that they send
 * to it anyway. Whoever counts next must not grant the same time again: a lead that begins to count, and a local quota
 * that is used again, have nothing left but what was handed over. Leads report their callers' demand to the first leads of
 * other regions, and they move shares of the limits among themselves.
 *
 * @module
 */

import { type Clock, PauseWatch, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
  type Handover,
  LocalQuota,
  MovingShares,
  type QuotaSlack,
  type QuotaUse,
  RegionQuota,
  type Shares,
} from "../quota/mod.ts";
import type { StoreView } from "../replication/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Members } from "./members.ts";
import {
  decodeHandover,
  decodeShares,
  decodeStandby,
  decodeUse,
  decodeUses,
  encodeHandover,
  encodeShares,
  encodeStandby,
  encodeUses,
  isCounter,
} from "./quota_wire.ts";

/** Who counted a request's use. */
export type CountedBy =
  /** This VM, as the region's first lead. */
  | "region"
  /** Another VM that is the first lead. */
  | "lead"
  /** This VM, against its local quota. */
  | "own";

/** Options of {@link Quotas}. */
export interface QuotasOptions {
  readonly self: { readonly id: string; readonly region: string };
  /** All regions. */
  readonly regions: readonly string[];
  /** Whether there are other VMs, whether or not this one hears them. */
  readonly hasOthers: boolean;
  readonly slack: QuotaSlack;
  readonly datagrams: Datagrams;
  readonly members: Members;
  readonly storeView: StoreView;
}

/** How often shares move: a quarter of the time over which demand is averaged. */
const TICK_MS = 250;
/**
 * How long a VM has to be the first lead before it counts for the region. Before that, it may lead only because it has
 * not heard of another lead yet.
 */
const AUTHORITY_DELAY_MS = 750;
/** How long a handover waits until this VM knows that it is the first lead. */
const HANDOVER_VALID_MS = 1_000;
/** A pause of at least this length is noticed; there is a tick in between otherwise. */
const MIN_PAUSE_MS = 400;
/** After a pause of this length other VMs may soon have taken the count over: they wait for a second at least. */
const MAX_COUNTER_PAUSE_MS = 750;
/** Maximum workspaces in one message of local use, about 2 KB. */
const MAX_TOLD_USES = 64;
/** Share of what a lead has left that its VMs may use if it falls silent. It may have granted the rest since it told. */
const TOLD_LEFT_SHARE = 0.5;
/** Longest retry delay if this VM's local quota is used up: the caller should soon try another VM. */
const MAX_LOCAL_WAIT_MS = 200;

/** What the previous lead handed over, in one or more parts. */
interface ReceivedHandover {
  readonly handover: Handover;
  readonly atMs: number;
}

/** Counts the use of each workspace's limit and exchanges shares with other VMs. */
export class Quotas extends Task {
  readonly name = "quotas";
  readonly #options: QuotasOptions;
  protected readonly handlers: Handlers<Messages> = {};
  #shares!: Shares;
  #regionQuota!: RegionQuota;
  #localQuota!: LocalQuota;
  #clock!: Clock;
  #log!: Log;
  #pauses!: PauseWatch;
  #timer: Timer | undefined;
  #firstLeadSinceMs: number | undefined;
  #isCounting = false;
  #handovers: readonly ReceivedHandover[] = [];
  /** Share of the region's VMs that report to this one, itself included. */
  #heardShare = 1;

  constructor(options: QuotasOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    const { self, regions, slack, datagrams, storeView } = this.#options;
    this.#clock = kernel.clock;
    this.#log = kernel.log;
    this.#pauses = new PauseWatch(kernel.clock, MIN_PAUSE_MS);
    const nowMs = this.#clock.monoMs();
    const limitOf = (workspace: string) =>
      storeView.config?.workspaces.get(workspace)?.quota;
    this.#shares = new MovingShares(self.region, regions, nowMs);
    this.#regionQuota = new RegionQuota(this.#shares, limitOf, slack, nowMs);
    this.#localQuota = new LocalQuota(self.id, limitOf, slack, nowMs);
    datagrams.on("shares", (params) => {
      const report = decodeShares(params);
      if (report) this.#shares.applyReport(report, this.#clock.monoMs());
    });
    datagrams.on("standby", (params) => {
      if (this.isAuthority) return;
      for (const row of decodeStandby(params)) {
        this.#regionQuota.applyStandby(row, this.#clock.monoMs());
      }
    });
    datagrams.on("unused", (params) => {
      const use = decodeUse(params);
      if (use) this.#regionQuota.refund(use);
    });
    datagrams.on("localUse", (params) => {
      if (!this.isAuthority) return;
      for (const use of decodeUses(params)) this.#takeOfRegion(use);
    });
    datagrams.on("handover", (params) => {
      const handover = decodeHandover(params);
      if (handover) this.#onHandover(handover);
    });
    this.#timer = this.#clock.every(TICK_MS, () => this.#tick());
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    return Promise.resolve();
  }

  dump(): unknown {
    const nowMs = this.#clock.monoMs();
    return {
      isAuthority: this.isAuthority,
      heard: this.#heardShare,
      vms: this.#options.members.sharerCount(),
      workspaces: Object.fromEntries(
        this.#regionQuota.standbyRows(nowMs).map((
          { workspace, level },
        ) => [workspace, {
          share: this.#shares.shareOf(workspace, nowMs),
          level,
        }]),
      ),
    };
  }

  /** Whether this VM counts for its whole region. */
  get isAuthority(): boolean {
    this.#refresh();
    return this.#isCounting;
  }

  /** Who counts the requests that this VM decides on. */
  get countedBy(): Exclude<CountedBy, "lead"> {
    return this.isAuthority ? "region" : "own";
  }

  /** Time until the use fits within the limit, in ms; 0 if it fits now. */
  waitMs(use: QuotaUse): number {
    const nowMs = this.#clock.monoMs();
    if (!this.isAuthority) {
      const sharers = this.#options.members.sharerCount();
      const waitMs = this.#localQuota.waitMs(use, sharers, nowMs);
      return Math.min(waitMs, MAX_LOCAL_WAIT_MS);
    }
    const waitMs = this.#regionQuota.waitMs(use, this.#heardShare, nowMs);
    if (waitMs > 0) this.#regionQuota.noteDemand(use, nowMs);
    return waitMs;
  }

  /** Counts a request that is sent. */
  take(use: QuotaUse): CountedBy {
    const nowMs = this.#clock.monoMs();
    if (!this.isAuthority) {
      const sharers = this.#options.members.sharerCount();
      this.#localQuota.take(use, sharers, nowMs);
      return "own";
    }
    this.#takeOfRegion(use);
    return "region";
  }

  #takeOfRegion(use: QuotaUse): void {
    const nowMs = this.#clock.monoMs();
    this.#regionQuota.noteDemand(use, nowMs);
    this.#regionQuota.take(use, this.#heardShare, nowMs);
  }

  /** Refunds the use of a counted request that has not run and never will. */
  refund(use: QuotaUse, by: CountedBy): void {
    if (by === "own") this.#localQuota.refund(use);
    else if (by === "region") this.#regionQuota.refund(use);
    else {
      const { datagrams, members } = this.#options;
      const [first] = members.leads;
      if (first) datagrams.send("unused", use, [first.ip]);
    }
  }

  /** Units left of a workspace for each of the region's VMs, should this one fall silent. */
  leftFor({ workspace }: QuotaUse): number {
    const leftUnits = this.#regionQuota
      .leftUnits(workspace, this.#clock.monoMs());
    const { regionVmCount } = this.#options.members;
    return Math.floor(leftUnits * TOLD_LEFT_SHARE / regionVmCount);
  }

  /** Notes that another VM, as the region's first lead, has just counted a request of this one, and what it has left. */
  noteCountedByLead({ workspace }: QuotaUse, leftUnits: unknown): void {
    const units = isCounter(leftUnits) ? leftUnits : 0;
    const nowMs = this.#clock.monoMs();
    this.#localQuota.noteCountedByLead(workspace, units, nowMs);
  }

  /** Handles what the VM that counted until now has left. */
  #onHandover(handover: Handover): void {
    this.#refresh();
    const nowMs = this.#clock.monoMs();
    const recent = this.#recentHandovers(nowMs);
    // A VM that has begun with a handover may still get other parts of it.
    if (this.#isCounting && recent.length === 0) return;
    this.#handovers = [...recent, { handover, atMs: nowMs }];
    if (this.#isCounting) this.#regionQuota.applyHandover(handover, nowMs);
    else this.#refresh();
  }

  #recentHandovers(nowMs: number): readonly ReceivedHandover[] {
    return this.#handovers
      .filter(({ atMs }) => nowMs - atMs < HANDOVER_VALID_MS);
  }

  /** Brings up to date whether this VM counts, before anything is decided. */
  #refresh(): void {
    const nowMs = this.#clock.monoMs();
    this.#notePause();
    if (!this.#isFirstLead) {
      this.#firstLeadSinceMs = undefined;
      if (this.#isCounting) this.#handOver(nowMs);
      return;
    }
    if (this.#firstLeadSinceMs === undefined) {
      this.#firstLeadSinceMs = nowMs;
      this.#regionQuota.startLeading(nowMs);
    }
    if (!this.#isCounting) this.#tryStartCounting(nowMs);
  }

  get #isFirstLead(): boolean {
    const { members, self, hasOthers } = this.#options;
    return members.leads[0]?.id === self.id &&
      (members.vmCount() > 1 || !hasOthers);
  }

  get #hearsOtherLead(): boolean {
    const { members, self } = this.#options;
    return members.leads.length > 0 && members.leads[0].id !== self.id;
  }

  /** Others may have counted and granted during a pause, so that neither the count nor its refill is this VM's own. */
  #notePause(): void {
    const pause = this.#pauses.note();
    if (!pause) return;
    const { fromMs, toMs, lengthMs } = pause;
    this.#localQuota.restart(toMs);
    this.#regionQuota.skipPause(fromMs, toMs);
    if (lengthMs < MAX_COUNTER_PAUSE_MS) return;
    this.#firstLeadSinceMs = undefined;
    this.#handovers = [];
    if (!this.#isCounting) return;
    this.#stopCounting("paused", { pauseMs: Math.round(lengthMs) });
  }

  #tryStartCounting(nowMs: number): void {
    const parts = this.#recentHandovers(nowMs).map(({ handover }) => handover);
    const [first, ...rest] = parts;
    const waitedMs = nowMs - this.#firstLeadSinceMs!;
    if (!first && waitedMs < AUTHORITY_DELAY_MS) return;
    this.#isCounting = true;
    this.#noteHeardShare();
    this.#regionQuota.startCounting(nowMs, first);
    for (const part of rest) this.#regionQuota.applyHandover(part, nowMs);
    this.#log.info("quota count begins", {
      reason: first ? "handover" : "first lead",
      workspaces: parts.flatMap(({ rows }) => rows).length,
      waitedMs: Math.round(waitedMs),
    });
  }

  #noteHeardShare(): void {
    const { members } = this.#options;
    this.#heardShare = Math.min(
      1,
      (members.reporters().length + 1) / members.regionVmCount,
    );
  }

  /** Hands the count over to the first lead, and grants nothing for the region any more. */
  #handOver(nowMs: number): void {
    const { datagrams, members, self } = this.#options;
    const next = members.leads.find(({ id }) => id !== self.id);
    const parts = this.#regionQuota.handOver(nowMs);
    this.#stopCounting("handover", { next: next?.id });
    if (!next) return;
    for (const part of parts) {
      datagrams.send("handover", encodeHandover(part), [next.ip]);
    }
  }

  #stopCounting(reason: string, fields: Record<string, unknown>): void {
    this.#isCounting = false;
    this.#handovers = [];
    this.#localQuota.restart(this.#clock.monoMs());
    this.#log.info("quota count ends", { reason, ...fields });
  }

  #tick(): void {
    this.#refresh();
    this.#tellLocalUse();
    const nowMs = this.#clock.monoMs();
    if (this.#firstLeadSinceMs === undefined) {
      if (this.#hearsOtherLead) this.#localQuota.restartIfIdle(nowMs);
      return;
    }
    this.#noteHeardShare();
    if (!this.#hasLimits()) return;
    if (this.#isCounting) {
      this.#shares.rebalance(nowMs);
      this.#sendStandby(nowMs);
    }
    this.#sendShares(nowMs);
  }

  /** A lead that was late to answer, and counts all the same, must take what was granted in its place from its own. */
  #tellLocalUse(): void {
    const uses = this.#localQuota.takeUntold(MAX_TOLD_USES);
    if (uses.length === 0) return;
    const { datagrams, members, self } = this.#options;
    const leads = members.leads.filter(({ id }) => id !== self.id);
    datagrams.send("localUse", encodeUses(uses), leads.map(({ ip }) => ip));
  }

  #hasLimits(): boolean {
    return (this.#options.storeView.config?.workspaces.count ?? 0) > 0;
  }

  #sendShares(nowMs: number): void {
    const { datagrams, members } = this.#options;
    for (const { digest } of members.otherRegions()) {
      const [first] = digest.leads;
      const report = this.#shares.buildReport(digest.from.region, nowMs);
      if (first && report) {
        datagrams.send("shares", encodeShares(report), [first.ip]);
      }
    }
  }

  #sendStandby(nowMs: number): void {
    const { datagrams, members, self } = this.#options;
    const others = members.leads.filter(({ id }) => id !== self.id);
    const rows = this.#regionQuota.nextStandbyRows(nowMs);
    if (rows.length > 0 && others.length > 0) {
      const ips = others.map(({ ip }) => ip);
      datagrams.send("standby", encodeStandby(rows), ips);
    }
  }
}
