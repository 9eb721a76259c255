// Starts the gateways, the store and the servers of a case as processes on loopback addresses, and ends them.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createTcpServer } from "node:net";
import { Agent, get } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { createInterface } from "node:readline";

const here = dirname(fileURLToPath(import.meta.url));
export const root = join(here, "../..");
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
/** Ports of every machine; each has a loopback address of its own. */
const PORTS = { callers: 18100, ready: 18101, directory: 18102, peers: 18103, beats: 18104, metrics: 18105 };

/** The case could not run: exit code 2. */
export class NotRun extends Error {}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A block of loopback addresses on which no port that is needed is taken. */
async function findBlock(count) {
  for (let tries = 0; tries < 50; tries++) {
    const block = `127.${30 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 256)}`;
    const free = [];
    for (let i = 1; i <= count; i++) {
      for (const port of Object.values(PORTS)) free.push(await isFree(`${block}.${i}`, port));
    }
    if (free.every(Boolean)) return block;
  }
  throw new NotRun("no free block of loopback addresses");
}

export class Lab {
  machines = [];
  #children = new Set();
  #recordPath;
  #startMs = Date.now();
  #dir = mkdtempSync(join(tmpdir(), "ibisgap-review-"));

  constructor(recordPath) {
    this.#recordPath = recordPath;
    writeFileSync(recordPath, "");
  }

  /** Writes a line to record.txt, with seconds since the start. */
  note(text) {
    const line = `${((Date.now() - this.#startMs) / 1000).toFixed(3)} s  ${text}`;
    appendFileSync(this.#recordPath, `${line}\n`);
  }

  /** Writes many lines at once. */
  noteAll(lines) {
    appendFileSync(this.#recordPath, lines.map((line) => `${line}\n`).join(""));
  }

  secondsAt(unixMs) {
    return ((unixMs - this.#startMs) / 1000).toFixed(3);
  }

  #spawn(args, stdio, env = process.env) {
    const child = spawn(process.execPath, args, { cwd: root, stdio, env });
    this.#children.add(child);
    child.once("exit", () => this.#children.delete(child));
    return child;
  }

  /** Starts a program that reads and prints JSON lines; resolves with it and its first line. */
  async startTalker(script, args = []) {
    const child = this.#spawn([join(here, script), ...args], ["pipe", "pipe", "inherit"]);
    const lines = createInterface({ input: child.stdout });
    const waiting = [];
    const ready = [];
    lines.on("line", (line) => {
      const value = JSON.parse(line);
      const next = waiting.shift();
      if (next) next(value);
      else ready.push(value);
    });
    const next = () => ready.length > 0 ? Promise.resolve(ready.shift()) : new Promise((resolve) => waiting.push(resolve));
    // A program that ends with the case no longer reads.
    child.stdin.on("error", () => {});
    const ask = (command) => {
      const answer = next();
      child.stdin.write(`${JSON.stringify(command)}\n`);
      return answer;
    };
    return { child, first: await next(), ask };
  }

  async startStore() {
    this.store = await this.startTalker("store_main.mjs");
    this.storeAddress = this.store.first.address;
  }

  /** Prepares machines; `places` lists the zone of each, `zones` the region of each zone. */
  async prepareMachines(places, zones, bounds) {
    const block = await findBlock(places.length);
    this.machines = places.map((zone, index) => ({
      id: `front-${zone}-${index + 1}`,
      ip: `${block}.${index + 1}`,
      zone,
      region: zones[zone],
    }));
    const seeds = this.machines.slice(0, 3).map(({ ip }) => `${ip}:${PORTS.peers}`);
    for (const machine of this.machines) {
      const { id, ip, zone, region } = machine;
      machine.settingsPath = join(this.#dir, `${id}.json`);
      machine.logPath = join(this.#dir, `${id}.log`);
      const settings = {
        vm: { id, ip, region, failureDomain: zone, memoryMb: 350, mostDescriptors: 4200, coreShare: 0.675, coreSpeed: 1 },
        listen: {
          callers: `${ip}:${PORTS.callers}`,
          ready: `${ip}:${PORTS.ready}`,
          directory: `${ip}:${PORTS.directory}`,
          peers: `${ip}:${PORTS.peers}`,
          beats: PORTS.beats,
          metrics: PORTS.metrics,
        },
        seeds,
        failureDomains: zones,
        store: { address: this.storeAddress, leastLeaseMs: 1000 },
        queueAtLead: true,
        bounds: { graceMs: 8000, contactMs: 6000, repeatRatio: 0.2, repeatSlack: 54, repeatWindowMs: 10000, ...bounds },
      };
      writeFileSync(machine.settingsPath, JSON.stringify(settings));
    }
  }

  /** Starts the gateway of a machine with the command of the deploy file. */
  startMachine(machine) {
    const log = openSync(machine.logPath, "a");
    machine.child = this.#spawn([
      "--max-old-space-size=96",
      "--max-semi-space-size=2",
      "target/ibisgap-gateway.mjs",
    ], ["ignore", log, log], { PATH: process.env.PATH, HOME: process.env.HOME, IBISGAP_NODE_FILE: machine.settingsPath });
    this.note(`machine ${machine.id} started, process ${machine.child.pid}`);
  }

  /** Waits until a machine says that it is ready, as the platform asks it. */
  async waitReady(machine, mostMs = 15_000) {
    const untilMs = Date.now() + mostMs;
    while (Date.now() < untilMs) {
      if (await this.isReady(machine)) return;
      await sleep(50);
    }
    throw new NotRun(`${machine.id} did not get ready`);
  }

  isReady({ ip }) {
    return new Promise((resolve) => {
      const request = get({ host: ip, port: PORTS.ready, path: "/api/ready", agent: false, timeout: 1_000 }, (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
    });
  }

  signal(machine, signal) {
    this.note(`${signal} to machine ${machine.id}`);
    machine.child.kill(signal);
  }

  logOf(machine) {
    return readFileSync(machine.logPath, "utf8");
  }

  get callersPort() {
    return PORTS.callers;
  }

  get directoryPort() {
    return PORTS.directory;
  }

  newAgent() {
    return new Agent({ keepAlive: true, maxSockets: 64 });
  }

  async close() {
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await sleep(200);
    rmSync(this.#dir, { recursive: true, force: true });
  }
}

/** Runs a case: `judge` resolves to the ways in which the rule was broken. */
export async function runCase(recordPath, judge) {
  const lab = new Lab(recordPath);
  let code = 2;
  const limit = setTimeout(() => {
    lab.note("over 110 seconds: given up");
    void lab.close().then(() => process.exit(2));
  }, 110_000);
  try {
    const broken = await judge(lab);
    for (const text of broken) lab.note(`BROKEN: ${text}`);
    lab.note(broken.length > 0 ? "the rule was broken" : "the rule held");
    code = broken.length > 0 ? 1 : 0;
    console.log(broken.length > 0 ? broken.join("\n") : "the rule held");
  } catch (error) {
    lab.note(`could not run: ${error.stack ?? error}`);
    console.error(String(error.stack ?? error));
  }
  clearTimeout(limit);
  await lab.close();
  process.exit(code);
}
