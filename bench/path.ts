/**
 * Measures what the gateway adds to the path of a stream. The same callers and engines are connected directly, through
 * a bare `node:http` pipe, and through one daemon, one after the other in the same run.
 *
 * `npm run bench -- path [--json] [--streams 1,64,1024] [--mode paced|flat]`; with `PATH_PROFILE=DIR` the pipe's and
 * the daemon's processor profiles are written to `DIR`.
 *
 * - `paced`: engines generate at a steady rate that all three setups can carry. It shows the time to the first token,
 *   memory and event-loop delay.
 * - `flat out`: engines offer more than one process can carry. It shows tokens per second.
 *
 * @module
 */

import { secretDigest } from "../src/base/mod.ts";
import {
  Cluster,
  type StandIn,
  type TestProcess,
  upstreamRow,
} from "../test/cluster.ts";
import { type LoadResult, runLoad, waitUntilServed } from "./path_load.ts";
import type { Row } from "./row.ts";

const ENGINES = 4;
const KEY = "bench-key";
const MODEL = "bench";
const REGION = "bench";
const MEASURE_MS = 4000;
const SLOTS = 1024;
/** Many times the target of 23 requests per second on a VM. */
const MAX_REQUESTS_PER_S = 200;
const MIN_RESPONSE_S = 0.5;

interface Mode {
  readonly name: "paced" | "flat out";
  /** Rate at which all streams together are offered tokens. */
  readonly offeredTokensPerS: number;
  /** Maximum rate of one stream. */
  readonly maxStreamTokensPerS: number;
}

const MODES: readonly Mode[] = [
  { name: "paced", offeredTokensPerS: 10_000, maxStreamTokensPerS: 50 },
  { name: "flat out", offeredTokensPerS: 150_000, maxStreamTokensPerS: 1000 },
];

interface ProbeReport {
  readonly loopP99Ms: number;
  readonly loopMostMs: number;
  readonly rssBytes: number;
  readonly cpuMs: number;
}

interface Measurement {
  readonly result: LoadResult;
  readonly idle?: ProbeReport | undefined;
  readonly busy?: ProbeReport | undefined;
}

/** Measures each mode with each number of streams. */
export async function run(args: readonly string[]): Promise<Row[]> {
  const at = args.indexOf("--streams");
  const sizes = at < 0 ? [1, 64, 1024] : args[at + 1].split(",").map(Number);
  const rows: Row[] = [];
  const modeAt = args.indexOf("--mode");
  const modePrefix = modeAt < 0 ? "" : args[modeAt + 1];
  for (const mode of MODES.filter(({ name }) => name.startsWith(modePrefix))) {
    for (const streams of sizes) {
      rows.push(...await measureCase(mode, streams));
    }
  }
  return rows;
}

async function measureCase(mode: Mode, streams: number): Promise<Row[]> {
  const tokensPerS = Math.min(
    mode.maxStreamTokensPerS,
    mode.offeredTokensPerS / streams,
  );
  const responseS = Math.max(MIN_RESPONSE_S, streams / MAX_REQUESTS_PER_S);
  const tokens = Math.round(tokensPerS * responseS);
  const cluster = new Cluster();
  try {
    const engines = await cluster.startUpstreams(ENGINES, 0, [
      "--options",
      JSON.stringify({
        slots: SLOTS,
        prefillTokensPerS: 1e9,
        decodeTokensPerS: 1e9,
        streamTokensPerS: tokensPerS,
        stepMs: 1,
      }),
    ]);
    const common = { key: KEY, model: MODEL, streams, tokens };
    const rampMs = responseS * 1000;
    const load = (urls: readonly string[], onMeasureStart?: () => void) =>
      runLoad({
        ...common,
        urls,
        rampMs,
        measureMs: MEASURE_MS,
        onMeasureStart,
      });
    const direct = { result: await load(engines.map((engine) => engine.url)) };
    const pipe = await startPipe(cluster, engines);
    const piped = await measureProcess(
      pipe.proc,
      (onMeasureStart) => load([pipe.url], onMeasureStart),
    );
    await pipe.proc.kill();
    const daemon = await startDaemon(cluster, engines);
    await waitUntilServed({
      ...common,
      urls: [daemon.url],
      rampMs,
      measureMs: 0,
    });
    const served = await measureProcess(
      daemon.proc,
      (onMeasureStart) => load([daemon.url], onMeasureStart),
    );
    return makeRows(mode, streams, { direct, pipe: piped, ibisgap: served });
  } finally {
    await cluster.close();
  }
}

/** Loads the probe into the child processes that `start` starts. */
async function withProbe<T>(start: () => Promise<T>): Promise<T> {
  const before = process.env.NODE_OPTIONS;
  const probeUrl = new URL("./path_probe.js", import.meta.url);
  process.env.NODE_OPTIONS = `${before ?? ""} --import ${probeUrl}`;
  try {
    return await start();
  } finally {
    if (before === undefined) delete process.env.NODE_OPTIONS;
    else process.env.NODE_OPTIONS = before;
  }
}

async function startPipe(cluster: Cluster, engines: readonly StandIn[]) {
  return await withProbe(async () => {
    const urls = engines.map((engine) => engine.url);
    const proc = cluster.startProcess("pipe", "bench/path_pipe.js", urls);
    const [, url] = await proc.waitForOutput(/ready: (\S+)/);
    return { proc, url };
  });
}

async function startDaemon(cluster: Cluster, engines: readonly StandIn[]) {
  await cluster.startPlatform();
  await cluster.seedTable([
    { kind: "region", id: REGION },
    { kind: "service", id: MODEL, type: "model" },
    {
      kind: "workspace",
      id: "callers",
      home: REGION,
      keyDigests: [secretDigest(KEY)],
    },
    ...engines.map(({ url }, n) =>
      upstreamRow(`engine-${n}`, MODEL, REGION, url, {
        slots: SLOTS,
        prefillTokensPerS: 1e6,
        decodeTokensPerS: 1e6,
      })
    ),
  ]);
  const vm = await withProbe(() => cluster.startVm("vm-1", REGION, []));
  await cluster.waitFor(vm, (status) => status.tableVersion === 1);
  return vm;
}

/** Measures a process while the load is counted, and before it when the process is idle. */
async function measureProcess(
  proc: TestProcess,
  load: (onMeasureStart: () => void) => Promise<LoadResult>,
): Promise<Measurement> {
  const idle = await readProbe(proc, 1);
  let busy: Promise<ProbeReport> | undefined;
  const result = await load(() => {
    busy = readProbe(proc, 2).then(() => sleep(MEASURE_MS)).then(() =>
      readProbe(proc, 3)
    );
  });
  return { result, idle, busy: await busy };
}

async function readProbe(
  proc: TestProcess,
  number: number,
): Promise<ProbeReport> {
  proc.signal("SIGUSR2");
  const [, text] = await proc.waitForOutput(
    new RegExp(`probe (\\{"number":${number},.*\\})`),
  );
  return JSON.parse(text) as ProbeReport;
}

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}

function makeRows(
  mode: Mode,
  streams: number,
  measured: Record<"direct" | "pipe" | "ibisgap", Measurement>,
): Row[] {
  const rows: Row[] = [];
  const add = (policy: string, measure: string, value: number, unit: string) =>
    rows.push({
      bench: "path",
      case: `${mode.name}, ${streams} streams`,
      policy,
      measure,
      value: Math.round(value * 1000) / 1000,
      unit,
      seed: 0,
    });
  for (const [policy, { result, idle, busy }] of Object.entries(measured)) {
    add(policy, "first token p50", firstTokenMs(result, 50), "ms");
    add(policy, "first token p99", firstTokenMs(result, 99), "ms");
    add(policy, "tokens", result.tokensPerS, "1/s");
    add(policy, "requests", result.requests, "");
    add(policy, "failed", result.failed, "");
    if (!idle || !busy) continue;
    const aboveIdleBytes = busy.rssBytes - idle.rssBytes;
    add(policy, "memory", busy.rssBytes / 1e6, "MB");
    add(policy, "memory above idle", aboveIdleBytes / 1e6, "MB");
    add(policy, "memory per stream", aboveIdleBytes / streams / 1e3, "KB");
    add(policy, "event-loop delay p99", busy.loopP99Ms, "ms");
    add(policy, "event-loop delay most", busy.loopMostMs, "ms");
    add(policy, "processor time", busy.cpuMs / MEASURE_MS, "cores");
  }
  const { direct, pipe, ibisgap } = measured;
  for (const percent of [50, 99]) {
    const added = firstTokenMs(ibisgap.result, percent) -
      firstTokenMs(direct.result, percent);
    add("ibisgap", `added to first token p${percent}`, added, "ms");
  }
  const share = ibisgap.result.tokensPerS / pipe.result.tokensPerS;
  add("ibisgap", "tokens against the pipe's", share, "share");
  return rows;
}

function firstTokenMs(result: LoadResult, percent: number): number {
  return result.firstEventUs.getValueAtPercentile(percent) / 1000;
}
