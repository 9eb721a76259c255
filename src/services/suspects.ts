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
import { type Clock, LateWatch, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Port,
  Task,
} from "../kernel/mod.ts";
import {
  decodeEnds,
  encodeEnds,
  type EndNews,
  mayBeCause,
  type SuspectEvent,
  SuspectKeeper,
  SuspectLinks,
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
  #keeper!: SuspectKeeper;
  #clock!: Clock;
  #log!: Log;
  #lateWatch!: LateWatch;
  #timer: Timer | undefined;
  #open = true;

  protected readonly handlers: Handlers<SuspectsMessages> = {
    judge: ({ digest, hasLeave }) => this.#keeper.judge(digest, hasLeave),
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
    this.#lateWatch = new LateWatch(clock);
    this.#keeper = new SuspectKeeper(
      new Links(this.#options, kernel.get("members"), kernel.log),
      this.#store,
      () => clock.monoMs(),
    );
    this.#options.transport.handle(ENDS_METHOD, (params) => {
      const told = decodeEnds(params);
      if (told) this.#keeper.adopt(told.rows);
    });
    this.#timer = clock.every(
      TELL_AGAIN_MS,
      () => this.#keeper.tellAgain(false),
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
    const isCause = mayBeCause(beganAgoMs === undefined ? {} : { beganAgoMs });
    // A process that is late may find an upstream back that had ended. Taken for an end, the next answer clears it; taken
    // for a broken link, a request that ends whatever runs it would go on and on.
    const hasEnded = reach === "refused" || (reach === "open" && wasLate);
    if (!hasEnded || !isCause) return;
    const sinceLostMs = this.#clock.monoMs() - lostMs;
    this.#keeper.noteEnd(digest, upstreamId, sentAgoMs + sinceLostMs);
  }

  async #readStore(): Promise<void> {
    while (this.#open) {
      if (await this.#keeper.readRecords()) return;
      await this.#clock.sleep(LIST_AGAIN_MS);
    }
  }
}

/** This VM's ways to the others and the log. */
class Links extends SuspectLinks {
  readonly #options: SuspectsOptions;
  readonly #members: Port<MembersMessages>;
  readonly #log: Log;

  constructor(
    options: SuspectsOptions,
    members: Port<MembersMessages>,
    log: Log,
  ) {
    super();
    this.#options = options;
    this.#members = members;
    this.#log = log;
  }

  tell(rows: readonly EndNews[]): void {
    void this.#tellAll(rows);
  }

  note({ type, ...fields }: SuspectEvent): void {
    this.#log.warn(`suspect ${type}`, fields);
  }

  /** A few VMs a region: each tells all. */
  async #tellAll(rows: readonly EndNews[]): Promise<void> {
    const { vmId, region, transport } = this.#options;
    const near = await this.#members.ask("region", undefined);
    const far = await this.#members.ask("others", undefined);
    const vms = [...near, ...[...far.values()].flat()];
    for (const told of encodeEnds(region, rows)) {
      for (const vm of vms) {
        if (vm.id !== vmId) {
          transport.notify(vm.peerAddress, ENDS_METHOD, told);
        }
      }
    }
  }
}
