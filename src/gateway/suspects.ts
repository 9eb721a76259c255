/**
 * Requests under which upstreams ended: what this VM saw of them and what others told, and who may run them.
 *
 * @module
 */

import { type KeyValue, SuspectStore } from "../adapters/mod.ts";
import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import { SUSPECT_PREFIX, TRIAL_PREFIX } from "../platform/mod.ts";
import type { Fleet } from "../routing/mod.ts";
import {
  decodeEnds,
  type EndNews,
  mayBeCause,
  type SuspectEvent,
  SuspectKeeper,
  SuspectLinks,
} from "../suspects/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import { EndTeller } from "./end_teller.ts";
import { LateSigns } from "./late_signs.ts";
import type { Loss, Losses } from "./losses.ts";
import type { Members } from "./members.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** What was told may be lost on the way: it is told again this often. */
const TELL_AGAIN_MS = 2_000;
/** What had begun as it was given up has ended its upstream by then, if it does. */
const ENDS_WITHIN_MS = 200;
/** How often the store is asked after a start until it answers. */
const LIST_AGAIN_MS = 1_000;

/** Options of {@link Suspects}. */
export interface SuspectOptions {
  readonly self: { readonly id: string; readonly region: string };
  readonly datagrams: Datagrams;
  readonly members: Members;
  readonly fleet: Fleet;
  readonly losses: Losses;
  readonly store: KeyValue;
  readonly leastLeaseMs: number;
  readonly metrics: GatewayMetrics;
}

/** See the module. */
export class Suspects extends Task {
  readonly name = "suspects";
  readonly #options: SuspectOptions;
  readonly #store: SuspectStore;
  protected readonly handlers: Handlers<Messages> = {};
  #keeper!: SuspectKeeper;
  #teller!: EndTeller;
  #lateSigns!: LateSigns;
  #clock!: Clock;
  #timer: Timer | undefined;
  #open = true;

  constructor(options: SuspectOptions) {
    super();
    this.#options = options;
    const { store, self, leastLeaseMs } = options;
    this.#store = new SuspectStore({
      store,
      vmId: self.id,
      leastLeaseMs,
      suspectPrefix: SUSPECT_PREFIX,
      trialPrefix: TRIAL_PREFIX,
    });
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    const { clock } = kernel;
    const { datagrams, members, metrics, self } = this.#options;
    this.#teller = new EndTeller(self.region, datagrams, members, clock);
    this.#lateSigns = new LateSigns(
      this.#options.fleet,
      clock,
      (digest, loss, lostMs) => void this.#noteEnd(digest, loss, lostMs),
    );
    this.#keeper = new SuspectKeeper(
      new Links(this.#teller, metrics, kernel.log),
      this.#store,
      () => clock.monoMs(),
    );
    datagrams.on("ends", (params) => this.#onTold(params));
    this.#timer = clock.every(
      TELL_AGAIN_MS,
      () => this.#keeper.tellAgain(members.leads[0]?.id === self.id),
    );
    void this.#readStore();
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#open = false;
    this.#timer?.close();
    this.#teller.close();
    this.#lateSigns.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return this.#keeper.dump();
  }

  /** What is known and decided. */
  get keeper(): SuspectKeeper {
    return this.#keeper;
  }

  /**
   * Looks whether an upstream ended under a request that had just begun there, and tells the others. Resolves to the name
   * of the end if so.
   */
  async noteLoss(digest: string, loss: Loss): Promise<string | undefined> {
    const { upstream } = loss;
    const lostMs = this.#clock.monoMs();
    // An upstream that leaves ends by plan, whatever still runs there.
    const isLeaving = this.#options.fleet.get(upstream.id)?.state ===
      "draining";
    if (loss.isGivenUp) await this.#clock.sleep(ENDS_WITHIN_MS);
    const reach = await this.#options.losses.look(upstream);
    if (isLeaving || !mayBeCause(loss)) return undefined;
    if (reach === "refused") return this.#noteEnd(digest, loss, lostMs);
    if (reach === "open") this.#lateSigns.add(digest, loss, lostMs);
    return undefined;
  }

  #noteEnd(
    digest: string,
    { upstream, sentAgoMs }: Loss,
    lostMs: number,
  ): string {
    const sinceLostMs = this.#clock.monoMs() - lostMs;
    return this.#keeper.noteEnd(digest, upstream.key, sentAgoMs + sinceLostMs);
  }

  async #readStore(): Promise<void> {
    while (this.#open) {
      if (await this.#keeper.readRecords()) return;
      await this.#clock.sleep(LIST_AGAIN_MS);
    }
  }

  #onTold(params: unknown): void {
    const told = decodeEnds(params);
    if (!told) return;
    const rows = this.#keeper.adopt(told.rows);
    const { members, self } = this.#options;
    if (rows.length === 0 || !members.isLead) return;
    this.#teller.tell(rows, told.region === self.region);
  }
}

/** This VM's ways to the others and the log. */
class Links extends SuspectLinks {
  readonly #teller: EndTeller;
  readonly #metrics: GatewayMetrics;
  readonly #log: Log;

  constructor(teller: EndTeller, metrics: GatewayMetrics, log: Log) {
    super();
    this.#teller = teller;
    this.#metrics = metrics;
    this.#log = log;
  }

  tell(rows: readonly EndNews[]): void {
    this.#teller.tell(rows, true);
  }

  note({ type, ...fields }: SuspectEvent): void {
    this.#metrics.count("suspect_events", `type="${type}"`);
    this.#log.warn(SUSPECT_LINES[type], fields);
  }
}

/** The log's line of each event. */
const SUSPECT_LINES: Readonly<Record<SuspectEvent["type"], string>> = {
  ended: "upstream ended under",
  cleared: "suspect cleared",
  trial: "suspect on trial",
  notStored: "suspect not stored",
};
