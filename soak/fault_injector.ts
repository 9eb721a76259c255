/**
 * Injects a plan's faults into a world and ends them.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type { PlatformFault, StoreCopy } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import { LONG_DEADLINE_MS } from "./attempts.ts";
import { guardPaused } from "./end_with_parent.ts";
import { sendFatalRequests } from "./fatal_requests.ts";
import { sendPartRequests } from "./part_requests.ts";
import type { Fault } from "./plan.ts";
import type { RunnerHost } from "./runner_host.ts";
import { getFailureDomain, REGIONS } from "./vm_settings.ts";
import type { World } from "./world.ts";

/** Delay of the store's answers while it is slow: longer than the gateways' timeout of some calls. */
const SLOW_STORE_MS = 1_200;
const LOST_ANSWERS = 20;
/** When operators write again after the store came back from an older copy. */
const REWRITE_DELAY_MS = 500;
/** After an outage an upstream writes its entry again within this time and one heartbeat. */
const MAX_RETURN_DELAY_MS = 1_000;
/** Return delays use their own random stream, so that the other faults of a seed stay the same. */
const RETURN_SEED = 0x7e70;
/** How long a trouble outlasts its fault: requests at a silent upstream, for example, stay there until their deadlines. */
const AFTER_EFFECT_MS = 2_500;
/** The same at upstreams that keep callers waiting whose deadlines are long. */
const LONG_AFTER_EFFECT_MS = LONG_DEADLINE_MS + 1_000;

const STORE_FAULTS: Readonly<Record<string, PlatformFault>> = {
  cut: { outage: "cut" },
  refuse: { outage: "refuse" },
  slow: { slowMs: SLOW_STORE_MS },
  loseAnswers: { loseAnswers: LOST_ANSWERS },
};

/** Injects faults. Faults overlap, and the end of one may end another one early, as in production. */
export class FaultInjector {
  readonly #world: World;
  readonly #random: Random;
  readonly #returnRandom: Random;

  constructor(world: World, seed: number) {
    this.#world = world;
    this.#random = new Random(seed);
    this.#returnRandom = new Random(seed ^ RETURN_SEED);
  }

  /** Injects all faults of the plan at their times; returns when the last one is over. */
  async injectAll(plan: readonly Fault[]): Promise<void> {
    const startMs = this.#world.nowMs();
    await Promise.all(plan.map(async (fault) => {
      await sleep(Math.max(0, startMs + fault.atMs - this.#world.nowMs()));
      await this.#inject(fault);
    }));
  }

  async #inject(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case "kill":
        this.#world.addTrouble(`vm:${fault.vm}`, AFTER_EFFECT_MS);
        return this.#world.signal(fault.vm, "SIGKILL");
      case "pause":
        return await this.#pauseVm(fault.vm, fault.forMs);
      case "stop":
        return await this.#world.stop(fault.vm);
      case "hangUp":
        return this.#world.signal(fault.vm, "SIGHUP");
      case "link":
        return await this.#faultLink(fault);
      case "store":
        return await this.#faultStore(fault);
      case "mood":
      case "runnerLink":
      case "rebirth":
      case "reuse":
      case "drain":
        return await this.#faultRunner(fault);
      case "silence":
        return this.#world.runnerHosts[fault.runner].registration.silence(
          fault.forMs,
        );
      case "killRegion":
        return this.#killVms(fault.vms);
      case "lapseOutage":
        return await this.#lapseInOutage(fault);
      case "config":
        return this.#changeConfig();
      case "crash":
        return await sendFatalRequests(this.#world, this.#random, fault.forMs);
      case "parts":
        return await sendPartRequests(this.#world, this.#random, fault.forMs);
      case "evacuate": {
        const key = `op/evacuate/${getFailureDomain(REGIONS[fault.domain])}`;
        this.#world.setEvacuated(key, true);
        await sleep(fault.forMs);
        return this.#world.setEvacuated(key, false);
      }
      case "farewell":
        return await this.#world.runnerHosts[fault.runner].farewell(
          fault.forMs,
        );
      case "replace":
        return await this.#replaceRunner(fault);
      case "killFleet":
        return this.#killFleet(fault.forMs);
      case "release":
        return await this.#release(fault);
      case "ending":
        return await this.#endAnswers(fault);
      case "rest":
        return await this.#askForRest(fault);
      case "restore":
        return await this.#restoreStore(fault);
      case "lostConfig":
        return await this.#loseConfig(fault);
      case "quiet":
        return await this.#keepWaiting(fault);
      case "flood":
        return await this.#flood(fault);
    }
  }

  async #askForRest(
    { runner: index, retryAfter, forMs }: Extract<Fault, { kind: "rest" }>,
  ): Promise<void> {
    const { instance } = this.#world.runnerHosts[index];
    if (!instance) return;
    const { runner } = instance;
    this.#world.addTrouble(runner.id, forMs + AFTER_EFFECT_MS);
    runner.behavior = "shed";
    runner.refusalRetryAfter = retryAfter;
    await sleep(forMs);
    runner.behavior = "well";
    runner.refusalRetryAfter = undefined;
  }

  async #replaceRunner(
    { runner, version, keepsId }: Extract<Fault, { kind: "replace" }>,
  ): Promise<void> {
    await this.#replaceOn(this.#world.runnerHosts[runner], version, keepsId);
  }

  async #release(
    { forMs, from, version, keepsId }: Extract<Fault, { kind: "release" }>,
  ): Promise<void> {
    const hosts = this.#world.runnerHosts.filter(({ instance }) =>
      from === undefined || instance?.runner.version === from
    );
    await Promise.all(hosts.map(async (host, place) => {
      await sleep(place * forMs / hosts.length);
      await this.#replaceOn(host, version, keepsId);
    }));
  }

  async #replaceOn(
    host: RunnerHost,
    version: string,
    keepsId: boolean,
  ): Promise<void> {
    if (!host.instance) return;
    this.#world.addTrouble(host.instance.runner.id, AFTER_EFFECT_MS);
    await host.replace(version, keepsId);
  }

  async #endAnswers(
    { runner: index, forMs, crash, ...answers }: Extract<
      Fault,
      { kind: "ending" }
    >,
  ): Promise<void> {
    const { instance } = this.#world.runnerHosts[index];
    if (!instance) return;
    const { runner } = instance;
    const { framing, ending, plainEnding, partialEventBytes } = answers;
    this.#world.addTrouble(runner.id, forMs + AFTER_EFFECT_MS);
    Object.assign(runner, { framing, ending, plainEnding, partialEventBytes });
    await sleep(forMs);
    if (crash !== undefined) runner.crash(crash);
    runner.framing = "framed";
    runner.ending = "whole";
    runner.plainEnding = "whole";
  }

  async #keepWaiting(
    { runner, how, forMs, lateMs }: Extract<Fault, { kind: "quiet" }>,
  ): Promise<void> {
    const host = this.#world.runnerHosts[runner];
    if (!host.instance) return;
    const { id } = host.instance.runner;
    this.#world.addTrouble(id, forMs + LONG_AFTER_EFFECT_MS, true);
    await host.keepWaiting(how, forMs, lateMs);
  }

  /** A flood is no trouble: it must cost others nothing that the judge looks at. */
  async #flood(
    { vm, atMs, forMs, ...flood }: Extract<Fault, { kind: "flood" }>,
  ): Promise<void> {
    const { vms } = this.#world;
    const order = [...vms.slice(vm), ...vms.slice(0, vm)];
    await this.#world.floods?.play({
      name: `flood-${atMs}-${flood.how}`,
      flood,
      vms: order.map((each) => this.#world.callersEndpoint(each)),
      forMs,
    });
  }

  /** Operators write again soon after the store is back, upstreams with their heartbeats. */
  async #restoreStore(
    { ageMs, awayMs, forMs }: Extract<Fault, { kind: "restore" }>,
  ): Promise<void> {
    const copy = this.#world.store.store.copy();
    await sleep(ageMs);
    await this.#bringBack(copy, awayMs);
    await sleep(REWRITE_DELAY_MS);
    this.#world.writeAgain();
    await sleep(Math.max(0, forMs - ageMs - awayMs - REWRITE_DELAY_MS));
    this.#world.expireEntries();
  }

  /** Upstreams write again with their heartbeats, operators only after VMs have started. */
  async #loseConfig(
    { ageMs, awayMs, forMs, vms, killDelayMs, rewriteDelayMs }: Extract<
      Fault,
      { kind: "lostConfig" }
    >,
  ): Promise<void> {
    const copy = this.#world.store.store.copy();
    this.#changeConfig();
    await sleep(ageMs);
    await this.#bringBack(copy, awayMs);
    await sleep(killDelayMs);
    this.#killVms(vms);
    await sleep(rewriteDelayMs - killDelayMs);
    this.#world.writeAgain();
    await sleep(forMs - ageMs - awayMs - rewriteDelayMs);
    this.#world.expireEntries();
  }

  /** Takes the store away for a moment; it comes back as of the copy. */
  async #bringBack(copy: StoreCopy, awayMs: number): Promise<void> {
    const { store } = this.#world;
    this.#world.addTrouble("restore", awayMs + AFTER_EFFECT_MS);
    store.faults.set([STORE_FAULTS.cut]);
    await sleep(awayMs);
    store.restore(copy);
    store.faults.clear();
  }

  /** Writes a configuration that moves plain requests to the other service. */
  #changeConfig(): void {
    const { plainService } = this.#world.configs.at(-1)!;
    this.#world.writeConfig(plainService === "s" ? "t" : "s");
  }

  async #pauseVm(vm: number, forMs: number): Promise<void> {
    this.#world.addTrouble(`vm:${vm}`, forMs + AFTER_EFFECT_MS);
    const { proc } = this.#world.vms[vm];
    const endGuard = guardPaused(proc.child.pid!);
    proc.signal("SIGSTOP");
    await sleep(forMs);
    proc.signal("SIGCONT");
    endGuard();
  }

  #killVms(vms: readonly number[]): void {
    for (const vm of vms) {
      this.#world.addTrouble(`vm:${vm}`, AFTER_EFFECT_MS);
      this.#world.killAndRestart(vm);
    }
  }

  #killFleet(awayMs: number): void {
    for (const { index } of this.#world.vms) {
      this.#world.addTrouble(`vm:${index}`, awayMs + AFTER_EFFECT_MS);
      this.#world.killAndRestart(index, awayMs);
    }
  }

  /** All entries lapse, during the outage or at its end, and return one by one. */
  async #lapseInOutage(
    { how, forMs, lapsesWhileDown }: Extract<Fault, { kind: "lapseOutage" }>,
  ): Promise<void> {
    const registrations = this.#world.runnerHosts.map((host) =>
      host.registration
    );
    this.#world.addTrouble("store", forMs + AFTER_EFFECT_MS);
    this.#world.store.faults.set([STORE_FAULTS[how]]);
    for (const each of registrations) each.lapsesWhileDown = lapsesWhileDown;
    await sleep(forMs);
    this.#world.store.faults.clear();
    for (const registration of registrations) {
      registration.lapsesWhileDown = false;
      if (!lapsesWhileDown) registration.lapse();
      registration.silence(this.#returnRandom.int(MAX_RETURN_DELAY_MS));
    }
  }

  async #faultLink(
    { vm, link, mode, forMs }: Extract<Fault, { kind: "link" }>,
  ): Promise<void> {
    this.#world.addTrouble(`vm:${vm}`, forMs + AFTER_EFFECT_MS);
    const proxy = this.#world.vms[vm].proxies[link];
    proxy.setMode(mode);
    await sleep(forMs);
    proxy.setMode("pass");
  }

  async #faultStore({ how, forMs }: Extract<Fault, { kind: "store" }>) {
    const { store } = this.#world.store;
    if (how === "forget") return store.compact(store.rev);
    this.#world.addTrouble("store", forMs + AFTER_EFFECT_MS);
    this.#world.store.faults.set([STORE_FAULTS[how]]);
    await sleep(forMs);
    this.#world.store.faults.clear();
  }

  async #faultRunner(fault: Extract<Fault, { runner: number }>): Promise<void> {
    const host = this.#world.runnerHosts[fault.runner];
    const { instance } = host;
    if (!instance) return;
    if (fault.kind === "drain") return await host.drain();
    const isQuiet = "mood" in fault && fault.mood === "silent";
    this.#world.addTrouble(
      instance.runner.id,
      fault.forMs + AFTER_EFFECT_MS,
      isQuiet,
    );
    if (fault.kind === "rebirth") return await host.restart();
    if (fault.kind === "reuse") return await host.reuseAddress(fault.forMs);
    if ("mood" in fault) {
      instance.runner.behavior = fault.mood;
      await sleep(fault.forMs);
      instance.runner.behavior = "well";
    } else if ("mode" in fault) {
      host.proxy.setMode(fault.mode);
      await sleep(fault.forMs);
      host.proxy.setMode("pass");
    }
  }
}
