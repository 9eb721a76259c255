/**
 * A host on which upstreams run one after the other, behind a proxy whose address stays the same.
 *
 * @module
 */

import { type CrashEnding, Runner } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import { LARGE_ANSWER_BYTES } from "./attempts.ts";
import { isFatal } from "./fatal_requests.ts";
import { isDeadlyPart } from "./part_requests.ts";
import { type Endpoint, FaultProxy } from "./proxy.ts";
import { HEARTBEAT_MS, Registration } from "./registration.ts";
import { getFailureDomain, REGIONS } from "./vm_settings.ts";
import type { World } from "./world.ts";

/** How an upstream keeps its callers waiting. */
export type QuietHow =
  /** It accepts requests and never answers those of that time. */
  | "silent"
  /** The same, but it sends the heads of streams. */
  | "headOnly"
  /** It is not scheduled: nothing of it is read or sent until it goes on. */
  | "paused"
  /** Its answers, and the first events of its streams, come late. */
  | "slow"
  /** Its streams take seconds. */
  | "slowEvents";

/** One instance of an upstream, from its start to its stop. */
export interface RunnerInstance {
  readonly runner: Runner;
  readonly region: string;
  readonly service: string;
  readonly startedMs: number;
  /** When the store learned that it is draining or gone. */
  drainingSinceMs: number;
  /** Since when its answers say that it leaves. */
  leavingSinceMs: number;
  /** When its process ended. */
  goneMs: number;
}

/** How long a draining upstream still serves requests; the gateways' bound is 4 s. */
const DRAIN_MS = 4_500;
/** How long an address is unused before another upstream gets it. */
const ADDRESS_IDLE_MS = 300;
const SLOTS = 8;
/** Time between two events of a stream. */
const EVENT_GAP_MS = 10;
/** Hosts whose first heartbeats are spread over one interval. */
const HEARTBEAT_PHASES = 8;
/** How long an upstream is down after a fatal request, and how long the effects outlast that. */
const DOWN_MS = 800;
const AFTER_EFFECT_MS = 2_500;
/** A proxy takes a whole large answer, so that an upstream's work ends when it has sent one and not when it is read. */
const MAX_HELD_BYTES = 2 * LARGE_ANSWER_BYTES;
/** Ports of an upstream: the proxy, which is its address for others, and the program behind. */
const PROXY_PORT = 18_106;
const PROGRAM_PORT = 18_107;

/** A host with one upstream at a time. */
export class RunnerHost {
  readonly proxy: FaultProxy;
  readonly region: string;
  readonly registration: Registration;
  readonly #world: World;
  readonly #index: number;
  /** Where the program listens. */
  readonly #program: Endpoint;
  /** The service whose upstreams normally run here; three hosts in four belong to `s`. */
  readonly #service: string;
  /** The version of the software that its upstreams run. */
  #version: string;
  #instance: RunnerInstance | undefined;
  #starts = 0;
  #isBusy = false;

  private constructor(
    world: World,
    index: number,
    proxy: FaultProxy,
    version: string,
  ) {
    this.#world = world;
    this.#version = version;
    this.#index = index;
    this.#program = proxy.target;
    this.proxy = proxy;
    this.region = REGIONS[index % REGIONS.length];
    this.#service = index % 8 < 6 ? "s" : "t";
    const phase = index % HEARTBEAT_PHASES;
    const phaseMs = (phase / HEARTBEAT_PHASES) * HEARTBEAT_MS;
    this.registration = new Registration(world.store, phaseMs);
  }

  /** Opens the host and starts an upstream on it. */
  static async open(
    world: World,
    index: number,
    version: string,
  ): Promise<RunnerHost> {
    const host = world.block.runnerIp(index);
    const proxy = await FaultProxy.open(
      { host, port: PROXY_PORT },
      { host, port: PROGRAM_PORT },
      MAX_HELD_BYTES,
    );
    const runnerHost = new RunnerHost(world, index, proxy, version);
    await runnerHost.#startRunner(runnerHost.#nextId(), runnerHost.#service);
    return runnerHost;
  }

  /** The current instance. */
  get instance(): RunnerInstance | undefined {
    return this.#instance;
  }

  /** Stops the upstream as in a crash and starts it again with the same id and no state. */
  restart(): Promise<void> {
    return this.#runExclusively(async () => {
      const id = this.#instance!.runner.id;
      await this.#stopRunner();
      await this.#startRunner(id, this.#service);
    });
  }

  /** Stops the upstream as in a crash and starts another version, under the same id or as a new upstream. */
  replace(version: string, keepsId: boolean): Promise<void> {
    return this.#runExclusively(async () => {
      const id = keepsId ? this.#instance!.runner.id : this.#nextId();
      if (!keepsId) this.registration.remove();
      await this.#stopRunner();
      this.#version = version;
      await this.#startRunner(id, this.#service);
    });
  }

  /** Removes the upstream and gives its address to an upstream of the other service for `forMs`. */
  reuseAddress(forMs: number): Promise<void> {
    return this.#runExclusively(async () => {
      for (
        const service of [this.#service === "s" ? "t" : "s", this.#service]
      ) {
        this.registration.remove();
        await this.#stopRunner();
        await sleep(ADDRESS_IDLE_MS);
        await this.#startRunner(this.#nextId(), service);
        if (service !== this.#service) await sleep(forMs);
      }
    });
  }

  /** Registers the upstream as draining, stops it after the drain time and starts a new one. */
  drain(): Promise<void> {
    return this.#runExclusively(async () => {
      const { runner } = this.#instance!;
      this.#register("draining");
      this.#instance!.drainingSinceMs = this.#world.nowMs();
      runner.isDraining = true;
      await sleep(DRAIN_MS);
      this.registration.remove();
      await this.#stopRunner();
      await this.#startRunner(this.#nextId(), this.#service);
    });
  }

  /** Says in its answers that it leaves, and in its entry that it is ready; ends after `forMs`, and a new one starts. */
  farewell(forMs: number): Promise<void> {
    return this.#runExclusively(async () => {
      this.#instance!.leavingSinceMs = this.#world.nowMs();
      this.#instance!.runner.isLeaving = true;
      await sleep(forMs);
      this.registration.remove();
      await this.#stopRunner();
      await this.#startRunner(this.#nextId(), this.#service);
    });
  }

  /** Keeps callers waiting for `forMs`, in the other ways than by a pause for requests that arrive in that time. */
  async keepWaiting(
    how: QuietHow,
    forMs: number,
    lateMs: number,
  ): Promise<void> {
    const { runner } = this.#instance!;
    if (how === "paused") return await this.#pause(forMs);
    if (how === "slow") runner.answerDelayMs = lateMs;
    else if (how === "slowEvents") {
      runner.eventGapMs = lateMs / runner.streamEvents;
    } else runner.behavior = how;
    await sleep(forMs);
    runner.answerDelayMs = 0;
    runner.eventGapMs = EVENT_GAP_MS;
    if (runner.behavior === how) runner.behavior = "well";
  }

  async #pause(forMs: number): Promise<void> {
    this.registration.silence(forMs);
    this.proxy.setMode("silentBoth");
    await sleep(forMs);
    this.proxy.setMode("pass");
  }

  async close(): Promise<void> {
    this.registration.close();
    // A crashed upstream that comes back later would open the proxy again.
    await this.#instance?.runner.close();
    await this.proxy.close();
  }

  /** Runs one change at a time; a second change meanwhile is skipped. */
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
    const runner = await Runner.open(id, this.#program);
    runner.version = this.#version;
    runner.bornMs = this.#starts;
    runner.isFatal = (body, parts) => isFatal(body) || parts.some(isDeadlyPart);
    runner.downMs = DOWN_MS;
    runner.eventGapMs = EVENT_GAP_MS;
    runner.plainBytesOf = (target) =>
      target.startsWith("/large/") ? LARGE_ANSWER_BYTES : 0;
    runner.onCrash = (ending) => this.#handleCrash(runner, ending);
    runner.onRestart = () => void this.#handleRestart(runner);
    await this.proxy.reopen();
    this.#instance = {
      runner,
      region: this.region,
      service,
      startedMs: this.#world.nowMs(),
      drainingSinceMs: Infinity,
      leavingSinceMs: Infinity,
      goneMs: Infinity,
    };
    this.#world.instances.push(this.#instance);
    this.#register("ready");
  }

  /** After a crash, the address refuses connections until the restart. */
  #handleCrash({ id }: Runner, ending: CrashEnding): void {
    this.#world.addTrouble(id, DOWN_MS + AFTER_EFFECT_MS);
    if (ending === "reset") this.proxy.refuseAll();
    else this.proxy.refuseNew();
  }

  async #handleRestart(runner: Runner): Promise<void> {
    if (this.#instance?.runner !== runner) return;
    runner.bornMs = ++this.#starts;
    await this.proxy.reopen();
    this.#register(runner.isDraining ? "draining" : "ready");
  }

  async #stopRunner(): Promise<void> {
    const { runner } = this.#instance!;
    this.#instance!.drainingSinceMs = Math.min(
      this.#instance!.drainingSinceMs,
      this.#world.nowMs(),
    );
    this.#instance!.goneMs = this.#world.nowMs();
    await runner.close();
  }

  #register(state: "ready" | "draining"): void {
    const { runner, service } = this.#instance!;
    this.registration.write(runner.id, {
      service,
      version: runner.version,
      address: `${this.#program.host}:${this.proxy.port}`,
      zone: getFailureDomain(this.region),
      slots: SLOTS,
      state,
      cold_left_ms: 0,
      seq: this.#starts,
      born: this.#starts,
    });
  }
}
