/**
 * Enforces the limits of workspaces: counts what requests use, for the region as its first lead, or against this VM's
 * local quota.
 *
 * The first lead of a region counts exactly what all of its VMs send, as part of the placement request that they send
 * to it anyway. It reports its callers' demand to the first leads of other regions, and they move shares of the limits
 * among themselves.
 *
 * @module
 */

import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import {
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
  decodeShares,
  decodeStandby,
  decodeUse,
  encodeShares,
  encodeStandby,
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
/** Longest retry delay if this VM's local quota is used up: the caller should soon try another VM. */
const MAX_LOCAL_WAIT_MS = 200;

/** Counts the use of each workspace's limit and exchanges shares with other VMs. */
export class Quotas extends Task {
  readonly name = "quotas";
  readonly #options: QuotasOptions;
  protected readonly handlers: Handlers<Messages> = {};
  #shares!: Shares;
  #regionQuota!: RegionQuota;
  #localQuota!: LocalQuota;
  #clock!: Clock;
  #timer: Timer | undefined;
  #firstLeadSinceMs: number | undefined;
  /** Share of the region's VMs that report to this one, itself included. */
  #heardShare = 1;

  constructor(options: QuotasOptions) {
    super();
    this.#options = options;
  }

  start(kernel: Kernel): Promise<void> {
    const { self, regions, slack, datagrams, storeView } = this.#options;
    this.#clock = kernel.clock;
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
    return this.#firstLeadSinceMs !== undefined &&
      this.#clock.monoMs() - this.#firstLeadSinceMs >= AUTHORITY_DELAY_MS;
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
    this.#regionQuota.noteDemand(use, nowMs);
    this.#regionQuota.take(use, this.#heardShare, nowMs);
    return "region";
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

  #tick(): void {
    const { members, self, hasOthers } = this.#options;
    const nowMs = this.#clock.monoMs();
    const vmCount = members.vmCount();
    const isFirstLead = members.leads[0]?.id === self.id &&
      (vmCount > 1 || !hasOthers);
    if (!isFirstLead) {
      this.#firstLeadSinceMs = undefined;
      return;
    }
    if (this.#firstLeadSinceMs === undefined) {
      this.#firstLeadSinceMs = nowMs;
      this.#regionQuota.startLeading(nowMs);
    }
    this.#heardShare = Math.min(
      1,
      (members.reporters().length + 1) / members.regionVmCount,
    );
    if (!this.#hasLimits()) return;
    if (this.isAuthority) {
      this.#shares.rebalance(nowMs);
      this.#sendStandby(nowMs);
    }
    this.#sendShares(nowMs);
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
