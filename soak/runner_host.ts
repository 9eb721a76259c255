/**
 * A place where upstreams run one after the other: a proxy with a lasting address before whatever runs there.
 *
 * @module
 */

import { Runner } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import { isFatal } from "./fatal_requests.ts";
import { FaultProxy } from "./proxy.ts";
import { getFailureDomain, REGIONS, type World } from "./world.ts";

/** One start of an upstream. */
export interface RunnerInstance {
  readonly runner: Runner;
  readonly region: string;
  readonly service: string;
  /** When the store took the news that it leaves or is gone. */
  leftMs: number;
}

/** How long an upstream that leaves serves on; the gateways' bound is 4 s. */
const DRAIN_MS = 4_500;
/** How long an address lies idle before another upstream takes it. */
const ADDRESS_IDLE_MS = 300;
const SLOTS = 8;
/** How long an upstream is away that a request has ended, and how long that tells on others. */
const DOWN_MS = 800;
const AFTER_EFFECT_MS = 2_500;
const LOOPBACK = "127.0.0.1";

/** See the module. */
export class RunnerHost {
  readonly proxy: FaultProxy;
  readonly region: string;
  readonly #world: World;
  readonly #index: number;
  /** The service whose upstreams belong here; `s` has three in four. */
  readonly #service: string;
  #instance: RunnerInstance | undefined;
  #starts = 0;
  #isBusy = false;

  private constructor(world: World, index: number, proxy: FaultProxy) {
    this.#world = world;
    this.#index = index;
    this.proxy = proxy;
    this.region = REGIONS[index % REGIONS.length];
    this.#service = index % 8 < 6 ? "s" : "t";
  }

  /** Opens the place with an upstream in it. */
  static async open(world: World, index: number): Promise<RunnerHost> {
    const listen = { host: LOOPBACK, port: 0 };
    const proxy = await FaultProxy.open(listen, listen);
    const host = new RunnerHost(world, index, proxy);
    await host.#startRunner(host.#nextId(), host.#service);
    return host;
  }

  /** The upstream that runs now. */
  get instance(): RunnerInstance | undefined {
    return this.#instance;
  }

  /** It crashes and starts again under its id, knowing nothing. */
  restart(): Promise<void> {
    return this.#runExclusively(async () => {
      const id = this.#instance!.runner.id;
      await this.#stopRunner();
      await this.#startRunner(id, this.#service);
    });
  }

  /** It is lost, and its address goes to an upstream of the other service for a time. */
  reuseAddress(forMs: number): Promise<void> {
    return this.#runExclusively(async () => {
      for (
        const service of [this.#service === "s" ? "t" : "s", this.#service]
      ) {
        this.#unregister();
        await this.#stopRunner();
        await sleep(ADDRESS_IDLE_MS);
        await this.#startRunner(this.#nextId(), service);
        if (service !== this.#service) await sleep(forMs);
      }
    });
  }

  /** It says that it leaves, serves on for its time and goes; a new one comes. */
  drain(): Promise<void> {
    return this.#runExclusively(async () => {
      const { runner } = this.#instance!;
      this.#register("draining");
      this.#instance!.leftMs = this.#world.nowMs();
      runner.isDraining = true;
      await sleep(DRAIN_MS);
      this.#unregister();
      await this.#stopRunner();
      await this.#startRunner(this.#nextId(), this.#service);
    });
  }

  async close(): Promise<void> {
    await this.proxy.close();
    await this.#instance?.runner.close();
  }

  /** Runs one change at a time; a second one meanwhile is left out. */
  async #runExclusively(change: () => Promise<void>): Promise<void> {
    if (this.#isBusy) return;
    this.#isBusy = true;
    await change();
    this.#isBusy = false;
  }

  #nextId(): string {
    return `i-${this.#index}-${this.#starts}`;
  }

  async #startRunner(id: string, service: string): Promise<void> {
    this.#starts++;
    const runner = await Runner.open(id);
    runner.isFatal = isFatal;
    runner.downMs = DOWN_MS;
    runner.onCrash = () => this.#handleCrash(runner);
    runner.onRestart = () => void this.#handleRestart(runner);
    await this.proxy.reopen();
    const [host, port] = runner.address.split(":");
    this.proxy.target = { host, port: Number(port) };
    this.#instance = {
      runner,
      region: this.region,
      service,
      leftMs: Infinity,
    };
    this.#world.instances.push(this.#instance);
    this.#register("ready");
  }

  /** A request ended the program: its address refuses connections until it is back. */
  #handleCrash({ id }: Runner): void {
    this.#world.addTrouble(id, DOWN_MS + AFTER_EFFECT_MS);
    this.proxy.refuseAll();
  }

  async #handleRestart(runner: Runner): Promise<void> {
    if (this.#instance?.runner !== runner) return;
    const [host, port] = runner.address.split(":");
    this.proxy.target = { host, port: Number(port) };
    this.#starts++;
    await this.proxy.reopen();
    this.#register(runner.isDraining ? "draining" : "ready");
  }

  async #stopRunner(): Promise<void> {
    const { runner } = this.#instance!;
    this.#instance!.leftMs = Math.min(
      this.#instance!.leftMs,
      this.#world.nowMs(),
    );
    await runner.close();
  }

  #register(state: "ready" | "draining"): void {
    const { runner, service } = this.#instance!;
    this.#world.store.put(`servers/${runner.id}`, {
      service,
      address: `${LOOPBACK}:${this.proxy.port}`,
      zone: getFailureDomain(this.region),
      slots: SLOTS,
      state,
      cold_left_ms: 0,
      seq: this.#starts,
      born: this.#starts,
    });
  }

  #unregister(): void {
    this.#world.store.remove(`servers/${this.#instance!.runner.id}`);
  }
}
