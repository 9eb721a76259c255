/**
 * The world of one run: gateways in processes of their own behind proxies that inject faults, and stand-ins for the
 * store and the upstreams in this process.
 *
 * @module
 */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { KvServer } from "../src/standins/mod.ts";
import { sleep, TestProcess } from "../test/cluster.ts";
import { deployedNodeOptions } from "../test/deployed.ts";
import { AddressBlock } from "./address_block.ts";
import { parentVariables } from "./end_with_parent.ts";
import { makeConfig } from "./configuration.ts";
import { FloodHosts } from "./flood_hosts.ts";
import { MemoryMeter } from "./memory_meter.ts";
import { type Endpoint, FaultProxy } from "./proxy.ts";
import type { VmLink } from "./plan.ts";
import type { PartCall } from "./part_requests.ts";
import { ProcessWatch } from "./process_watch.ts";
import { RunnerHost, type RunnerInstance } from "./runner_host.ts";
import type { Stop } from "./judge_stops.ts";
import { VERSIONS } from "./stream_events.ts";
import { makeSettings, PORTS, REGIONS } from "./vm_settings.ts";

const GRACE_MS = 3_000;
/** The same where stops are played among silent upstreams: longer than a VM's shortest drain, as on the platform. */
const STOPS_GRACE_MS = 6_000;
/** Delay after which a process that exited is started again. */
const RESTART_DELAY_MS = 300;
/** Number of versions that upstreams have at first. */
const FIRST_VERSIONS = 2;
/** An unplanned disturbance of a VM (`vm:0`), an upstream (its id) or the store (`store`). */
export interface Trouble {
  readonly who: string;
  readonly fromMs: number;
  toMs: number;
  /** Whether an upstream only kept callers waiting, which is no reason to end their requests without an answer. */
  readonly isQuiet?: boolean;
}

/** A version of the configuration, and the service to which plain requests go since `sinceMs`. */
export interface ConfigVersion {
  readonly version: number;
  readonly sinceMs: number;
  readonly plainService: string;
}

/** One VM: its process, and the proxies in front of its listeners and of the store. */
export interface SoakVm {
  readonly index: number;
  readonly region: string;
  readonly ip: string;
  readonly settingsPath: string;
  readonly proxies: Readonly<Record<VmLink, FaultProxy>>;
  proc: TestProcess;
  /** Output of the VM's earlier processes. */
  earlierOutput: string;
}

/** Size and seed of a world. */
export interface WorldOptions {
  readonly vms: number;
  readonly runners: number;
  readonly seed: number;
  /** Whether upstreams have several software versions from the start. */
  readonly hasVersions?: boolean;
  /** Whether VMs are stopped while requests wait for longer than their stop may take. */
  readonly hasStops?: boolean;
  /** Whether callers and upstreams send without end; gateways then run as they are deployed. */
  readonly hasFloods?: boolean;
}

/** The gateways, proxies and stand-ins of a run. It ends only processes that it started. */
export class World {
  readonly store = new KvServer({ readsPerS: 10_000, writesPerS: 10_000 });
  readonly vms: SoakVm[] = [];
  readonly runnerHosts: RunnerHost[] = [];
  readonly instances: RunnerInstance[] = [];
  readonly troubles: Trouble[] = [];
  readonly partCalls: PartCall[] = [];
  readonly configs: ConfigVersion[] = [];
  /** The planned stops: the first SIGTERM that each process got. */
  readonly stops: Stop[] = [];
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Processes that did not stop in time. */
  readonly processFaults: string[] = [];
  readonly watch = new ProcessWatch();
  readonly memory = new MemoryMeter(() =>
    this.vms.filter(({ proc }) => proc.exitCode === undefined)
      .map(({ index, proc }) => ({ vm: index, pid: proc.child.pid! }))
  );
  /** Absent in a run without floods. */
  floods: FloodHosts | undefined;
  /** The addresses of this run. */
  block!: AddressBlock;
  readonly #options: WorldOptions;
  readonly #dir = mkdtempSync(join(tmpdir(), "ibisgap-soak-"));
  /** Delay of a VM's next start, where it isn't {@link RESTART_DELAY_MS}. */
  readonly #restartDelaysMs = new Map<number, number>();
  /** Processes that got SIGTERM. */
  readonly #stopping = new WeakSet<TestProcess>();
  #isClosing = false;

  private constructor(options: WorldOptions) {
    this.#options = options;
    this.graceMs = options.hasStops ? STOPS_GRACE_MS : GRACE_MS;
  }

  /** Starts everything and waits until every VM is ready. */
  static async open(options: WorldOptions): Promise<World> {
    const world = new World(options);
    try {
      await world.#start();
    } catch (error) {
      await world.close();
      throw error;
    }
    return world;
  }

  /** The current time on the monotonic clock that all parts of a run share. */
  nowMs(): number {
    return performance.now();
  }

  /** Records a disturbance of `who` that lasts `forMs` from now. */
  addTrouble(who: string, forMs: number, isQuiet = false): Trouble {
    const fromMs = this.nowMs();
    const trouble = { who, fromMs, toMs: fromMs + forMs, isQuiet };
    this.troubles.push(trouble);
    return trouble;
  }

  /** Evacuations in force, by key. */
  readonly evacuations = new Set<string>();
  #config: object | undefined;

  /** Starts an evacuation, or ends it. */
  setEvacuated(key: string, isEvacuated: boolean): void {
    if (isEvacuated) this.evacuations.add(key);
    else this.evacuations.delete(key);
    if (isEvacuated) this.store.put(key, {});
    else this.store.remove(key);
  }

  /** Writes again what operators have in force, after the store came back from an older copy. */
  writeAgain(): void {
    this.store.put("op/config", this.#config);
    for (const { key } of this.store.store.copy().entries) {
      if (key.startsWith("op/evacuate/") && !this.evacuations.has(key)) {
        this.store.remove(key);
      }
    }
    for (const key of this.evacuations) this.store.put(key, {});
  }

  /** Removes the entries of upstreams that are gone and don't renew them. */
  expireEntries(): void {
    const registrations = [
      ...this.runnerHosts.map(({ registration }) => registration),
      ...(this.floods?.registrations ?? []),
    ];
    const keys = new Set(registrations.map(({ key }) => key));
    for (const { key } of this.store.store.copy().entries) {
      if (key.startsWith("servers/") && !keys.has(key)) this.store.remove(key);
    }
  }

  /** Writes a new version of the configuration, in which plain requests go to `plainService`. */
  writeConfig(plainService: string): void {
    const version = (this.configs.at(-1)?.version ?? 0) + 3;
    this.#config = makeConfig(version, plainService, this.#options);
    this.store.put("op/config", this.#config);
    this.configs.push({ version, sinceMs: this.nowMs(), plainService });
  }

  /** Sends a signal to a VM's process. */
  signal(index: number, signal: NodeJS.Signals): void {
    this.watch.signal(this.vms[index].proc, signal);
  }

  /** Kills a VM's process, if there is one; it is started again after `awayMs`. */
  killAndRestart(index: number, awayMs = 0): void {
    if (this.vms[index].proc.exitCode !== undefined) return;
    this.#restartDelaysMs.set(index, awayMs);
    this.signal(index, "SIGKILL");
  }

  /**
   * Stops a VM's process as planned; kills it if it does not exit within its grace time. A process that is stopping gets
   * one more SIGTERM.
   */
  async stop(index: number): Promise<void> {
    const { proc } = this.vms[index];
    this.watch.signal(proc, "SIGTERM");
    this.#noteStop(index);
    const ended = await Promise.race([
      proc.exited.then(() => true),
      sleep(this.graceMs).then(() => false),
    ]);
    // A process that was paused meanwhile could not exit, which is not a fault of the gateway.
    const sinceMs = this.nowMs() - this.graceMs;
    if (ended || this.hasTroubleSince(`vm:${index}`, sinceMs)) return;
    this.processFaults.push(`vm ${index} did not stop in time`);
    this.watch.signal(proc, "SIGKILL");
  }

  #noteStop(vm: number): void {
    const { proc } = this.vms[vm];
    if (this.#stopping.has(proc) || proc.exitCode !== undefined) return;
    this.#stopping.add(proc);
    this.stops.push({ vm, atMs: this.nowMs() });
  }

  /** Whether a trouble of `who` lasted until `sinceMs` or longer. */
  hasTroubleSince(who: string, sinceMs: number): boolean {
    return this.troubles.some((trouble) =>
      trouble.who === who && trouble.toMs >= sinceMs
    );
  }

  /** Writes the output of all gateway processes to a folder. */
  saveLogs(folder: string): void {
    for (const { index, earlierOutput, proc } of this.vms) {
      writeFileSync(
        join(folder, `vm-${index}.log`),
        earlierOutput + proc.output,
      );
    }
  }

  async close(): Promise<void> {
    this.#isClosing = true;
    this.memory.close();
    await this.floods?.close();
    for (const { proc } of this.vms) await proc.kill();
    for (const { proxies } of this.vms) {
      for (const proxy of Object.values(proxies)) await proxy.close();
    }
    for (const host of this.runnerHosts) await host.close();
    await this.store.close();
    await this.block?.close();
    rmSync(this.#dir, { recursive: true, force: true });
  }

  async #start(): Promise<void> {
    this.block = await AddressBlock.open();
    this.writeConfig("s");
    if (this.#options.hasFloods) {
      this.floods = await FloodHosts.open(this.store, this.block);
    }
    for (let index = 0; index < this.#options.runners; index++) {
      this.runnerHosts.push(
        await RunnerHost.open(this, index, this.#firstVersion(index)),
      );
    }
    for (let index = 0; index < this.#options.vms; index++) {
      this.vms.push(await this.#startVm(index));
    }
    for (const { proc, settingsPath } of this.vms) {
      await proc.waitForOutput(/event=started/);
      const settings = JSON.parse(readFileSync(settingsPath, "utf8"));
      settings.firstStart = false;
      writeFileSync(settingsPath, JSON.stringify(settings));
    }
  }

  /** The version of the upstream on a host; each region's hosts get them in turn. */
  #firstVersion(index: number): string {
    const turn = Math.floor(index / REGIONS.length);
    return VERSIONS[this.#options.hasVersions ? turn % FIRST_VERSIONS : 0];
  }

  async #startVm(index: number): Promise<SoakVm> {
    const proxyIp = this.block.proxyIp(index);
    const vmIp = this.block.vmIp(index);
    const endpoint = (host: string, port: number): Endpoint => ({ host, port });
    const [storeHost, storePort] =
      (await this.store.openAddressFor(`vm-${index}`))
        .split(":");
    const proxies = {
      callers: await FaultProxy.open(
        endpoint(proxyIp, PORTS.callers),
        endpoint(vmIp, PORTS.callers),
      ),
      peers: await FaultProxy.open(
        endpoint(proxyIp, PORTS.peers),
        endpoint(vmIp, PORTS.peers),
      ),
      store: await FaultProxy.open(
        endpoint(vmIp, 0),
        endpoint(storeHost, Number(storePort)),
      ),
    };
    const settingsPath = join(this.#dir, `vm-${index}.json`);
    const region = REGIONS[index % REGIONS.length];
    const settings = makeSettings({
      index,
      region,
      proxyIp,
      vmIp,
      storePort: proxies.store.port,
      seeds: this.vms.map((vm) => `${vm.ip}:${PORTS.peers}`),
      graceMs: this.graceMs,
    });
    writeFileSync(settingsPath, JSON.stringify(settings));
    const proc = this.#startProcess(index, settingsPath, 0);
    return {
      index,
      region,
      ip: proxyIp,
      settingsPath,
      proxies,
      proc,
      earlierOutput: "",
    };
  }

  #startProcess(
    index: number,
    settingsPath: string,
    start: number,
  ): TestProcess {
    const clockSeed = this.#options.seed * 1_000 + index * 100 + start;
    const proc = new TestProcess(
      `vm-${index}`,
      "src/gateway/main.js",
      [settingsPath],
      [
        ...(this.#options.hasFloods ? deployedNodeOptions() : []),
        "--import",
        new URL("./skewed_clock.js", import.meta.url).href,
      ],
      { SOAK_CLOCK_SEED: String(clockSeed), ...parentVariables() },
    );
    const startedMs = this.nowMs();
    void proc.exited.then(() => {
      if (this.#isClosing) return;
      void this.watch.noteEnd(index, proc, this.nowMs() - startedMs);
      void this.#restartProcess(index, start);
    });
    return proc;
  }

  async #restartProcess(index: number, start: number): Promise<void> {
    const delayMs = this.#restartDelaysMs.get(index) ?? RESTART_DELAY_MS;
    this.#restartDelaysMs.delete(index);
    await sleep(delayMs);
    if (this.#isClosing) return;
    const vm = this.vms[index];
    vm.earlierOutput += vm.proc.output;
    vm.proc = this.#startProcess(index, vm.settingsPath, start + 1);
  }

  /** The address at which a VM itself listens for callers. */
  callersEndpoint({ index }: SoakVm): Endpoint {
    return { host: this.block.vmIp(index), port: PORTS.callers };
  }

  /** URL at which callers query the VMs to use; a region's name is appended to it. */
  directoryUrl(vm: SoakVm): string {
    return `http://${
      this.block.vmIp(vm.index)
    }:${PORTS.directory}/api/lookup?region=`;
  }
}
