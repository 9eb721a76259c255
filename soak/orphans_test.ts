import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, itAlone as it } from "../src/base/describe.ts";
import { sleep } from "../test/cluster.ts";
import { drawPlan } from "./plan.ts";

const SCRIPT = fileURLToPath(new URL("./main.js", import.meta.url));
const VMS = 4;
const RUNNERS = 8;
const FAULTS_MS = 4_000;
const POLL_MS = 20;
const START_TIMEOUT_MS = 30_000;
const END_TIMEOUT_MS = 5_000;
const SMALL_RUN = [
  "--vms",
  String(VMS),
  "--runners",
  String(RUNNERS),
  "--callers",
  "4",
  "--jobs",
  "1",
  "--keep",
  "",
];

/** A process as the system lists it. */
interface ListedProcess {
  readonly pid: number;
  readonly parentPid: number;
  readonly state: string;
}

/** Lists all processes that have not ended; a zombie has. */
function listProcesses(): ListedProcess[] {
  return readdirSync("/proc").filter((name) => /^\d+$/.test(name)).flatMap(
    (name) => {
      try {
        const stat = readFileSync(`/proc/${name}/stat`, "utf8");
        const [state, parent] = stat.slice(stat.lastIndexOf(")") + 2).split(
          " ",
        );
        return [{ pid: Number(name), parentPid: Number(parent), state }];
      } catch {
        return [];
      }
    },
  ).filter(({ state }) => state !== "Z" && state !== "X");
}

/** Lists the processes that `pid` started, and those that they started. */
function listDescendants(pid: number): ListedProcess[] {
  const all = listProcesses();
  const found = all.filter(({ parentPid }) => parentPid === pid);
  for (const { pid: foundPid } of found) {
    found.push(...all.filter(({ parentPid }) => parentPid === foundPid));
  }
  return found;
}

/** Waits until `isTrue` holds; returns whether it did in time. */
async function waitUntil(
  isTrue: () => boolean,
  timeoutMs: number,
): Promise<boolean> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!isTrue()) {
    if (performance.now() > deadlineMs) return false;
    await sleep(POLL_MS);
  }
  return true;
}

/** Follows the processes that a soak starts. */
class ProcessRecord {
  readonly #pids = new Set<number>();
  readonly #timer = setInterval(() => void this.update(), POLL_MS * 5);
  readonly #soakPid: number;

  constructor(soakPid: number) {
    this.#soakPid = soakPid;
  }

  /** Adds the soak's present processes, and returns them. */
  update(): ListedProcess[] {
    const present = listDescendants(this.#soakPid);
    for (const { pid } of present) this.#pids.add(pid);
    return present;
  }

  /** Waits for the end of all, kills those that do not end in time, and returns them. */
  async endAll(): Promise<ListedProcess[]> {
    clearInterval(this.#timer);
    const listLeft = () =>
      listProcesses().filter(({ pid }) => this.#pids.has(pid));
    await waitUntil(() => listLeft().length === 0, END_TIMEOUT_MS);
    const left = listLeft();
    for (const { pid } of left) process.kill(pid, "SIGKILL");
    return left;
  }
}

/** Returns the first seed whose plan pauses a VM for a while. */
function findSeedWithPause(): number {
  for (let seed = 1;; seed++) {
    const plan = drawPlan(seed, {
      vms: VMS,
      runners: RUNNERS,
      domains: 2,
      faultsMs: FAULTS_MS,
    });
    if (plan.some(({ kind, forMs }) => kind === "pause" && forMs > 500)) {
      return seed;
    }
  }
}

/** Starts a small soak; its output is appended to `printed`. */
function startSoak(
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): { child: ChildProcess; printed: () => string } {
  const child = spawn(process.execPath, [SCRIPT, ...SMALL_RUN, ...args], {
    stdio: ["ignore", "pipe", "ignore"],
    env: { ...process.env, ...env },
  });
  let printed = "";
  child.stdout!.on("data", (chunk: Buffer) => void (printed += chunk));
  return { child, printed: () => printed };
}

/** A module that throws an uncaught error shortly after the first run has locked its addresses, and creates `marker`. */
function formatSaboteur(marker: string): string {
  const code = `
    import { Server } from "node:net";
    import { openSync } from "node:fs";
    const { listen } = Server.prototype;
    Server.prototype.listen = function (port, ...rest) {
      if (port === 18099) {
        try {
          openSync(${JSON.stringify(marker)}, "wx");
          setTimeout(() => { throw new Error("planted") }, 2000);
        } catch {}
      }
      return listen.call(this, port, ...rest);
    };`;
  return `data:text/javascript,${encodeURIComponent(code)}`;
}

describe("the soak's processes", () => {
  // Left behind, they keep their addresses, and each later soak fails.
  it("end when the soak is killed, also a paused gateway", async (t) => {
    const { child } = startSoak([
      "--first",
      String(findSeedWithPause()),
      "--seeds",
      "1",
      "--seconds",
      String(FAULTS_MS / 1_000),
    ]);
    const record = new ProcessRecord(child.pid!);
    const hasPaused = await waitUntil(
      () => record.update().some(({ state }) => state === "T"),
      START_TIMEOUT_MS,
    );
    child.kill("SIGKILL");
    t.deepEqual(await record.endAll(), []);
    t.true(hasPaused);
  });

  it("play the other seeds after an uncaught error in one", async (t) => {
    const folder = mkdtempSync(join(tmpdir(), "ibisgap-orphans-"));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const saboteur = formatSaboteur(join(folder, "marker"));
    const { child, printed } = startSoak(
      ["--first", "41", "--seeds", "2", "--seconds", "1", "--planned"],
      { NODE_OPTIONS: `--import ${saboteur}` },
    );
    const record = new ProcessRecord(child.pid!);
    const [code] = await once(child, "close");
    t.deepEqual(await record.endAll(), []);
    t.is(code, 1, printed());
    t.regex(printed(), /^seed=41 FAILED Error: planted/m);
    t.regex(printed(), /^seed=42 .* kept$/m);
    t.regex(printed(), /^2 seeds, 0 broke a promise, 1 failed$/m);
  });
});
