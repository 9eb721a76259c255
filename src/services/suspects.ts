/**
 * The service of suspects: requests under which upstreams ended, as the VMs of the own interface tell each other.
 *
 * @module
 */

import {
  type KeyValue,
  reachOf,
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

/** The method by which VMs tell each other of ends. */
const ENDS_METHOD = "suspects.ends";
const SUSPECT_PREFIX = "/ibisgap/suspects/";
const TRIAL_PREFIX = "/ibisgap/trials/";
/** The store's leases are seconds at least. */
const LEAST_LEASE_MS = 1_000;
const TELL_AGAIN_MS = 2_000;
/** How often the store is asked after a start until it answers. */
const LIST_AGAIN_MS = 1_000;

/** Options of {@link SuspectsService}. */
export interface SuspectsOptions {
  readonly vmId: string;
  readonly region: string;
  readonly store: KeyValue;
  readonly transport: Transport;
}

/** See the module. */
export class SuspectsService extends Task<SuspectsMessages> {
  readonly name = "suspects";
  readonly #options: SuspectsOptions;
  readonly #store: SuspectStore;
  #keeper!: SuspectTracker;
  #clock!: Clock;
  #log!: Log;
  #lateWatch!: LagDetector;
  #timer: Timer | undefined;
  #open = true;

  protected readonly handlers: Handlers<SuspectsMessages> = {
    judge: ({ digest, hasLeave }) => this.#keeper.decide(digest, hasLeave),
    lost: (loss) => this.#lost(loss),
    served: ({ digest }) => this.#keeper.clear(digest),
  };

  constructor(options: SuspectsOptions) {
    super();
    this.#options = options;
    this.#store = new SuspectStore({
      store: options.store,
      vmId: options.vmId,
      leastLeaseMs: LEAST_LEASE_MS,
      suspectPrefix: SUSPECT_PREFIX,
      trialPrefix: TRIAL_PREFIX,
    });
  }

  start(kernel: Kernel): Promise<void> {
    const { clock } = kernel;
    this.#clock = clock;
    this.#log = kernel.log;
    this.#lateWatch = new LagDetector(clock);
    this.#keeper = new SuspectTracker(
      new Links(this.#options, kernel.get("members"), kernel.log),
      this.#store,
      () => clock.monoMs(),
    );
    this.#options.transport.handle(ENDS_METHOD, (params) => {
      const told = decodeCrashes(params);
      if (told) this.#keeper.merge(told.rows);
    });
    this.#timer = clock.every(
      TELL_AGAIN_MS,
      () => this.#keeper.republish(false),
    );
    void this.#readStore();
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#open = false;
    this.#timer?.close();
    this.#lateWatch.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return this.#keeper.dump();
  }

  async #lost(
    { digest, upstreamId, url, sentAgoMs, beganAgoMs }:
      SuspectsMessages["lost"]["in"],
  ): Promise<void> {
    const lostMs = this.#clock.monoMs();
    const { wasLate } = this.#lateWatch;
    const { hostname, port, protocol } = new URL(url);
    const usualPort = protocol === "https:" ? 443 : 80;
    const reach = await reachOf(
      hostname,
      Number(port) || usualPort,
      this.#clock,
    );
    this.#log.warn("upstream lost", { upstream: upstreamId, reach, wasLate });
    const isCause = canBeCause(beganAgoMs === undefined ? {} : { beganAgoMs });
    // A process that is late may find an upstream back that had ended. Taken for an end, the next answer clears it; taken
    // for a broken link, a request that ends whatever runs it would go on and on.
    const hasEnded = reach === "refused" || (reach === "open" && wasLate);
    if (!hasEnded || !isCause) return;
    const sinceLostMs = this.#clock.monoMs() - lostMs;
    this.#keeper.noteCrash(digest, upstreamId, sentAgoMs + sinceLostMs);
  }

  async #readStore(): Promise<void> {
    while (this.#open) {
      if (await this.#keeper.loadRecords()) return;
      await this.#clock.sleep(LIST_AGAIN_MS);
    }
  }
}

/** This VM's ways to the others and the log. */
class Links extends SuspectPublisher {
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
    void this.#tellAll(rows);
  }

  noteEvent({ type, ...fields }: SuspectEvent): void {
    this.#log.warn(`suspect ${type}`, fields);
  }

  /** A few VMs a region: each tells all. */
  async #tellAll(rows: readonly CrashRow[]): Promise<void> {
    const { vmId, region, transport } = this.#options;
    const near = await this.#members.ask("region", undefined);
    const far = await this.#members.ask("others", undefined);
    const vms = [...near, ...[...far.values()].flat()];
    for (const told of encodeCrashes(region, rows)) {
      for (const vm of vms) {
        if (vm.id !== vmId) {
          transport.notify(vm.peerAddress, ENDS_METHOD, told);
        }
      }
    }
  }
}
