/**
 * A test lab: gateways on their own loopback addresses, with a fake store and fake upstreams.
 *
 * @module
 */

import { Agent, type IncomingMessage, request } from "node:http";
import { threadId } from "node:worker_threads";
import type { ExecutionContext } from "ava";
import { Gateway, type GatewaySettings } from "../src/gateway/mod.ts";
import {
  KvServer,
  makeConfig,
  makeRoute,
  makeUpstreamEntry,
  PLATFORM_CONFIG_KEY,
  ROUTE_HOST,
  Runner,
} from "../src/standins/mod.ts";
import { MemoryLog } from "./memory_log.ts";

/** The answer that a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the body ended as its framing says, not by a broken connection. */
  readonly isComplete: boolean;
}

/** A request as a caller sends it. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whether to send only the head and leave the request open. */
  readonly isHeadOnly?: boolean;
  /** Closes the caller's connection as soon as this returns true. */
  readonly abortWhen?: () => boolean;
}

/** Maximum number of VMs in one lab; each lab reserves as many addresses. */
const MAX_VMS = 6;
/** Window in which retries are counted. */
const REPEAT_WINDOW_MS = 10_000;
let labCount = 0;

/** The routes that most tests use. */
export const ROUTES = [
  makeRoute(),
  makeRoute({ path_prefix: "/once/", kind: "unsafe", max_attempts: 2 }),
  makeRoute({ path_prefix: "/stream/", kind: "streaming", resumable: true }),
  makeRoute({ path_prefix: "/southsafe/", home_regions: ["south"] }),
  makeRoute({
    path_prefix: "/streamonce/",
    kind: "streaming",
    max_attempts: 1,
  }),
  makeRoute({
    path_prefix: "/south/",
    kind: "unsafe",
    home_regions: ["south"],
  }),
];

/** Options of {@link GatewayLab}. */
export interface LabOptions {
  /** How long a VM has run when it opens: a retry budget's window if absent. Tests of starts set 0. */
  readonly startedAgoMs?: number;
  /** Whether requests without a place wait in the queue of their lead. */
  readonly queueAtLead?: boolean;
}

/** One VM of a lab. */
export interface LabVm {
  readonly gateway: Gateway;
  readonly log: MemoryLog;
  readonly settings: GatewaySettings;
}

/** Runs VMs, upstreams and a store for one test. All VMs have the same ports, as on the platform, at 127.x.y.z. */
export class GatewayLab {
  readonly store = new KvServer({ readsPerS: 10_000, writesPerS: 10_000 });
  readonly runners: Runner[] = [];
  readonly vms: LabVm[] = [];
  readonly #addressBlock = labCount++;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #startedAgoMs: number;
  readonly #queueAtLead: boolean | undefined;
  #configVersion = 0;
  #vmCount = 0;

  constructor(options: LabOptions = {}) {
    this.#startedAgoMs = options.startedAgoMs ?? REPEAT_WINDOW_MS;
    this.#queueAtLead = options.queueAtLead;
  }

  /** The version that was written last. */
  get configVersion(): number {
    return this.#configVersion;
  }

  /** Writes a configuration to the store, by default with a higher version. */
  configure(
    routes: readonly unknown[] = ROUTES,
    extraFields: Record<string, unknown> = {},
    workspaces?: readonly unknown[],
    version = this.#configVersion + 3,
  ): void {
    this.#configVersion = version;
    this.store.put(
      PLATFORM_CONFIG_KEY,
      makeConfig(this.#configVersion, routes, extraFields, workspaces),
    );
  }

  /** Opens an upstream in a region and registers it in the store, again after each restart. */
  async addRunner(
    region = "north",
    entryFields: Record<string, unknown> = {},
  ): Promise<Runner> {
    const runner = await Runner.open(
      `i-${this.#addressBlock}-${this.runners.length}`,
    );
    this.runners.push(runner);
    this.register(runner, region, entryFields);
    runner.onRestart = () => {
      runner.bornMs = Date.now();
      this.register(runner, region, entryFields);
    };
    return runner;
  }

  /** Writes an upstream's entry to the store. */
  register(
    runner: Runner,
    region = "north",
    entryFields: Record<string, unknown> = {},
  ): void {
    this.store.put(
      `servers/${runner.id}`,
      makeUpstreamEntry(runner.address, region, {
        born: runner.bornMs,
        ...entryFields,
      }),
    );
  }

  /** Opens a VM in a region. */
  async addVm(
    region = "north",
    bounds: Partial<GatewaySettings["bounds"]> = {},
  ): Promise<LabVm> {
    const index = ++this.#vmCount;
    // Test files run as threads of one process; each lab of each file gets its own addresses.
    const ip = `127.${20 + threadId % 200}.${process.pid & 255}.${
      this.#addressBlock * MAX_VMS + index
    }`;
    const settings: GatewaySettings = {
      vm: {
        id: `vm-${index}`,
        ip,
        region,
        failureDomain: `${region}-a`,
        memoryMb: 350,
        mostDescriptors: 4_000,
        coreShare: 1,
        coreSpeed: 1,
      },
      listen: {
        callers: `${ip}:18100`,
        ready: `${ip}:18101`,
        directory: `${ip}:18102`,
        peers: `${ip}:18103`,
        beats: 18104,
        metrics: 18105,
      },
      firstStart: true,
      seeds: this.vms.map((vm) => vm.settings.listen.peers),
      failureDomains: {
        "north-a": "north",
        "north-b": "north",
        "south-a": "south",
      },
      store: {
        address: await this.store.openAddressFor(`vm-${index}`),
        leastLeaseMs: 1_000,
      },
      queueAtLead: this.#queueAtLead,
      bounds: {
        graceMs: 3_000,
        contactMs: 6_000,
        repeatRatio: 0.2,
        repeatSlack: 50,
        repeatWindowMs: REPEAT_WINDOW_MS,
        quotaExcess: 0.1,
        quotaSlack: 1_000,
        quotaWindowMs: 8_000,
        ...bounds,
      },
    };
    return await this.#open(settings);
  }

  /** Ends a VM's process and begins another one in its place, with the same identity and addresses. */
  async restartVm(vm: LabVm): Promise<LabVm> {
    await this.closeVm(vm);
    return await this.startAgain(vm);
  }

  /** Closes the connections that callers keep, as of VMs that have ended. */
  dropConnections(): void {
    this.#agent.destroy();
  }

  /** Begins a new process in place of a VM that was closed. */
  startAgain({ settings }: LabVm): Promise<LabVm> {
    return this.#open({ ...settings, firstStart: false });
  }

  /** Ends a VM for good. */
  async closeVm(vm: LabVm): Promise<void> {
    this.vms.splice(this.vms.indexOf(vm), 1);
    await vm.gateway.close();
  }

  /** Waits until a VM reports that it is ready, and knows all upstreams of the lab. */
  async waitUntilReady(vm: LabVm): Promise<void> {
    await waitUntil(async () =>
      (await this.get(vm.settings.listen.ready, "/api/ready")).status === 200
    );
    await waitUntil(() => {
      const { fleet } = vm.gateway.dump().beliefs as {
        fleet: { upstreams: unknown[] };
      };
      return fleet.upstreams.length >= this.runners.length;
    });
  }

  /** Waits until all VMs of the lab know each other. */
  async waitUntilAllKnown(): Promise<void> {
    await waitUntil(() =>
      this.vms.every((vm) => dumpMembers(vm).vms === this.vms.length)
    );
  }

  /** Sends a GET request to one of a VM's listeners. */
  get(address: string, path: string): Promise<CallerAnswer> {
    return this.#send(address, { path });
  }

  /** Sends a caller's request to a VM. */
  call(vm: LabVm, input: CallerRequest): Promise<CallerAnswer> {
    return this.#send(vm.settings.listen.callers, input);
  }

  async close(): Promise<void> {
    this.#agent.destroy();
    for (const { gateway } of this.vms) await gateway.close();
    for (const runner of this.runners) await runner.close();
    await this.store.close();
  }

  async #open(settings: GatewaySettings): Promise<LabVm> {
    const log = new MemoryLog(settings.vm.id);
    const startMonoMs = performance.now() - this.#startedAgoMs;
    const gateway = await Gateway.open(settings, log, { startMonoMs });
    const vm = { gateway, log, settings };
    this.vms.push(vm);
    return vm;
  }

  #send(
    address: string,
    { path, method = "GET", headers, body, abortWhen, isHeadOnly }:
      CallerRequest,
  ): Promise<CallerAnswer> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      const clientRequest = request({
        agent: this.#agent,
        host,
        port,
        path,
        method,
        headers: {
          host: ROUTE_HOST,
          "attempt-id": Math.random().toString(16).slice(2),
          "deadline-ms": "1500",
          ...headers,
        },
      });
      clientRequest.on(
        "response",
        (answer) => void readAnswer(answer).then(resolve),
      );
      clientRequest.on(
        "error",
        (error) =>
          abortWhen === undefined
            ? reject(error)
            : resolve({ status: 0, headers: {}, body: "", isComplete: false }),
      );
      if (abortWhen !== undefined) {
        void waitUntil(abortWhen).then(() => clientRequest.destroy());
      }
      if (isHeadOnly) clientRequest.flushHeaders();
      else clientRequest.end(body);
    });
  }
}

function readAnswer(answer: IncomingMessage): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const finish = () =>
      resolve({
        status: answer.statusCode ?? 0,
        headers: answer.headers,
        body: Buffer.concat(chunks).toString("utf8"),
        isComplete: answer.complete,
      });
    answer.on("data", (chunk: Buffer) => chunks.push(chunk));
    answer.on("error", finish);
    answer.on("close", finish);
  });
}

/** Waits for a condition. The limit only guards against a hang: no check depends on how long it takes. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let i = 0; i < 2_000; i++) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error("timed out waiting for a condition");
}

/** Opens a lab with one VM and `runnerCount` upstreams in its region. */
export async function openLab(
  t: ExecutionContext,
  runnerCount: number,
): Promise<{ readonly lab: GatewayLab; readonly vm: LabVm }> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  for (let i = 0; i < runnerCount; i++) await lab.addRunner();
  const vm = await lab.addVm();
  await lab.waitUntilReady(vm);
  return { lab, vm };
}

/** VMs of {@link openRegion}: so many that a lead places their requests. */
export const REGION_VM_COUNT = 6;

/** The part of a VM's dump that tells who leads its region. */
export interface MembersDump {
  readonly isLead: boolean;
  readonly order: readonly { readonly id: string }[];
  readonly vms: number;
}

/** What a VM knows of its region's other VMs. */
export function dumpMembers(vm: LabVm): MembersDump {
  return vm.gateway.dump().members as MembersDump;
}

/** Opens a region whose VMs know each other and agree on the lead. */
export async function openRegion(
  t: { teardown(run: () => Promise<void>): void },
  runnerCount: number,
  options?: LabOptions,
): Promise<GatewayLab> {
  const lab = new GatewayLab(options);
  t.teardown(() => lab.close());
  lab.configure();
  for (let i = 0; i < runnerCount; i++) await lab.addRunner();
  for (let i = 0; i < REGION_VM_COUNT; i++) {
    await lab.waitUntilReady(await lab.addVm());
  }
  const haveSameMembers = () =>
    new Set(lab.vms.map((vm) => dumpMembers(vm).order[0].id)).size === 1 &&
    lab.vms.every((vm) => dumpMembers(vm).vms === REGION_VM_COUNT);
  await waitUntil(haveSameMembers);
  return lab;
}

/** Sends requests bound to the other region until the VM has discovered that region and `runnerId` there answers. */
export async function waitUntilServedBy(
  lab: GatewayLab,
  vm: LabVm,
  runnerId: string,
): Promise<void> {
  await waitUntil(async () => {
    const answer = await lab.call(vm, { path: "/south/", method: "POST" });
    return answer.status === 200 && answer.body === `served by ${runnerId}`;
  });
}
