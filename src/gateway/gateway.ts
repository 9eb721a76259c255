/**
 * The gateway of one VM: its services, in the order in which they start.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { type Clock, systemClock } from "../base/mod.ts";
import { Kernel, type Log } from "../kernel/mod.ts";
import { PlatformKeyValue } from "../platform/mod.ts";
import { isReader } from "../region/mod.ts";
import { PeerRpc, StoreView } from "../replication/mod.ts";
import { BusyConnections } from "./busy_connections.ts";
import { BYTES_PER_MB, GatewayContext } from "./context.ts";
import { Datagrams } from "./datagrams.ts";
import { Directory } from "./directory.ts";
import { HttpListeners } from "./http_listeners.ts";
import { splitAddress } from "./listen.ts";
import { LossProber } from "./losses.ts";
import { Members } from "./members.ts";
import { MemoryWatch } from "./memory_watch.ts";
import { GatewayMetrics } from "./metrics.ts";
import { StreamOrigins } from "./origins.ts";
import { Placer } from "./placer.ts";
import { Quotas } from "./quotas.ts";
import { Relays } from "./relays.ts";
import { computeRoom } from "./room.ts";
import type { GatewaySettings } from "./settings.ts";
import { drain } from "./drain.ts";
import { Suspects, type SuspectsMessages } from "./suspects.ts";
import { UpstreamNotices } from "./upstream_notices.ts";
import { Upstreams } from "./upstreams.ts";

/** Time for the services to close after the last answer. */
const CLOSE_TIMEOUT_MS = 200;

/**
 * A poll of the store that finds no change waits for this share of `strictRevokeMs`, the time within which revoked keys
 * must be refused. The rest of that time is for passing the change on.
 */
const STRICT_REVOKE_WAIT_SHARE = 0.4;

/** What a store allows to all VMs together, unless the settings say so. */
const DEFAULT_STORE_WRITES_PER_S = 400;
const DEFAULT_STORE_READS_PER_S = 2_000;

/** Shown by the metrics where there is no configuration. */
const NO_VERSION = -1;

/** Options of {@link Gateway.open}. */
export interface GatewayOptions {
  readonly clock?: Clock;
  /**
   * When the process began, on the monotonic clock; now if absent. What the process before it used of limits that all VMs
   * share counts for a window from then on.
   */
  readonly startMonoMs?: number;
}

/** A running gateway. */
export class Gateway {
  readonly #kernel: Kernel;
  readonly #context: GatewayContext;
  readonly #listeners: HttpListeners;
  readonly #store: PlatformKeyValue;
  readonly #storeView: StoreView;

  private constructor(
    kernel: Kernel,
    context: GatewayContext,
    listeners: HttpListeners,
    store: PlatformKeyValue,
    storeView: StoreView,
  ) {
    this.#kernel = kernel;
    this.#context = context;
    this.#listeners = listeners;
    this.#store = store;
    this.#storeView = storeView;
  }

  /** Starts all services, the listeners for callers last. Fails if an address is taken. */
  static async open(
    settings: GatewaySettings,
    log: Log,
    { clock = systemClock, startMonoMs = clock.monoMs() }: GatewayOptions = {},
  ): Promise<Gateway> {
    const { vm } = settings;
    const kernel = new Kernel(clock, log);
    const { strictRevokeMs } = settings.bounds;
    const store = new PlatformKeyValue(settings.store.address);
    const storeView = new StoreView({
      vmId: vm.id,
      store,
      failureDomains: settings.failureDomains,
      isReader: () => isReader(vm.id, members.order),
      operatorPollWaitMs: strictRevokeMs &&
        strictRevokeMs * STRICT_REVOKE_WAIT_SHARE,
    });
    const datagrams = new Datagrams(vm.ip, settings.listen.beats);
    const members: Members = new Members({
      self: {
        id: vm.id,
        ip: vm.ip,
        region: vm.region,
        failureDomain: vm.failureDomain,
        bornMs: clock.nowMs(),
        cores: vm.coreShare * vm.coreSpeed,
      },
      datagrams,
      store,
      leastLeaseMs: settings.store.leastLeaseMs,
      seedIps: settings.seeds.map((address) => splitAddress(address).host),
      state: () => ({
        ready: directory.isReady,
        ...(context.isDraining
          ? { servesMs: Math.round(context.endMonoMs - clock.monoMs()) }
          : {}),
        copies: storeView.copies,
        isServed: storeView.isServed,
        ...(strictRevokeMs === undefined
          ? {}
          : { configAgeMs: Math.round(storeView.configAgeMs) }),
        ...storeView.announcedConfig,
        ...storeView.restores.announced,
        ...storeView.announcedLeaving,
      }),
      load: () => ({ load: upstreams.load(), asked: placer.settledQueryId }),
      held: (ms) => upstreams.partsReadWithin(ms),
      regionHeld: (ms) => upstreams.regionPartsReadWithin(ms),
      room: () =>
        computeRoom(
          storeView.config,
          (service) => upstreams.currentCandidates(service),
          (service) => upstreams.paceOf(service),
        ),
      onHeld: (held, isOwnRegion) => upstreams.noteHeldParts(held, isOwnRegion),
      onOutcomes: (vmId, seen) => upstreams.noteOutcomes(vmId, seen),
    });
    const upstreams = new Upstreams(storeView.fleet, members, vm);
    members.loads.onTokensAdded = (key) =>
      upstreams.streamWatch.noteGrowthAt(key);
    members.onRosterReceived(() => upstreams.noteRoster());
    const relays = new Relays(
      members,
      splitAddress(settings.listen.peers).port,
    );
    const metrics = new GatewayMetrics();
    for (const topic of ["operators", "upstreams"] as const) {
      metrics.gauge(
        "store_copy_age_seconds",
        `copy="${topic}"`,
        () => storeView.agreedAgoMs(topic) / 1_000,
      );
      metrics.gauge(
        "store_copy_generation",
        `copy="${topic}"`,
        () => storeView.copies[topic].generation ?? 0,
      );
    }
    metrics.gauge(
      "config_version",
      'of="gateway"',
      () => storeView.config?.version ?? NO_VERSION,
    );
    metrics.gauge(
      "config_version",
      'of="store"',
      () => storeView.storedConfigVersion ?? NO_VERSION,
    );
    metrics.gauge(
      "upstreams_leaving",
      "",
      () => storeView.fleet.announcedLeaving.length,
    );
    const losses = new LossProber(clock, log, metrics);
    losses.onGone = (key) => {
      upstreams.noteGone(key);
      members.noteSendEnd([key, "gone"]);
    };
    const suspects = new Suspects({
      self: vm,
      datagrams,
      members,
      fleet: storeView.fleet,
      losses,
      store,
      leastLeaseMs: settings.store.leastLeaseMs,
      metrics,
      restoredMonoMs: () => storeView.restores.latestMonoMs,
    });
    const processId = `${vm.id}-${randomUUID()}`;
    const origins = new StreamOrigins({
      self: { ...vm, processId },
      datagrams,
      members,
      fleet: storeView.fleet,
      routes: () => storeView.config?.routes,
      store,
      leastLeaseMs: settings.store.leastLeaseMs,
      storeWritesPerS: settings.store.writesPerS ?? DEFAULT_STORE_WRITES_PER_S,
      storeReadsPerS: settings.store.readsPerS ?? DEFAULT_STORE_READS_PER_S,
      isFirstStart: settings.firstStart ?? false,
      metrics,
      entriesAgeMs: () => storeView.agreedAgoMs("upstreams"),
      refreshEntries: () => storeView.refresh(),
    });
    storeView.onConfig = () => origins.noteRoutes();
    const { quotaExcess, quotaSlack, quotaWindowMs } = settings.bounds;
    const quotas = new Quotas({
      self: vm,
      regions: Object.values(settings.failureDomains),
      hasOthers: settings.seeds.some((seed) =>
        splitAddress(seed).host !== vm.ip
      ),
      slack: {
        excess: quotaExcess,
        slackUnits: quotaSlack,
        windowMs: quotaWindowMs,
      },
      datagrams,
      members,
      storeView,
    });
    const placer = new Placer({
      self: vm,
      datagrams,
      members,
      storeView,
      upstreams,
      relays,
      metrics,
      quotas,
    });
    const context = new GatewayContext({
      settings,
      clock,
      startMonoMs,
      log,
      storeView,
      members,
      upstreams,
      relays,
      placer,
      quotas,
      metrics,
      losses,
      notices: new UpstreamNotices(log, metrics, storeView, upstreams),
      suspects,
      origins,
    });
    const memoryWatch = new MemoryWatch({
      metrics,
      limitBytes: () => context.settings.vm.memoryMb * BYTES_PER_MB,
      held: () => context.held,
    });
    const directory = new Directory(context);
    const peerRpc = new PeerRpc({
      storeView,
      members,
      port: splitAddress(settings.listen.peers).port,
      metrics,
      callBudget: context.peerCalls,
      region: vm.region,
      methods: {
        clearSuspect: (request: SuspectsMessages["clear"]["in"]) =>
          kernel.get<SuspectsMessages>("suspects").ask("clear", request),
      },
    });
    const listeners = new HttpListeners(context, peerRpc);
    const tasks = [
      memoryWatch,
      new BusyConnections(settings.listen, metrics),
      datagrams,
      relays,
      storeView,
      upstreams,
      quotas,
      suspects,
      origins,
      placer,
      members,
      peerRpc,
      listeners,
      directory,
    ];
    for (const task of tasks) await kernel.start(task);
    return new Gateway(kernel, context, listeners, store, storeView);
  }

  /** The state of each service, by name. */
  dump(): Record<string, unknown> {
    return this.#kernel.dump();
  }

  /**
   * Applies changed settings. Bounds, memory and failure domains take effect at once; identity and addresses need a
   * restart, and a change of them is logged and ignored.
   */
  reload(settings: GatewaySettings): void {
    const { settings: previous, log } = this.#context;
    const needsRestart = JSON.stringify([
      previous.vm.id,
      previous.vm.ip,
      previous.listen,
      previous.store,
    ]) !==
      JSON.stringify([
        settings.vm.id,
        settings.vm.ip,
        settings.listen,
        settings.store,
      ]);
    const { vm, bounds, failureDomains, seeds } = settings;
    this.#context.settings = {
      ...previous,
      vm: {
        ...previous.vm,
        memoryMb: vm.memoryMb,
        mostDescriptors: vm.mostDescriptors,
      },
      bounds,
      failureDomains,
      seeds,
    };
    this.#storeView.setFailureDomains(failureDomains);
    log.info("settings in force", { needsRestart });
  }

  /** Stops as planned, on a signal that came at `signalMonoMs`: serves as long as callers may come, then closes. */
  async drain(signalMonoMs = this.#context.clock.monoMs()): Promise<void> {
    await drain(this.#context, this.#listeners, signalMonoMs);
    await Promise.race([
      this.close(),
      this.#context.clock.sleep(CLOSE_TIMEOUT_MS),
    ]);
  }

  /** Stops at once; requests in flight are cut off. */
  async close(): Promise<void> {
    await this.#kernel.close(this.#context.clock.nowMs());
    await this.#store.close();
  }
}
