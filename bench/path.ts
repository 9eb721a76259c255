/**
 * What the gateway adds to the path of a stream: the same callers and engines, directly, through a bare `node:http`
 * pipe, and through one daemon, one after the other in the same run.
 *
 * `npm run bench -- path [--json] [--streams 1,64,1024] [--mode paced|flat]`; with `PATH_PROFILE=DIR` the pipe's and
 * the daemon's processor profiles are written to `DIR`.
 *
 * - `paced`: engines generate at a steady rate that all three carry: first-token time, memory, event-loop delay.
 * - `flat out`: engines offer more than one process can carry: tokens per second.
 *
 * @module
 */

import { secretDigest } from "../src/base/mod.ts";
import { Cluster, type Proc, type StandIn, upstream } from "../test/cluster.ts";
import { type Loaded, runLoad, untilServed } from "./path_load.ts";
import type { Row } from "./row.ts";

const ENGINES = 4;
const KEY = "bench-key";
const MODEL = "bench";
const REGION = "bench";
const SPAN_MS = 4000;
const SLOTS = 1024;
/** Many times the target of 23 a VM. */
const MOST_REQUESTS_PER_S = 200;
const SHORTEST_ANSWER_S = 0.5;

interface Mode {
  readonly name: "paced" | "flat out";
  /** Tokens per second that all streams together are offered, and one at most. */
  readonly offeredPerS: number;
  readonly mostPerStream: number;
}

const modes: readonly Mode[] = [
  { name: "paced", offeredPerS: 10_000, mostPerStream: 50 },
  { name: "flat out", offeredPerS: 150_000, mostPerStream: 1000 },
];

interface Probe {
  readonly loopP99Ms: number;
  readonly loopMostMs: number;
  readonly rssBytes: number;
  readonly cpuMs: number;
}

interface Measured {
  readonly loaded: Loaded;
  readonly idle?: Probe | undefined;
  readonly busy?: Probe | undefined;
}

/** Runs the bench. */
export async function run(args: readonly string[]): Promise<Row[]> {
  const at = args.indexOf("--streams");
  const sizes = at < 0 ? [1, 64, 1024] : args[at + 1].split(",").map(Number);
  const rows: Row[] = [];
  const modeAt = args.indexOf("--mode");
  const only = modeAt < 0 ? "" : args[modeAt + 1];
  for (const mode of modes.filter(({ name }) => name.startsWith(only))) {
    for (const streams of sizes) {
      rows.push(...await measureCase(mode, streams));
    }
  }
  return rows;
}

async function measureCase(mode: Mode, streams: number): Promise<Row[]> {
  const perStream = Math.min(mode.mostPerStream, mode.offeredPerS / streams);
  const answerS = Math.max(SHORTEST_ANSWER_S, streams / MOST_REQUESTS_PER_S);
  const tokens = Math.round(perStream * answerS);
  const cluster = new Cluster();
  try {
    const engines = await cluster.startUpstreams(ENGINES, 0, [
      "--options",
      JSON.stringify({
        slots: SLOTS,
        prefillTokensPerS: 1e9,
        decodeTokensPerS: 1e9,
        streamTokensPerS: perStream,
        stepMs: 1,
      }),
    ]);
    const common = { key: KEY, model: MODEL, streams, tokens };
    const rampMs = answerS * 1000;
    const load = (urls: readonly string[], onCount?: () => void) =>
      runLoad({ ...common, urls, rampMs, spanMs: SPAN_MS, onCount });
    const direct = { loaded: await load(engines.map((engine) => engine.url)) };
    const pipe = await startPipe(cluster, engines);
    const piped = await probed(
      pipe.proc,
      (onCount) => load([pipe.url], onCount),
    );
    await pipe.proc.end();
    const daemon = await startDaemon(cluster, engines);
    await untilServed({ ...common, urls: [daemon.url], rampMs, spanMs: 0 });
    const served = await probed(
      daemon.proc,
      (onCount) => load([daemon.url], onCount),
    );
    return caseRows(mode, streams, { direct, pipe: piped, ibisgap: served });
  } finally {
    await cluster.close();
  }
}

/** Child processes that are started inside `start` report by the probe. */
async function withProbe<T>(start: () => Promise<T>): Promise<T> {
  const before = process.env.NODE_OPTIONS;
  const probe = new URL("./path_probe.js", import.meta.url);
  process.env.NODE_OPTIONS = `${before ?? ""} --import ${probe}`;
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
    const proc = cluster.run("pipe", "bench/path_pipe.js", urls);
    const [, url] = await proc.said(/ready: (\S+)/);
    return { proc, url };
  });
}

async function startDaemon(cluster: Cluster, engines: readonly StandIn[]) {
  await cluster.startPlatform();
  await cluster.seed([
    { kind: "region", id: REGION },
    { kind: "service", id: MODEL, type: "model" },
    {
      kind: "workspace",
      id: "callers",
      home: REGION,
      keyDigests: [secretDigest(KEY)],
    },
    ...engines.map(({ url }, n) =>
      upstream(`engine-${n}`, MODEL, REGION, url, {
        slots: SLOTS,
        prefillTokensPerS: 1e6,
        decodeTokensPerS: 1e6,
      })
    ),
  ]);
  const vm = await withProbe(() => cluster.startVm("vm-1", REGION, []));
  await cluster.until(vm, (status) => status.tableVersion === 1);
  return vm;
}

/** Measures a process from the beginning to the end of the counting. */
async function probed(
  proc: Proc,
  load: (onCount: () => void) => Promise<Loaded>,
): Promise<Measured> {
  const idle = await probe(proc, 1);
  let busy: Promise<Probe> | undefined;
  const loaded = await load(() => {
    busy = probe(proc, 2).then(() => sleep(SPAN_MS)).then(() => probe(proc, 3));
  });
  return { loaded, idle, busy: await busy };
}

async function probe(proc: Proc, number: number): Promise<Probe> {
  proc.signal("SIGUSR2");
  const [, text] = await proc.said(
    new RegExp(`probe (\\{"number":${number},.*\\})`),
  );
  return JSON.parse(text) as Probe;
}

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}

function caseRows(
  mode: Mode,
  streams: number,
  measured: Record<"direct" | "pipe" | "ibisgap", Measured>,
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
  for (const [policy, { loaded, idle, busy }] of Object.entries(measured)) {
    add(policy, "first token p50", firstMs(loaded, 50), "ms");
    add(policy, "first token p99", firstMs(loaded, 99), "ms");
    add(policy, "tokens", loaded.tokensPerS, "1/s");
    add(policy, "requests", loaded.requests, "");
    add(policy, "failed", loaded.failed, "");
    if (!idle || !busy) continue;
    const above = busy.rssBytes - idle.rssBytes;
    add(policy, "memory", busy.rssBytes / 1e6, "MB");
    add(policy, "memory above idle", above / 1e6, "MB");
    add(policy, "memory per stream", above / streams / 1e3, "KB");
    add(policy, "event-loop delay p99", busy.loopP99Ms, "ms");
    add(policy, "event-loop delay most", busy.loopMostMs, "ms");
    add(policy, "processor time", busy.cpuMs / SPAN_MS, "cores");
  }
  const { direct, pipe, ibisgap } = measured;
  for (const percent of [50, 99]) {
    const added = firstMs(ibisgap.loaded, percent) -
      firstMs(direct.loaded, percent);
    add("ibisgap", `added to first token p${percent}`, added, "ms");
  }
  const share = ibisgap.loaded.tokensPerS / pipe.loaded.tokensPerS;
  add("ibisgap", "tokens against the pipe's", share, "share");
  return rows;
}

function firstMs(loaded: Loaded, percent: number): number {
  return loaded.firstUs.getValueAtPercentile(percent) / 1000;
}
