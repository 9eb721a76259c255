/**
 * Callers whose prompts share parts, one of which crashes each upstream that begins to run a request with it, beside
 * sound callers with the same other parts; and what callers and upstreams saw.
 *
 * @module
 */

import type { ExecutionContext } from "ava";
import type { FatalStart, Runner } from "../src/standins/mod.ts";
import { GatewayLab, type LabVm } from "./gateway_lab.ts";

/** The part that crashes upstreams. */
export const DEADLY_PART = "deadly";
/** Runs that reach upstreams later than this after the fifth crash count as late: by then all VMs are informed. */
const INFORMED_MS = 1_500;
/** How many crashes it may take until the part is known. */
const CRASHES_TO_KNOW = 5;
const SOUND_PER_S = 20;
const UPSTREAMS = 18;
const DOWN_MS = 700;

/** How requests with the deadly part, and sound ones beside them, look. */
export interface PartTraffic {
  /** The region of each VM. */
  readonly regions: readonly string[];
  readonly path: string;
  /** The shared parts of requests that crash upstreams; a request has one of these lists, drawn in turn. */
  readonly deadlyParts: readonly (readonly string[])[];
  /** The shared parts of sound requests, likewise. */
  readonly soundParts: readonly (readonly string[])[];
  readonly deadlyPerS: number;
  /** When requests with the deadly part begin to come; they come until the end. */
  readonly deadlyFromMs: number;
  readonly forMs: number;
  readonly crashDelayMs: number;
  readonly fatalStart: FatalStart;
}

/** A region of six VMs and streams that run once; the deadly part is the second of three. */
export const USUAL_TRAFFIC: PartTraffic = {
  regions: ["north", "north", "north", "north", "north", "north"],
  path: "/streamonce/",
  deadlyParts: [["tools", DEADLY_PART, "book"]],
  soundParts: [["tools", "book"], ["tools", "page"]],
  deadlyPerS: 3,
  deadlyFromMs: 1_500,
  forMs: 9_000,
  crashDelayMs: 40,
  fatalStart: "head",
};

/** A request as its caller saw it. */
export interface PartCall {
  readonly isDeadly: boolean;
  readonly parts: readonly string[];
  readonly sentMs: number;
  readonly status: number;
  readonly code: number | undefined;
  readonly retryAfterS: number | undefined;
  readonly isServed: boolean;
}

/** What came of the traffic. */
export interface PartOutcome {
  readonly crashes: number;
  /** Requests with a deadly part that reached upstreams later than all VMs were informed of the fifth crash. */
  readonly late: number;
  /** Share of the sound requests served before the deadly ones came, and once all VMs were informed. */
  readonly servedBefore: number;
  readonly servedAfter: number;
  readonly calls: readonly PartCall[];
}

/** Opens a lab for such traffic; all VMs know each other and the upstreams. */
export async function openPartLab(
  t: ExecutionContext,
  { regions, crashDelayMs, fatalStart }: PartTraffic,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure();
  const names = [...new Set(regions)];
  for (let i = 0; i < UPSTREAMS; i++) {
    const runner = await lab.addRunner(names[i % names.length]);
    runner.isFatal = (_, parts) =>
      parts.some((id) => id.startsWith(DEADLY_PART));
    runner.crashDelayMs = crashDelayMs;
    runner.fatalStart = fatalStart;
    runner.downMs = DOWN_MS;
    runner.answerDelayMs = 30;
    runner.streamEvents = 20;
    runner.eventGapMs = 15;
  }
  for (const region of regions) {
    await lab.waitUntilReady(await lab.addVm(region));
  }
  await lab.waitUntilAllKnown();
  return lab;
}

let callCount = 0;

/** Sends one request with `parts` and a last part of its own. */
export async function callWithParts(
  lab: GatewayLab,
  vm: LabVm,
  path: string,
  parts: readonly string[],
): Promise<PartCall> {
  const id = `call${callCount++}`;
  const sentMs = performance.now();
  const isDeadly = parts.some((part) => part.startsWith(DEADLY_PART));
  const prefix = [...parts.map((part) => `${part}:400`), `${id}:50`].join();
  const headers = { "prompt-prefix": prefix, "token-counts": "1250,40" };
  const request = { path: `${path}${id}`, method: "POST", headers, body: id };
  const call = { isDeadly, parts, sentMs };
  try {
    const answer = await lab.call(vm, request);
    const retryAfter = answer.headers["retry-after"];
    return {
      ...call,
      status: answer.status,
      code: answer.status < 400 ? undefined : codeIn(answer.body),
      retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
      isServed: answer.status === 200 && answer.isComplete,
    };
  } catch {
    const [code, retryAfterS] = [undefined, undefined];
    return { ...call, status: 0, code, retryAfterS, isServed: false };
  }
}

function codeIn(body: string): number | undefined {
  try {
    return (JSON.parse(body) as { error: { code: number } }).error.code;
  } catch {
    return undefined;
  }
}

/** Sends requests at a steady rate, to each VM in turn; they have the lists of parts in turn. */
async function sendSteadily(
  lab: GatewayLab,
  { path }: PartTraffic,
  lists: readonly (readonly string[])[],
  { perS, forMs }: { readonly perS: number; readonly forMs: number },
): Promise<PartCall[]> {
  const calls: Promise<PartCall>[] = [];
  const startMs = performance.now();
  for (let i = 0; i * 1_000 / perS < forMs; i++) {
    const waitMs = startMs + i * 1_000 / perS - performance.now();
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
    const vm = lab.vms[i % lab.vms.length];
    calls.push(callWithParts(lab, vm, path, lists[i % lists.length]));
  }
  return await Promise.all(calls);
}

/** Plays the traffic to its end. */
export async function playParts(
  lab: GatewayLab,
  traffic: PartTraffic,
): Promise<PartOutcome> {
  const { deadlyParts, soundParts, deadlyPerS, deadlyFromMs, forMs } = traffic;
  const crashesMs: number[] = [];
  for (const runner of lab.runners) {
    runner.onCrash = () => crashesMs.push(performance.now());
  }
  const startMs = performance.now();
  const sound = sendSteadily(lab, traffic, soundParts, {
    perS: SOUND_PER_S,
    forMs,
  });
  await new Promise((resolve) => setTimeout(resolve, deadlyFromMs));
  const deadly = await sendSteadily(lab, traffic, deadlyParts, {
    perS: deadlyPerS,
    forMs: forMs - deadlyFromMs,
  });
  const calls = [...await sound, ...deadly];
  const known = crashesMs.at(CRASHES_TO_KNOW - 1);
  const settledMs = (known ?? crashesMs.at(-1) ?? startMs) + 2 * INFORMED_MS;
  const served = (isIn: (call: PartCall) => boolean) =>
    shareServed(calls.filter((call) => !call.isDeadly && isIn(call)));
  return {
    crashes: crashesMs.length,
    late: known === undefined
      ? 0
      : countDeadlyArrivals(lab.runners, known + INFORMED_MS),
    servedBefore: served(({ sentMs }) => sentMs < startMs + deadlyFromMs),
    servedAfter: served(({ sentMs }) => sentMs >= settledMs),
    calls,
  };
}

function countDeadlyArrivals(
  runners: readonly Runner[],
  fromMs: number,
): number {
  return runners.flatMap(({ arrivals }) => arrivals).filter((
    { headers, arrivedMonoMs },
  ) =>
    arrivedMonoMs > fromMs &&
    String(headers["prompt-prefix"]).includes(`${DEADLY_PART}`)
  ).length;
}

function shareServed(calls: readonly PartCall[]): number {
  if (calls.length === 0) throw new Error("no request was sent in this time");
  return calls.filter(({ isServed }) => isServed).length / calls.length;
}
