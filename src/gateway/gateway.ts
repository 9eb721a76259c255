/**
 * The gateway of one VM: its services, in the order in which they start.
 *
 * @module
 */

import { type Clock, systemClock } from "../base/mod.ts";
import { Kernel, type Log } from "../kernel/mod.ts";
import { PlatformKeyValue } from "../platform/mod.ts";
import { isReader } from "../region/mod.ts";
import { Beliefs } from "./beliefs.ts";
import { GatewayContext } from "./context.ts";
import { Datagrams } from "./datagrams.ts";
import { Directory } from "./directory.ts";
import { Front } from "./front.ts";
import { hostPort } from "./listen.ts";
import { Losses } from "./losses.ts";
import { Members } from "./members.ts";
import { GatewayMetrics } from "./metrics.ts";
import { PeerRpc } from "./peer_rpc.ts";
import { Placing } from "./placing.ts";
import { Quotas } from "./quotas.ts";
import { Relays } from "./relays.ts";
import { roomOf } from "./room.ts";
import type { GatewaySettings } from "./settings.ts";
import { drain } from "./stop.ts";
import { Suspects } from "./suspects.ts";
import { Upstreams } from "./upstreams.ts";

/** Time for the services to close after the last answer. */
const CLOSE_MS = 200;

/** Part of the time in which keys must be taken away that a quiet question to the store may wait; the rest is for telling. */
const STRICT_WAIT_SHARE = 0.4;

/** An open gateway. */
export class Gateway {
  readonly #kernel: Kernel;
  readonly #context: GatewayContext;
  readonly #front: Front;
  readonly #store: PlatformKeyValue;
  readonly #beliefs: Beliefs;

  private constructor(
    kernel: Kernel,
    context: GatewayContext,
    front: Front,
    store: PlatformKeyValue,
    beliefs: Beliefs,
  ) {
    this.#kernel = kernel;
    this.#context = context;
    this.#front = front;
    this.#store = store;
    this.#beliefs = beliefs;
  }

  /** Starts all services; the listeners of callers come last. Fails if an address is taken. */
  static async open(
    settings: GatewaySettings,
    log: Log,
    clock: Clock = systemClock,
  ): Promise<Gateway> {
    const { vm } = settings;
    const kernel = new Kernel(clock, log);
    const { strictRevokeMs } = settings.bounds;
    const store = new PlatformKeyValue(settings.store.address);
    const beliefs = new Beliefs({
      store,
      failureDomains: settings.failureDomains,
      isReader: () => isReader(vm.id, members.order),
      operatorWaitMs: strictRevokeMs && strictRevokeMs * STRICT_WAIT_SHARE,
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
      seedIps: settings.seeds.map((address) => hostPort(address).host),
      state: () => ({
        ready: directory.isReady,
        ...(context.isLeaving
          ? { servesMs: Math.round(context.endMonoMs - clock.monoMs()) }
          : {}),
        revisions: beliefs.revisions,
        isServed: beliefs.isServed,
        ...(strictRevokeMs === undefined
          ? {}
          : { configAgeMs: Math.round(beliefs.configAgeMs) }),
      }),
      load: () => ({ load: upstreams.load(), asked: placing.asked }),
      held: (ms) => upstreams.heldWithin(ms),
      regionHeld: (ms) => upstreams.regionHeldWithin(ms),
      room: () =>
        roomOf(
          beliefs.config,
          (service) => upstreams.candidates(service),
          (service) => upstreams.pace(service),
        ),
      onHeld: (held, isNear) => upstreams.noteHeld(held, isNear),
      onSeen: (vmId, seen) => upstreams.noteSeen(vmId, seen),
    });
    const upstreams = new Upstreams(beliefs.fleet, members, vm);
    const relays = new Relays(members, hostPort(settings.listen.peers).port);
    const metrics = new GatewayMetrics();
    const losses = new Losses(clock, log, metrics);
    const suspects = new Suspects({
      self: vm,
      datagrams,
      members,
      fleet: beliefs.fleet,
      losses,
      store,
      leastLeaseMs: settings.store.leastLeaseMs,
      metrics,
    });
    const { quotaExcess, quotaSlack, quotaWindowMs } = settings.bounds;
    const quotas = new Quotas({
      self: vm,
      regions: Object.values(settings.failureDomains),
      hasOthers: settings.seeds.some((seed) => hostPort(seed).host !== vm.ip),
      slack: {
        excess: quotaExcess,
        slackUnits: quotaSlack,
        windowMs: quotaWindowMs,
      },
      datagrams,
      members,
      beliefs,
    });
    const placing = new Placing({
      self: vm,
      datagrams,
      members,
      beliefs,
      upstreams,
      relays,
      metrics,
      quotas,
    });
    const context = new GatewayContext({
      settings,
      clock,
      log,
      beliefs,
      members,
      upstreams,
      relays,
      placing,
      quotas,
      metrics,
      losses,
      suspects,
    });
    const directory = new Directory(context);
    const peerRpc = new PeerRpc(beliefs, members, relays, vm.region);
    const front = new Front(context, peerRpc);
    const tasks = [
      datagrams,
      relays,
      beliefs,
      upstreams,
      quotas,
      suspects,
      placing,
      members,
      peerRpc,
      front,
      directory,
    ];
    for (const task of tasks) await kernel.start(task);
    return new Gateway(kernel, context, front, store, beliefs);
  }

  /** Each service's state by name. */
  dump(): Record<string, unknown> {
    return this.#kernel.dump();
  }

  /**
   * Takes in changed settings. Bounds, memory and failure domains are in force at once; identity and addresses need a
   * restart, and a change of them is logged and left aside.
   */
  reload(settings: GatewaySettings): void {
    const { settings: before, log } = this.#context;
    const needsRestart = JSON.stringify([
      before.vm.id,
      before.vm.ip,
      before.listen,
      before.store,
    ]) !==
      JSON.stringify([
        settings.vm.id,
        settings.vm.ip,
        settings.listen,
        settings.store,
      ]);
    const { vm, bounds, failureDomains, seeds } = settings;
    this.#context.settings = {
      ...before,
      vm: {
        ...before.vm,
        memoryMb: vm.memoryMb,
        mostDescriptors: vm.mostDescriptors,
      },
      bounds,
      failureDomains,
      seeds,
    };
    this.#beliefs.setFailureDomains(failureDomains);
    log.info("settings in force", { needsRestart });
  }

  /** A planned stop: serves on as long as callers may come, then closes. */
  async drain(): Promise<void> {
    await drain(this.#context, this.#front);
    await Promise.race([this.close(), this.#context.clock.sleep(CLOSE_MS)]);
  }

  /** Stops at once; what is under way breaks. */
  async close(): Promise<void> {
    await this.#kernel.close(this.#context.clock.nowMs());
    await this.#store.close();
  }
}
