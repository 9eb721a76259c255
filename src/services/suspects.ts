/**
 * The suspects service of the daemon: tracks the requests under which upstreams crashed, and shares them with the other
 * VMs.
 *
 * @module
 */

import {
  type KeyValue,
  probeAddress,
  SuspectStore,
  type Transport,
} from "../adapters/mod.ts";
import { type Clock, LagDetector, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  Task,
  type TaskPort,
} from "../kernel/mod.ts";
import {
  canBeCause,
  type CrashRow,
  decodeCrashes,
  encodeCrashes,
  type SuspectEvent,
  SuspectPublisher,
  SuspectTracker,
} from "../suspects/mod.ts";
import type { MembersMessages, SuspectsMessages } from "./messages.ts";

/** The method by which VMs report crashes to each other. */
const CRASHES_METHOD = "suspects.ends";
const SUSPECT_PREFIX = "/ibisgap/suspects/";
const TRIAL_PREFIX = "/ibisgap/trials/";
/** The store's shortest lease is one second. */
const MIN_LEASE_MS = 1_000;
const REPUBLISH_PERIOD_MS = 2_000;
/** Delay between reads of the store after a start, until it answers. */
const LOAD_RETRY_MS = 1_000;

/** Options of {@link SuspectsService}. */
export interface SuspectsOptions {
  readonly vmId: string;
  readonly region: string;
  readonly store: KeyValue;
  readonly transport: Transport;
}

/** Tracks suspects, detects crashes behind lost connections, and exchanges the crashes with other VMs. */
export class SuspectsService extends Task<SuspectsMessages> {
  readonly name = "suspects";
  readonly #options: SuspectsOptions;
  readonly #store: SuspectStore;
  #tracker!: SuspectTracker;
  #peers!: PeerPublisher;
  #clock!: Clock;
  #log!: Log;
  #lagDetector!: LagDetector;
  #timer: Timer | undefined;
  #isOpen = true;

  protected readonly handlers: Handlers<SuspectsMessages> = {
    judge: ({ traits, hasLeave, mostWaitMs }) =>
      this.#tracker.decide(traits, hasLeave, mostWaitMs),
    lost: (loss) => this.#handleLoss(loss),
    served: ({ traits, beganAgoMs }) => {
      this.#tracker.clear(traits, beganAgoMs);
    },
    trialOver: ({ trait, hasCrashed }) =>
      this.#tracker.releaseTrial(trait, hasCrashed),
  };

  constructor(options: SuspectsOptions) {
    super();
    this.#options = options;
    this.#store = new SuspectStore({
      store: options.store,
      vmId: options.vmId,
      leastLeaseMs: MIN_LEASE_MS,
      nowMs: () => this.#clock.monoMs(),
      // The stores of the own interface name no generation.
      restoredMs: () => -Infinity,
      suspectPrefix: SUSPECT_PREFIX,
      trialPrefix: TRIAL_PREFIX,
    });
  }

  start(kernel: Kernel): Promise<void> {
    const { clock } = kernel;
    this.#clock = clock;
    this.#log = kernel.log;
    this.#lagDetector = new LagDetector(clock);
    this.#peers = new PeerPublisher(
      this.#options,
      kernel.get("members"),
      kernel.log,
    );
    this.#tracker = new SuspectTracker(
      this.#peers,
      this.#store,
      () => clock.monoMs(),
      { sleep: (ms) => clock.sleep(ms), mayAsk: () => true },
    );
    this.#options.transport.handle(CRASHES_METHOD, async (params, from) => {
      const message = decodeCrashes(params);
      if (!message) return;
      const firstId = await this.#peers.firstVmId();
      this.#tracker.merge(message.rows, from.vmId === firstId);
    });
    this.#timer = clock.every(
      REPUBLISH_PERIOD_MS,
      () => void this.#republish(),
    );
    void this.#loadRecords();
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#isOpen = false;
    this.#timer?.close();
    this.#lagDetector.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return this.#tracker.dump();
  }

  async #handleLoss(
    { traits, isTrial, upstreamId, url, sentAgoMs, beganAgoMs }:
      SuspectsMessages["lost"]["in"],
  ): Promise<boolean> {
    const lostMs = this.#clock.monoMs();
    const { wasLate } = this.#lagDetector;
    const { hostname, port, protocol } = new URL(url);
    const defaultPort = protocol === "https:" ? 443 : 80;
    const reach = await probeAddress(
      hostname,
      Number(port) || defaultPort,
      this.#clock,
    );
    this.#log.warn("upstream lost", { upstream: upstreamId, reach, wasLate });
    const isCause = canBeCause(beganAgoMs === undefined ? {} : { beganAgoMs });
    // If this process runs late, a crashed upstream may already be back and accept connections. A broken link that is
    // taken for a crash is cleared by the next answer. A crash that is taken for a broken link would let a request that
    // crashes every upstream be retried without end.
    const hasEnded = reach === "refused" || (reach === "open" && wasLate);
    if (!hasEnded || !isCause) return false;
    const sentMs = sentAgoMs + this.#clock.monoMs() - lostMs;
    this.#tracker.noteCrash(traits, upstreamId, sentMs, isTrial);
    return true;
  }

  async #republish(): Promise<void> {
    const firstId = await this.#peers.firstVmId();
    this.#tracker.republish(firstId === this.#options.vmId);
  }

  async #loadRecords(): Promise<void> {
    while (this.#isOpen) {
      if (await this.#tracker.loadRecords()) return;
      await this.#clock.sleep(LOAD_RETRY_MS);
    }
  }
}

/** Publishes crashes to other VMs and logs events. */
class PeerPublisher extends SuspectPublisher {
  readonly #options: SuspectsOptions;
  readonly #members: TaskPort<MembersMessages>;
  readonly #log: Log;

  constructor(
    options: SuspectsOptions,
    members: TaskPort<MembersMessages>,
    log: Log,
  ) {
    super();
    this.#options = options;
    this.#members = members;
    this.#log = log;
  }

  publish(rows: readonly CrashRow[]): void {
    void this.#notifyPeers(rows);
  }

  noteEvent({ type, ...fields }: SuspectEvent): void {
    this.#log.warn(`suspect ${type}`, fields);
  }

  /** Returns the VM that sends the rows of all VMs: the one with the first id of this region. */
  async firstVmId(): Promise<string> {
    const regionVms = await this.#members.ask("region", undefined);
    const ids = [this.#options.vmId, ...regionVms.map(({ id }) => id)];
    return ids.reduce((first, id) => id < first ? id : first);
  }

  /** Sends to every known VM directly, because a region has only a few VMs. */
  async #notifyPeers(rows: readonly CrashRow[]): Promise<void> {
    const { vmId, region, transport } = this.#options;
    const regionVms = await this.#members.ask("region", undefined);
    const remoteVms = await this.#members.ask("others", undefined);
    const vms = [...regionVms, ...[...remoteVms.values()].flat()];
    for (const message of encodeCrashes(region, rows)) {
      for (const vm of vms) {
        if (vm.id !== vmId) {
          transport.notify(vm.peerAddress, CRASHES_METHOD, message);
        }
      }
    }
  }
}
