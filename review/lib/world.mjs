/** What the scripts share: gateways as processes with the command of the deploy file, addresses, the record. */
import { spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== "0";

const startMs = performance.now();
export const now = () => (performance.now() - startMs) / 1_000;

/** Writes what was sent, answered and run to record.txt. */
export class Record {
  constructor(path) {
    this.path = path;
    writeFileSync(path, "");
  }

  note(text) {
    const line = `${now().toFixed(3).padStart(8)} s  ${text}`;
    appendFileSync(this.path, line + "\n");
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

function isFreeUdp(host, port) {
  return new Promise((resolve) => {
    const socket = createSocket("udp4");
    socket.once("error", () => resolve(false));
    socket.bind(port, host, () => socket.close(() => resolve(true)));
  });
}

const NAMES = ["callers", "ready", "directory", "peers", "beats", "metrics"];

/** Picks six ports that are free on all addresses. */
async function pickPorts(ips) {
  for (let tries = 0; tries < 100; tries++) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const ports = Object.fromEntries(NAMES.map((name, at) => [name, first + at]));
    let areFree = true;
    for (const ip of ips) {
      for (const port of Object.values(ports)) {
        areFree &&= await isFree(ip, port) && await isFreeUdp(ip, port);
      }
    }
    if (areFree) return ports;
  }
  throw new Error("no free ports");
}

/** The words of the deploy file's command. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(text)[1].split(" ");
}

/** Gateways on loopback addresses, each a process of its own. */
export class Gateways {
  #dir = mkdtempSync(join(tmpdir(), "ibisgap-review-"));
  vms = [];

  /** `places`: zone of each VM; `zones`: region of each zone; `storeOf`: address of the store for a VM's index. */
  async open({ places, zones, storeOf, bounds, record }) {
    this.record = record;
    const block = 1 + Math.floor(Math.random() * 200);
    const ips = places.map((_, at) => `127.77.${block}.${at + 1}`);
    const ports = await pickPorts(ips);
    this.ports = ports;
    for (const [at, zone] of places.entries()) {
      const ip = ips[at];
      const settings = {
        vm: {
          id: `vm-${at + 1}`,
          ip,
          region: zones[zone],
          failureDomain: zone,
          memoryMb: 350,
          mostDescriptors: 4200,
          coreShare: 0.675,
          coreSpeed: 1,
        },
        listen: {
          callers: `${ip}:${ports.callers}`,
          ready: `${ip}:${ports.ready}`,
          directory: `${ip}:${ports.directory}`,
          peers: `${ip}:${ports.peers}`,
          beats: ports.beats,
          metrics: ports.metrics,
        },
        seeds: ips.slice(0, 3).map((one) => `${one}:${ports.peers}`),
        failureDomains: zones,
        store: { address: await storeOf(at), leastLeaseMs: 1000 },
        queueAtLead: true,
        bounds: {
          graceMs: 8e3,
          contactMs: 6000,
          repeatRatio: 0.2,
          repeatSlack: 54,
          repeatWindowMs: 10e3,
          ...bounds,
        },
      };
      const path = join(this.#dir, `vm-${at + 1}.json`);
      writeFileSync(path, JSON.stringify(settings));
      const vm = { id: settings.vm.id, ip, zone, region: zones[zone], path, output: "" };
      this.vms.push(vm);
      this.start(vm);
    }
  }

  /** Starts the process of a VM. */
  start(vm) {
    const [program, ...words] = runCommand();
    const child = spawn(program, [...words, vm.path], {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG },
    });
    vm.child = child;
    children.add(child);
    child.once("exit", () => children.delete(child));
    vm.exited = new Promise((resolve) => child.once("exit", (code, signal) => {
      this.record?.note(`process of ${vm.id} ended: code ${code}, signal ${signal}`);
      resolve({ code, signal });
    }));
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8");
      stream.on("data", (text) => vm.output += text);
    }
    this.record?.note(`process of ${vm.id} started at ${vm.ip}`);
  }

  /** Waits until every VM answers 200 at its ready address. */
  async waitUntilReady(ms = 20_000) {
    const until = performance.now() + ms;
    for (const vm of this.vms) {
      for (;;) {
        const status = await fetch(`http://${vm.ip}:${this.ports.ready}/api/ready`)
          .then((answer) => answer.status, () => 0);
        if (status === 200) break;
        if (performance.now() > until) throw new Error(`${vm.id} is not ready:\n${vm.output}`);
        await sleep(100);
      }
    }
  }

  /** Ends all processes. */
  async close() {
    for (const { child } of this.vms) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    await Promise.all(this.vms.map(({ exited }) => exited));
    rmSync(this.#dir, { recursive: true, force: true });
  }
}

/** What the script has started; nothing of it may outlive the script, however that ends. */
const children = new Set();
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});

/** Runs a script: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function main(run, cleanups) {
  const giveUp = (error) => {
    console.error(error);
    process.exit(2);
  };
  process.on("uncaughtException", giveUp);
  for (const signal of ["SIGTERM", "SIGINT"]) process.on(signal, () => giveUp(signal));
  let code = 2;
  try {
    code = await run();
  } catch (error) {
    console.error(error);
  }
  for (const cleanup of cleanups.reverse()) await cleanup();
  process.exit(code);
}
