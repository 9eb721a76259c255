/**
 * Measures claims per second, added latency, store writes, CPU and memory, over HTTP to the stand-in platform, with
 * group commit and with one write for each claim. `npm run bench -- control_claims [--json] [--seconds N] [--seed N]`.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type { Result } from "neverthrow";
import {
  EtcdKeyValue,
  type StoreError,
  type StorePurpose,
  type Write,
} from "../src/adapters/mod.ts";
import type { ShardLimits } from "../src/agreement/mod.ts";
import { Random, systemClock } from "../src/base/mod.ts";
import { Kernel, openLog } from "../src/kernel/mod.ts";
import { ClaimsService } from "../src/services/mod.ts";
import type { Bench, Row } from "./row.ts";

/** Whether claims share writes, and how many writes per second are allowed. */
interface Policy {
  readonly name: string;
  readonly limits: Partial<ShardLimits>;
  readonly writesPerS: number;
}

const SINGLE_CLAIM_BATCH = { events: 1, bytes: 262_144 };
const POLICIES: readonly Policy[] = [
  { name: "group commit, 60 writes/s", limits: {}, writesPerS: 60 },
  { name: "group commit, 20 writes/s", limits: {}, writesPerS: 20 },
  {
    name: "one write each, 60 writes/s",
    limits: { batch: SINGLE_CLAIM_BATCH },
    writesPerS: 60,
  },
  {
    name: "one write each, unlimited",
    limits: { batch: SINGLE_CLAIM_BATCH },
    writesPerS: 1e6,
  },
];
/** At one claim in 10 s the shard is nearly idle: only the owner's periodic writes remain, which show it is alive. */
const RATES_PER_S = [0.1, 30, 100, 300, 1000];

/** The stand-in platform in a process of its own, so that its CPU and memory are not counted here. */
class PlatformProcess {
  readonly #child: ChildProcess;

  constructor() {
    const script = new URL("../src/standins/platform_main.js", import.meta.url);
    this.#child = spawn(process.execPath, [fileURLToPath(script)], {
      stdio: ["ignore", "pipe", "inherit"],
    });
  }
  /** Waits until the platform listens and returns its URL. */
  async waitForUrl(): Promise<string> {
    for await (const line of createInterface({ input: this.#child.stdout! })) {
      const match = /listening (\S+)/.exec(line);
      if (match) return match[1];
    }
    throw new Error("the stand-in platform exited before it printed its URL");
  }
  close(): void {
    this.#child.kill();
  }
}

/** Counts the bytes of the values written to the store. */
class CountingStore extends EtcdKeyValue {
  writtenBytes = 0;

  override transact(
    writes: readonly Write[],
    purpose: StorePurpose,
  ): Promise<Result<number, StoreError>> {
    for (const write of writes) {
      if (write.type === "put") this.writtenBytes += write.value.length;
    }
    return super.transact(writes, purpose);
  }
}

interface Load {
  readonly policy: Policy;
  readonly claimsPerS: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Offers claims at random times at a mean rate. A third of them are finished at once with a short answer. */
async function measure(load: Load): Promise<Row[]> {
  const platform = new PlatformProcess();
  const url = await platform.waitForUrl();
  const store = new CountingStore({ urls: [url], vmId: "bench" });
  const kernel = new Kernel(systemClock, openLog("silent"));
  const { policy, claimsPerS, seed } = load;
  const claims = new ClaimsService({
    me: { id: "bench", incarnation: 1 },
    region: "r",
    store,
    limits: policy.limits,
    writesPerS: policy.writesPerS,
    seed,
  });
  await kernel.start(claims);
  await systemClock.sleep(500);
  globalThis.gc?.();
  const before = {
    cpu: process.cpuUsage(),
    heapBytes: process.memoryUsage().heapUsed,
    calls: store.counts().claims,
    bytes: store.writtenBytes,
    monoMs: performance.now(),
  };
  const offered = await offerClaims(claims, load);
  const cpuUsed = process.cpuUsage(before.cpu);
  const elapsedS = (performance.now() - before.monoMs) / 1000;
  const calls = store.counts().claims - before.calls;
  const writtenBytes = store.writtenBytes - before.bytes;
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - before.heapBytes;
  const claimBytes = await sumStoredBytes(store);
  await kernel.close(Date.now() + 2000);
  await store.close();
  platform.close();
  const { granted, latencyMs, refused } = offered;
  const latencyAt = (q: number) =>
    latencyMs[Math.min(latencyMs.length - 1, Math.floor(q * latencyMs.length))];
  const row = (measure: string, value: number, unit: string): Row => ({
    bench: "control_claims",
    case: `${claimsPerS} claims/s offered`,
    policy: policy.name,
    measure,
    value: Math.round(value * 100) / 100,
    unit,
    seed,
  });
  return [
    row("granted", granted / elapsedS, "claims/s"),
    row("refused", refused / elapsedS, "claims/s"),
    row("added latency p50", latencyAt(0.5) ?? NaN, "ms"),
    row("added latency p99", latencyAt(0.99) ?? NaN, "ms"),
    row("store writes", calls / elapsedS, "writes/s"),
    row("written to the store", writtenBytes / elapsedS / 1024, "KB/s"),
    row("written per claim", writtenBytes / granted, "bytes"),
    row(
      "CPU per claim",
      (cpuUsed.user + cpuUsed.system) / (granted + refused),
      "us",
    ),
    row("CPU", (cpuUsed.user + cpuUsed.system) / elapsedS / 1e4, "% of a core"),
    row("heap per claim kept", heapBytes / granted, "bytes"),
    row("stored per claim", claimBytes / granted, "bytes"),
  ];
}

async function offerClaims(claims: ClaimsService, load: Load) {
  const random = new Random(load.seed);
  const latencyMs: number[] = [];
  const running: Promise<void>[] = [];
  let granted = 0;
  let refused = 0;
  const claimOnce = async (n: number) => {
    const key = { service: "ledger", workspace: `w${n % 50}`, key: `k${n}` };
    const startMs = performance.now();
    const verdict = await claims.ask("claim", {
      ...key,
      bodyDigest: `body${n}`,
      deadlineMs: Date.now() + 3000,
    });
    if (verdict.type !== "granted") return void refused++;
    granted++;
    latencyMs.push(performance.now() - startMs);
    if (n % 3 > 0) return;
    const bodyBase64 = Buffer.from(`departure ${n} is logged`).toString(
      "base64",
    );
    const answer = {
      httpStatus: 200,
      contentType: "application/json",
      bodyBase64,
      truncated: false,
    };
    await claims.ask("finish", { ...key, claimId: verdict.claimId, answer });
  };
  const endMs = performance.now() + load.seconds * 1000;
  let dueMs = performance.now();
  for (let n = 0; performance.now() < endMs; n++) {
    running.push(claimOnce(n));
    dueMs += random.exponential(1000 / load.claimsPerS);
    const waitMs = Math.min(dueMs, endMs) - performance.now();
    if (waitMs > 0) await systemClock.sleep(waitMs);
  }
  await Promise.all(running);
  latencyMs.sort((a, b) => a - b);
  return { granted, refused, latencyMs };
}

/** Sums the bytes of the claims in the store; NaN if the store cannot be listed. */
async function sumStoredBytes(store: EtcdKeyValue): Promise<number> {
  const listed = await store.list("claims/", {}, "other");
  if (listed.isErr()) return NaN;
  return listed.value.entries.reduce(
    (sum, entry) => sum + entry.value.length,
    0,
  );
}

function parseOption(
  args: readonly string[],
  name: string,
  defaultValue: number,
): number {
  const at = args.indexOf(name);
  return at < 0 ? defaultValue : Number(args[at + 1]);
}

/** Runs all policies at all rates. `--policy TEXT` runs only the policies whose names contain the text. */
export const run: Bench = async (args) => {
  const seconds = parseOption(args, "--seconds", 8);
  const seed = parseOption(args, "--seed", 1);
  const policyFilter = args[args.indexOf("--policy") + 1 || args.length] ?? "";
  const rows: Row[] = [];
  for (const claimsPerS of RATES_PER_S) {
    for (const policy of POLICIES) {
      if (policyFilter.length > 0 && !policy.name.includes(policyFilter)) {
        continue;
      }
      rows.push(...await measure({ policy, claimsPerS, seconds, seed }));
    }
  }
  return rows;
};
