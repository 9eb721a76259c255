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
  canBeCause,
  type CrashRow,
  decodeCrashes,
  type SuspectEvent,
  SuspectPublisher,
  SuspectTracker,
} from "../suspects/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import { CrashNotifier } from "./crash_notifier.ts";
import { RestartWatch } from "./restart_watch.ts";
import type { Loss, LossProber } from "./losses.ts";
import type { Members } from "./members.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** What was told may be lost on the way: it is told again this often. */
const RESEND_INTERVAL_MS = 2_000;
/** What had begun as it was given up has ended its upstream by then, if it does. */
const CRASH_WAIT_MS = 200;
/** How often the store is asked after a start until it answers. */
const STORE_RETRY_MS = 1_000;

/** Options of {@link Suspects}. */
export interface SuspectOptions {
  readonly self: { readonly id: string; readonly region: string };
  readonly datagrams: Datagrams;
  readonly members: Members;
  readonly fleet: Fleet;
  readonly losses: LossProber;
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
  #keeper!: SuspectTracker;
  #teller!: CrashNotifier;
  #lateSigns!: RestartWatch;
  #clock!: Clock;
  #timer: Timer | undefined;
  #isOpen = true;

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
    this.#teller = new CrashNotifier(self.region, datagrams, members, clock);
    this.#lateSigns = new RestartWatch(
      this.#options.fleet,
      clock,
      (digest, loss, lostMs) => void this.#noteEnd(digest, loss, lostMs),
    );
    this.#keeper = new SuspectTracker(
      new SuspectNotifier(this.#teller, metrics, kernel.log),
      this.#store,
      () => clock.monoMs(),
    );
    datagrams.on("ends", (params) => this.#onCrashes(params));
    this.#timer = clock.every(
      RESEND_INTERVAL_MS,
      () => this.#keeper.republish(members.leads[0]?.id === self.id),
    );
    void this.#loadRecords();
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#isOpen = false;
    this.#timer?.close();
    this.#teller.close();
    this.#lateSigns.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return this.#keeper.dump();
  }

  /** What is known and decided. */
  get keeper(): SuspectTracker {
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
    const isDraining = this.#options.fleet.get(upstream.id)?.state ===
      "draining";
    if (loss.isGivenUp) await this.#clock.sleep(CRASH_WAIT_MS);
    const reach = await this.#options.losses.probe(upstream);
    if (isDraining || !canBeCause(loss)) return undefined;
    if (reach === "refused") return this.#noteEnd(digest, loss, lostMs);
    if (reach === "open") this.#lateSigns.watch(digest, loss, lostMs);
    return undefined;
  }

  #noteEnd(
    digest: string,
    { upstream, sentAgoMs }: Loss,
    lostMs: number,
  ): string {
    const sinceLostMs = this.#clock.monoMs() - lostMs;
    return this.#keeper.noteCrash(
      digest,
      upstream.key,
      sentAgoMs + sinceLostMs,
    );
  }

  async #loadRecords(): Promise<void> {
    while (this.#isOpen) {
      if (await this.#keeper.loadRecords()) return;
      await this.#clock.sleep(STORE_RETRY_MS);
    }
  }

  #onCrashes(params: unknown): void {
    const message = decodeCrashes(params);
    if (!message) return;
    const rows = this.#keeper.merge(message.rows);
    const { members, self } = this.#options;
    if (rows.length === 0 || !members.isLead) return;
    this.#teller.notify(rows, message.region === self.region);
  }
}

/** This VM's ways to the others and the log. */
class SuspectNotifier extends SuspectPublisher {
  readonly #teller: CrashNotifier;
  readonly #metrics: GatewayMetrics;
  readonly #log: Log;

  constructor(teller: CrashNotifier, metrics: GatewayMetrics, log: Log) {
    super();
    this.#teller = teller;
    this.#metrics = metrics;
    this.#log = log;
  }

  publish(rows: readonly CrashRow[]): void {
    this.#teller.notify(rows, true);
  }

  noteEvent({ type, ...fields }: SuspectEvent): void {
    this.#metrics.count("suspect_events", `type="${type}"`);
    this.#log.warn(SUSPECT_EVENTS[type], fields);
  }
}

/** The log's line of each event. */
const SUSPECT_EVENTS: Readonly<Record<SuspectEvent["type"], string>> = {
  ended: "upstream ended under",
  cleared: "suspect cleared",
  trial: "suspect on trial",
  notStored: "suspect not stored",
};
