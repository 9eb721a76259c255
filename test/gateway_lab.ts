/**
 * Gateways on loopback addresses of their own, with stand-ins of store and upstreams, for tests.
 *
 * @module
 */

import { Agent, type IncomingMessage, request } from "node:http";
import { threadId } from "node:worker_threads";
import type { ExecutionContext } from "ava";
import { Gateway, type GatewaySettings } from "../src/gateway/mod.ts";
import type { Log } from "../src/kernel/mod.ts";
import {
  CONFIG_ROW_KEY,
  configRow,
  KvServer,
  ROUTE_HOST,
  routeRow,
  Runner,
  upstreamRow,
} from "../src/standins/mod.ts";
import { keepLog } from "./kept.ts";

/** What a caller got. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the body ended in order. */
  readonly whole: boolean;
}

/** A caller's request. */
export interface CallerRequest {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Sends the head alone. */
  readonly keepOpen?: boolean;
  /** Leaves as soon as this holds. */
  readonly leaveWhen?: () => boolean;
}

/** VMs of one lab, at most; each lab has as many addresses. */
const MOST_VMS = 6;
let labs = 0;

/** One line of the log. */
export interface LogLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

class MemoryLog implements Log {
  readonly lines: LogLine[] = [];
  readonly #keep: (text: string) => void;

  constructor(vmId: string) {
    this.#keep = keepLog(vmId);
  }

  debug(): void {}
  info(event: string, fields = {}): void {
    this.log("info", event, fields);
  }
  warn(event: string, fields = {}): void {
    this.log("warn", event, fields);
  }
  error(event: string, fields = {}): void {
    this.log("error", event, fields);
  }
  log(
    level: string,
    event: string,
    fields: Record<string, unknown> = {},
  ): void {
    this.lines.push({ event, fields });
    const timeMs = Math.round(performance.now());
    this.#keep(`${JSON.stringify({ timeMs, level, event, ...fields })}\n`);
  }
}

/** The routes that most tests use. */
export const ROUTES = [
  routeRow(),
  routeRow({ path_prefix: "/once/", kind: "unsafe", max_attempts: 2 }),
  routeRow({ path_prefix: "/stream/", kind: "streaming", resumable: true }),
  routeRow({ path_prefix: "/southsafe/", home_regions: ["south"] }),
  routeRow({ path_prefix: "/streamonce/", kind: "streaming", max_attempts: 1 }),
  routeRow({ path_prefix: "/south/", kind: "unsafe", home_regions: ["south"] }),
];

/** One VM. */
export interface LabVm {
  readonly gateway: Gateway;
  readonly log: MemoryLog;
  readonly settings: GatewaySettings;
}

/** See the module. Addresses are 127.x.y.z, so that all VMs have the same ports, as on the platform. */
export class GatewayLab {
  readonly server = new KvServer({ readsPerS: 10_000, writesPerS: 10_000 });
  readonly runners: Runner[] = [];
  readonly vms: LabVm[] = [];
  readonly #block = labs++;
  readonly #agent = new Agent({ keepAlive: true });
  #version = 0;

  /** Writes a newer configuration. */
  configure(
    routes: readonly unknown[] = ROUTES,
    more: Record<string, unknown> = {},
    workspaces?: readonly unknown[],
  ): void {
    this.#version += 3;
    this.server.put(
      CONFIG_ROW_KEY,
      configRow(this.#version, routes, more, workspaces),
    );
  }

  /** Opens an upstream in a region and registers it. */
  async addRunner(
    region = "north",
    more: Record<string, unknown> = {},
  ): Promise<Runner> {
    const runner = await Runner.open(`i-${this.#block}-${this.runners.length}`);
    this.runners.push(runner);
    this.register(runner, region, more);
    runner.onBack = () =>
      this.register(runner, region, { ...more, born: Date.now() });
    return runner;
  }

  /** Writes an upstream's entry. */
  register(
    runner: Runner,
    region = "north",
    more: Record<string, unknown> = {},
  ): void {
    this.server.put(
      `servers/${runner.id}`,
      upstreamRow(runner.address, region, more),
    );
  }

  /** Opens a VM in a region. */
  async addVm(
    region = "north",
    bounds: Partial<GatewaySettings["bounds"]> = {},
  ): Promise<LabVm> {
    const index = this.vms.length + 1;
    // Test files run in threads of one process; each lab of each gets addresses of its own.
    const ip = `127.${20 + threadId % 200}.${process.pid & 255}.${
      this.#block * MOST_VMS + index
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
      seeds: this.vms.map((vm) => vm.settings.listen.peers),
      failureDomains: { "north-a": "north", "south-a": "south" },
      store: {
        address: await this.server.addressFor(`vm-${index}`),
        leastLeaseMs: 1_000,
      },
      bounds: {
        graceMs: 3_000,
        contactMs: 6_000,
        repeatRatio: 0.2,
        repeatSlack: 50,
        repeatWindowMs: 10_000,
        quotaExcess: 0.1,
        quotaSlack: 1_000,
        quotaWindowMs: 8_000,
        ...bounds,
      },
    };
    const log = new MemoryLog(settings.vm.id);
    const gateway = await Gateway.open(settings, log);
    const vm = { gateway, log, settings };
    this.vms.push(vm);
    return vm;
  }

  /** Waits until a VM says that it is ready. */
  async ready(vm: LabVm): Promise<void> {
    await until(async () =>
      (await this.get(vm.settings.listen.ready, "/api/ready")).status === 200
    );
    await until(() => {
      const { fleet } = vm.gateway.dump().beliefs as {
        fleet: { upstreams: unknown[] };
      };
      return fleet.upstreams.length >= this.runners.length;
    });
  }

  /** Asks one of a VM's listeners. */
  get(address: string, path: string): Promise<CallerAnswer> {
    return this.#ask(address, { path });
  }

  /** Sends a caller's request. */
  call(vm: LabVm, input: CallerRequest): Promise<CallerAnswer> {
    return this.#ask(vm.settings.listen.callers, input);
  }

  async close(): Promise<void> {
    this.#agent.destroy();
    for (const { gateway } of this.vms) await gateway.close();
    for (const runner of this.runners) await runner.close();
    await this.server.close();
  }

  #ask(
    address: string,
    { path, method = "GET", headers, body, leaveWhen, keepOpen }: CallerRequest,
  ): Promise<CallerAnswer> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
      const call = request({
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
      call.on("response", (answer) => void readAnswer(answer).then(resolve));
      call.on(
        "error",
        (error) =>
          leaveWhen === undefined
            ? reject(error)
            : resolve({ status: 0, headers: {}, body: "", whole: false }),
      );
      if (leaveWhen !== undefined) {
        void until(leaveWhen).then(() => call.destroy());
      }
      if (keepOpen) call.flushHeaders();
      else call.end(body);
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
        whole: answer.complete,
      });
    answer.on("data", (chunk: Buffer) => chunks.push(chunk));
    answer.on("error", finish);
    answer.on("close", finish);
  });
}

/** Waits for a condition; a hang guard only, no verdict depends on how long it takes. */
export async function until(
  done: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let i = 0; i < 2_000; i++) {
    if (await done()) return;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error("waited in vain");
}

/** One VM before some upstreams of its region. */
export async function openLab(
  t: ExecutionContext,
  runners: number,
): Promise<{ readonly lab: GatewayLab; readonly vm: LabVm }> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  for (let i = 0; i < runners; i++) await lab.addRunner();
  const vm = await lab.addVm();
  await lab.ready(vm);
  return { lab, vm };
}

/** Calls until the other region has been found, and answers through it. */
export async function reach(
  lab: GatewayLab,
  vm: LabVm,
  runnerId: string,
): Promise<void> {
  await until(async () => {
    const answer = await lab.call(vm, { path: "/south/", method: "POST" });
    return answer.status === 200 && answer.body === `served by ${runnerId}`;
  });
}
