/**
 * Requests under which upstreams crashed: what this VM saw, what other VMs reported, and who may run such a request
 * again.
 *
 * @module
 */

import { type KeyValue, SuspectStore } from "../adapters/mod.ts";
import { type Clock, Random, type Timer } from "../base/mod.ts";
import { type Handlers, type Kernel, type Log, Task } from "../kernel/mod.ts";
import { SUSPECT_PREFIX, TRIAL_PREFIX } from "../platform/mod.ts";
import type { Fleet } from "../routing/mod.ts";
import {
  canBeCause,
  type CrashRow,
  decodeCrashes,
  type SuspectEvent,
  SuspectPublisher,
  SuspectTracker,
  type Traits,
} from "../suspects/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import { CrashNotifier } from "./crash_notifier.ts";
import { RestartWatch } from "./restart_watch.ts";
import type { Loss, LossProber } from "./losses.ts";
import type { Members } from "./members.ts";
import type { GatewayMetrics } from "./metrics.ts";

/** How often reported crashes are sent again, since datagrams may be lost. */
const RESEND_INTERVAL_MS = 2_000;
/** Wait after a request was given up: if it had begun and crashes its upstream, it has done so by then. */
const CRASH_WAIT_MS = 200;
/** Number of VMs that ask the store at once for the trial of a part, if requests with it come everywhere. */
const MAX_ASKING_VMS = 10;
/** How often suspects are stored again, so that their leases don't lapse. */
const REWRITE_INTERVAL_MS = 5 * 60_000;
/** How often the store is read after a start, until it answers. */
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
  /** When the store came back from an older copy, on the monotonic clock; `-Infinity` if it didn't. */
  readonly restoredMonoMs: () => number;
}

/** The messages of the task. */
export type SuspectsMessages = {
  /** Clears a request or a part of prompts on all VMs, by its hash. Resolves to the number of crashes it had. */
  clear: { in: { readonly trait: string }; out: number };
};

/** Records the crashes that this VM sees, and exchanges crashes with other VMs. */
export class Suspects extends Task<SuspectsMessages> {
  readonly name = "suspects";
  readonly #options: SuspectOptions;
  readonly #store: SuspectStore;
  protected readonly handlers: Handlers<SuspectsMessages> = {
    clear: ({ trait }) => this.#tracker.clear([trait]),
  };
  #tracker!: SuspectTracker;
  #notifier!: CrashNotifier;
  #restartWatch!: RestartWatch;
  #clock!: Clock;
  #timer: Timer | undefined;
  #rewrittenMs = -Infinity;
  #isOpen = true;

  constructor(options: SuspectOptions) {
    super();
    this.#options = options;
    const { store, self, leastLeaseMs, restoredMonoMs } = options;
    this.#store = new SuspectStore({
      store,
      vmId: self.id,
      nowMs: () => this.#clock.monoMs(),
      restoredMs: restoredMonoMs,
      leastLeaseMs,
      suspectPrefix: SUSPECT_PREFIX,
      trialPrefix: TRIAL_PREFIX,
    });
  }

  start(kernel: Kernel): Promise<void> {
    this.#clock = kernel.clock;
    const { clock } = kernel;
    const { datagrams, members, metrics, self } = this.#options;
    this.#notifier = new CrashNotifier(self.region, datagrams, members, clock);
    this.#restartWatch = new RestartWatch(
      this.#options.fleet,
      clock,
      (traits, loss, lostMs) => void this.#noteCrash(traits, loss, lostMs),
    );
    const random = new Random(process.pid);
    this.#tracker = new SuspectTracker(
      new SuspectNotifier(this.#notifier, metrics, kernel.log),
      this.#store,
      () => clock.monoMs(),
      {
        sleep: (ms) => clock.sleep(ms),
        mayAsk: () => random.next() * members.vmCount() < MAX_ASKING_VMS,
      },
    );
    datagrams.on("ends", (params, ip) => this.#onCrashes(params, ip));
    this.#timer = clock.every(
      RESEND_INTERVAL_MS,
      () => this.#republish(members.leads[0]?.id === self.id),
    );
    void this.#loadRecords();
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#isOpen = false;
    this.#timer?.close();
    this.#notifier.close();
    this.#restartWatch.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return this.#tracker.dump();
  }

  /** Tracks the known suspects, and decides whether they may run. */
  get tracker(): SuspectTracker {
    return this.#tracker;
  }

  /**
   * Checks whether an upstream crashed under a request that had just begun there, and notifies the other VMs if so.
   * `isTrial` is set if no other request with its suspected traits ran meanwhile. Resolves to the key of that upstream,
   * or to `undefined`.
   */
  async noteLoss(
    traits: Traits,
    loss: Loss,
    isTrial: boolean,
  ): Promise<string | undefined> {
    const { upstream } = loss;
    const lostMs = this.#clock.monoMs();
    // An upstream that leaves stops as planned, whatever still runs there.
    const isLeaving = this.#options.fleet.isLeaving(upstream.key);
    if (loss.isGivenUp) await this.#clock.sleep(CRASH_WAIT_MS);
    const reach = await this.#options.losses.probe(upstream);
    if (isLeaving || !canBeCause(loss)) return undefined;
    if (reach === "refused") {
      return this.#noteCrash(traits, loss, lostMs, isTrial);
    }
    if (reach === "open") this.#restartWatch.watch(traits, loss, lostMs);
    return undefined;
  }

  #noteCrash(
    traits: Traits,
    { upstream, sentAgoMs }: Loss,
    lostMs: number,
    isTrial = false,
  ): string {
    const sinceLostMs = this.#clock.monoMs() - lostMs;
    return this.#tracker.noteCrash(
      traits,
      upstream.key,
      sentAgoMs + sinceLostMs,
      isTrial,
    );
  }

  #republish(isFirstLead: boolean): void {
    // One VM of a region writes the records again that the store may have lost.
    const nowMs = this.#clock.monoMs();
    const isDue = nowMs - this.#rewrittenMs >= REWRITE_INTERVAL_MS;
    if (this.#store.takeLoss() || isDue) {
      this.#rewrittenMs = nowMs;
      if (isFirstLead) this.#tracker.storeAgain();
    }
    this.#tracker.republish(isFirstLead);
  }

  async #loadRecords(): Promise<void> {
    while (this.#isOpen) {
      if (await this.#tracker.loadRecords()) return;
      await this.#clock.sleep(STORE_RETRY_MS);
    }
  }

  #onCrashes(params: unknown, fromIp: string): void {
    const message = decodeCrashes(params);
    if (!message) return;
    const { members, self } = this.#options;
    const isFromFirst = members.leads[0]?.ip === fromIp;
    const rows = this.#tracker.merge(message.rows, isFromFirst);
    if (rows.length === 0 || !members.isLead) return;
    this.#notifier.notify(rows, message.region === self.region);
  }
}

/** Passes the tracker's output on to other VMs, the metrics and the log. */
class SuspectNotifier extends SuspectPublisher {
  readonly #notifier: CrashNotifier;
  readonly #metrics: GatewayMetrics;
  readonly #log: Log;

  constructor(notifier: CrashNotifier, metrics: GatewayMetrics, log: Log) {
    super();
    this.#notifier = notifier;
    this.#metrics = metrics;
    this.#log = log;
  }

  publish(rows: readonly CrashRow[]): void {
    this.#notifier.notify(rows, true);
  }

  noteEvent({ type, ...fields }: SuspectEvent): void {
    this.#metrics.count("suspect_events", `type="${type}"`);
    this.#log.warn(SUSPECT_EVENTS[type], fields);
  }
}

/** The log event of each suspect event. */
const SUSPECT_EVENTS: Readonly<Record<SuspectEvent["type"], string>> = {
  ended: "upstream ended under",
  cleared: "suspect cleared",
  trial: "suspect on trial",
  notStored: "suspect not stored",
};
