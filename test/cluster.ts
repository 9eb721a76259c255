/**
 * Real processes for failure tests: a stand-in platform, stand-in upstreams and daemons, each its own process, on
 * loopback. Processes are ended by their id at the end of the test.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import got, { type Response } from "got";
import { tableRow } from "../src/agreement/mod.ts";
import { secretDigest } from "../src/base/mod.ts";
import { seedTable } from "../src/daemon/embedded.ts";
import { openLogFile } from "./kept.ts";

const DIST = fileURLToPath(new URL("..", import.meta.url));
const WAIT_TIMEOUT_MS = 30_000;

/** The operators' token of every daemon here. */
export const OPERATOR_TOKEN = "test-operator-token";
/** The VMs' credential. */
const PEER_CREDENTIAL = "test-vm-credential";

/** A child process that said that it is ready. */
export class TestProcess {
  readonly child: ChildProcess;
  readonly name: string;
  /** Its log: standard output and error. */
  output = "";
  exitCode: number | null | undefined;
  readonly exited: Promise<number | null>;

  /** `nodeOptions` go before the script; `env` adds to the environment. */
  constructor(
    name: string,
    script: string,
    args: readonly string[],
    nodeOptions: readonly string[] = [],
    env: Readonly<Record<string, string>> = {},
  ) {
    this.name = name;
    this.child = spawn(
      process.execPath,
      [...nodeOptions, join(DIST, script), ...args],
      { stdio: ["ignore", "pipe", "pipe"], env: { ...process.env, ...env } },
    );
    const writeLog = openLogFile(name);
    const append = (chunk: Buffer) => {
      const text = chunk.toString();
      this.output += text;
      writeLog(text);
    };
    this.child.stdout!.on("data", append);
    this.child.stderr!.on("data", append);
    this.exited = new Promise((resolve) =>
      this.child.once("exit", (code) => {
        this.exitCode = code;
        resolve(code);
      })
    );
  }

  /** The first match of `pattern` in its output, once it is there. */
  async waitForOutput(pattern: RegExp): Promise<RegExpExecArray> {
    const deadlineMs = Date.now() + WAIT_TIMEOUT_MS;
    for (;;) {
      const match = pattern.exec(this.output);
      if (match) return match;
      if (this.exitCode !== undefined || Date.now() > deadlineMs) {
        throw new Error(
          `${this.name} did not say ${pattern}:\n${this.output.slice(-2000)}`,
        );
      }
      await sleep(20);
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  async kill(): Promise<void> {
    if (this.exitCode !== undefined) return;
    this.child.kill("SIGCONT");
    this.child.kill("SIGKILL");
    await this.exited;
  }
}

/** A daemon's process. */
export interface Vm {
  readonly id: string;
  readonly region: string;
  readonly proc: TestProcess;
  readonly url: string;
  readonly peerAddress: string;
}

/** A stand-in upstream of the upstreams' process. */
export interface StandIn {
  readonly url: string;
  readonly controlUrl: string;
}

/** One run's processes. */
export class Cluster {
  readonly #dir = mkdtempSync(join(tmpdir(), "ibisgap-test-"));
  readonly #procs: TestProcess[] = [];
  readonly vms = new Map<string, Vm>();
  storeUrl = "";

  /** Starts a process and remembers to end it. */
  startProcess(
    name: string,
    script: string,
    args: readonly string[],
  ): TestProcess {
    const proc = new TestProcess(name, script, args);
    this.#procs.push(proc);
    return proc;
  }

  async startPlatform(): Promise<void> {
    const proc = this.startProcess(
      "platform",
      "src/standins/platform_main.js",
      [
        "--port",
        "0",
      ],
    );
    this.storeUrl = (await proc.waitForOutput(/(http:\/\/[\d.]+:\d+)/))[1];
  }

  /** Starts stand-ins; the engines first, then the plain services. */
  async startUpstreams(
    engineCount: number,
    plainCount: number,
    extraArgs: readonly string[] = [],
  ): Promise<StandIn[]> {
    const args = [
      "--engines",
      String(engineCount),
      "--plains",
      String(plainCount),
      "--port-base",
      "0",
      ...extraArgs,
    ];
    const proc = this.startProcess(
      "upstreams",
      "src/standins/upstreams_main.js",
      args,
    );
    const pattern = new RegExp(`(?:\\{.*\\}\\s+){${engineCount + plainCount}}`);
    const [lines] = await proc.waitForOutput(pattern);
    return lines.trim().split("\n").map((line) => JSON.parse(line) as StandIn);
  }

  /** Starts a daemon; `seeds` are the peers' addresses it asks first. */
  async startVm(
    id: string,
    region: string,
    seeds: readonly string[],
    extraSettings: object = {},
  ): Promise<Vm> {
    const path = join(this.#dir, `${id}-${this.#procs.length}.json`);
    const settings = {
      vm: { id, region, failureDomain: `${region}-a` },
      listen: { callers: { port: 0 }, peers: { port: 0 } },
      platform: { storeUrls: [this.storeUrl] },
      peers: { seeds, credential: PEER_CREDENTIAL },
      operators: { tokenDigests: [secretDigest(OPERATOR_TOKEN)] },
      testing: { linkFaults: true },
      ...extraSettings,
    };
    writeFileSync(path, JSON.stringify(settings));
    const proc = this.startProcess(id, "src/daemon/ibisgapd.js", [path]);
    const [, url, peerAddress] = await proc.waitForOutput(
      /ready: (\S+) peers: (\S+)/,
    );
    const vm = { id, region, proc, url, peerAddress };
    this.vms.set(id, vm);
    return vm;
  }

  /** Starts `perRegion` daemons in each region; ids are `REGION-N`. */
  async startRegions(
    regions: readonly string[],
    perRegion: number,
    extraSettings: object = {},
  ): Promise<void> {
    const seeds: string[] = [];
    for (const region of regions) {
      const first = await this.startVm(
        `${region}-1`,
        region,
        seeds,
        extraSettings,
      );
      seeds.push(first.peerAddress);
    }
    const starting = [];
    for (const region of regions) {
      for (let n = 2; n <= perRegion; n++) {
        starting.push(
          this.startVm(`${region}-${n}`, region, seeds, extraSettings),
        );
      }
    }
    await Promise.all(starting);
  }

  /** Puts `rows` in force in the store before any daemon runs. */
  async seedTable(rows: readonly object[]): Promise<void> {
    await seedTable(this.storeUrl, rows.map((row) => tableRow.parse(row)));
  }

  /** Cuts, slows or mends a VM's links; `{}` mends all. */
  async setLinkFaults(vm: Vm, faults: object): Promise<void> {
    await callAdmin(vm, "PUT", "/admin/links", faults);
  }

  /** Sets the platform's faults. */
  async setPlatformFaults(faults: readonly object[]): Promise<void> {
    await got.post(`${this.storeUrl}/faults`, { json: { faults } });
  }

  /** Waits until `vm` says of itself what `test` wants. */
  async waitFor(
    vm: Vm,
    matches: (status: VmStatus) => boolean,
  ): Promise<VmStatus> {
    const deadlineMs = Date.now() + WAIT_TIMEOUT_MS;
    for (;;) {
      const status = JSON.parse(
        (await callAdmin(vm, "GET", "/admin/status")).body,
      ) as VmStatus;
      if (matches(status)) return status;
      if (Date.now() > deadlineMs) {
        throw new Error(`${vm.id} stayed at ${JSON.stringify(status)}`);
      }
      await sleep(50);
    }
  }

  async close(): Promise<void> {
    for (const proc of this.#procs) await proc.kill();
    rmSync(this.#dir, { recursive: true, force: true });
  }
}

/** A VM's view of the first shard of its region's claims. */
export interface ShardState {
  readonly role: string;
  readonly witnesses: readonly unknown[];
}

/** See {@link ShardState}. */
export async function readShardState(vm: Vm): Promise<ShardState> {
  const answer = await callAdmin(vm, "GET", "/admin/dump");
  return JSON.parse(answer.body).claims.shards[0];
}

/**
 * Waits until an owner of the region's claims lists all other VMs, two at most, as witnesses. An outage of the store
 * that begins before is answered with `claimUnavailable`, as docs/design/claims.md says.
 */
export async function waitForWitnesses(vms: readonly Vm[]): Promise<void> {
  const witnessCount = Math.min(2, vms.length - 1);
  const deadlineMs = Date.now() + WAIT_TIMEOUT_MS;
  while (Date.now() < deadlineMs) {
    for (const vm of vms) {
      const { role, witnesses } = await readShardState(vm);
      if (role === "owner" && witnesses.length === witnessCount) return;
    }
    await sleep(100);
  }
  throw new Error("no owner lists its witnesses");
}

/** What `GET /admin/status` answers, as far as tests look at it. */
export interface VmStatus {
  readonly tableVersion: number | null;
  readonly region: readonly {
    readonly id: string;
    readonly state: string;
    readonly tableVersion: number;
  }[];
}

/** Calls an operators' path of a VM. */
export async function callAdmin(
  vm: Vm,
  method: "GET" | "PUT" | "POST",
  path: string,
  json?: object,
) {
  return await got(vm.url + path, {
    method,
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    throwHttpErrors: false,
    retry: { limit: 0 },
    ...(json === undefined ? {} : { json }),
  });
}

/** Calls a VM as a caller with this key. */
export async function callVm(
  vm: Vm,
  key: string,
  path: string,
  options: {
    method?: "GET" | "POST";
    body?: unknown;
    headers?: Record<string, string>;
  } = {},
): Promise<Response<string>> {
  return await got(vm.url + path, {
    method: options.method ?? (options.body === undefined ? "GET" : "POST"),
    headers: { authorization: `Bearer ${key}`, ...options.headers },
    throwHttpErrors: false,
    retry: { limit: 0 },
    followRedirect: false,
    timeout: { request: 30_000 },
    ...(options.body === undefined
      ? {}
      : { body: JSON.stringify(options.body) }),
  });
}

/** An error's numbered code and what it says of the run, in an answer. */
export function readError(
  response: Response<string>,
): { code?: number; ran?: string; goTo?: string[] } {
  return (JSON.parse(response.body) as {
    error?: { code: number; ran: string };
  }).error ?? {};
}

/** Rows of services `plan` (model) and `ledger` (at most once), regions, and a bound workspace for each region. */
export function standardRows(
  regions: readonly string[],
  upstreams: readonly object[],
): object[] {
  return [
    ...regions.map((id) => ({ kind: "region", id })),
    { kind: "service", id: "plan", type: "model" },
    { kind: "service", id: "ledger", type: "plain", atMostOnce: true },
    ...regions.map((id) => ({
      kind: "workspace",
      id: `${id}-clerks`,
      home: id,
      keyDigests: [secretDigest(keyOf(id))],
    })),
    ...upstreams,
  ];
}

/** The key of a region's workspace in {@link standardRows}. */
export function keyOf(region: string): string {
  return `key-of-${region}`;
}

/** A row of an upstream for {@link standardRows}. */
export function upstreamRow(
  id: string,
  service: string,
  region: string,
  url: string,
  extraFields: object = {},
) {
  return {
    kind: "upstream",
    id,
    service,
    region,
    failureDomain: `${region}-a`,
    url,
    ...extraFields,
  } as const;
}

export function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
