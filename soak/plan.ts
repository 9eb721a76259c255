/**
 * What goes wrong in one run, and when: drawn from a seed, so that a run can be played again.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";

/** How the bytes of a link are treated. */
export type LinkMode =
  | "pass"
  /** Every chunk comes late. */
  | "delay"
  /** Nothing goes to the listener's side. */
  | "silentIn"
  /** Nothing comes back from it. */
  | "silentOut"
  /** Open and new connections are reset. */
  | "reset";

/** The links of a VM that can be harmed. */
export type VmLink = "callers" | "peers" | "store";

/** What a harmed upstream does; see the stand-in runner. */
export type FaultyBehavior =
  | "shed"
  | "error"
  | "silent"
  | "reset"
  | "surplus"
  | "crossed"
  | "unsigned"
  | "halfStream";

/** One thing that goes wrong. Times are ms from the start of the traffic; `vm` and `runner` count from 0. */
export type Fault =
  & { readonly atMs: number; readonly forMs: number }
  & (
    | {
      readonly kind: "kill" | "pause" | "stop" | "hangUp";
      readonly vm: number;
    }
    | {
      readonly kind: "link";
      readonly vm: number;
      readonly link: VmLink;
      readonly mode: LinkMode;
    }
    | {
      readonly kind: "store";
      readonly how: "cut" | "refuse" | "slow" | "loseAnswers" | "forget";
    }
    | {
      readonly kind: "mood";
      readonly runner: number;
      readonly mood: FaultyBehavior;
    }
    | {
      readonly kind: "runnerLink";
      readonly runner: number;
      readonly mode: LinkMode;
    }
    | { readonly kind: "rebirth" | "reuse" | "drain"; readonly runner: number }
    | { readonly kind: "config" | "crash" }
    | { readonly kind: "evacuate"; readonly domain: number }
  );

/** When requests that crash upstreams are drawn. */
export type CrashMode = "none" | "beside" | "only";

/** The name of a kind of fault. */
export type FaultKind = Fault["kind"];

/** Size of a run. */
export interface PlanOptions {
  readonly vms: number;
  readonly runners: number;
  readonly domains: number;
  /** Whether only planned work is drawn. */
  readonly plannedOnly?: boolean | undefined;
  /** Requests that crash upstreams: none, beside the other faults, or nothing else. */
  readonly crashes?: CrashMode | undefined;
  /** How long there is traffic with faults; after that everything is mended and callers go on. */
  readonly faultsMs: number;
}

const LINK_MODES: readonly LinkMode[] = [
  "delay",
  "silentIn",
  "silentOut",
  "reset",
];
const VM_LINKS: readonly VmLink[] = ["callers", "peers", "store"];
const BEHAVIORS: readonly FaultyBehavior[] = [
  "shed",
  "error",
  "silent",
  "reset",
  "surplus",
  "crossed",
  "unsigned",
  "halfStream",
];
const STORE_FAULTS = [
  "cut",
  "refuse",
  "slow",
  "loseAnswers",
  "forget",
] as const;
const KINDS: readonly FaultKind[] = [
  "kill",
  "pause",
  "stop",
  "hangUp",
  "link",
  "link",
  "store",
  "mood",
  "mood",
  "runnerLink",
  "rebirth",
  "reuse",
  "drain",
  "config",
  "evacuate",
];

/**
 * Work that operators and the platform plan. With nothing else wrong, nothing excuses an answer that is lost, late to
 * leave an upstream, or sent for a caller that has gone.
 */
const PLANNED_KINDS: readonly FaultKind[] = [
  "stop",
  "hangUp",
  "drain",
  "config",
  "evacuate",
];

/** Faults begin this far apart on average, and last longer: several are always in force. */
const MEAN_GAP_MS = 550;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3_500;
/** One fault in four comes as a series: the same again, a moment later, on the next VM or upstream. */
const SERIES_SHARE = 0.25;
const SERIES_GAP_MS = 400;
const MAX_SERIES_LENGTH = 3;

/** Requests that crash upstreams begin this far apart on average; each comes for seconds. */
const MEAN_CRASH_GAP_MS = 2_000;
/** They come longer than other faults last: they are to meet VMs that have been told. */
const CRASH_DURATION_FACTOR = 3;
/** They are drawn from a row of numbers of their own, so that a seed's other faults are the same with and without them. */
const CRASH_SEED = 0x5eed;

/** Draws the faults of a run, in the order of their begin. */
export function drawPlan(seed: number, options: PlanOptions): Fault[] {
  const { crashes = "none" } = options;
  const otherFaults = crashes === "only" ? [] : drawOtherFaults(seed, options);
  const crashFaults = crashes === "none" ? [] : drawCrashes(seed, options);
  return [...otherFaults, ...crashFaults].sort((a, b) => a.atMs - b.atMs);
}

function drawOtherFaults(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(seed);
  const faults: Fault[] = [];
  for (
    let atMs = 200;
    atMs < options.faultsMs;
    atMs += random.next() * 2 * MEAN_GAP_MS
  ) {
    const seriesLength = random.next() < SERIES_SHARE
      ? 2 + random.int(MAX_SERIES_LENGTH - 1)
      : 1;
    const first = drawFault(random, options, Math.round(atMs));
    for (let nth = 0; nth < seriesLength; nth++) {
      faults.push(repeatFault(first, nth, options));
    }
  }
  return faults;
}

function drawCrashes(seed: number, { faultsMs }: PlanOptions): Fault[] {
  const random = new Random(seed ^ CRASH_SEED);
  const faults: Fault[] = [];
  for (
    let atMs = 200;
    atMs < faultsMs;
    atMs += random.next() * 2 * MEAN_CRASH_GAP_MS
  ) {
    const forMs = CRASH_DURATION_FACTOR *
      (MIN_FAULT_MS + random.int(MAX_FAULT_MS - MIN_FAULT_MS));
    faults.push({ kind: "crash", atMs: Math.round(atMs), forMs });
  }
  return faults;
}

/** The same fault a moment later, on the next VM or upstream. */
function repeatFault(fault: Fault, nth: number, options: PlanOptions): Fault {
  const atMs = fault.atMs + nth * SERIES_GAP_MS;
  if ("vm" in fault) {
    return { ...fault, atMs, vm: (fault.vm + nth) % options.vms };
  }
  if ("runner" in fault) {
    return { ...fault, atMs, runner: (fault.runner + nth) % options.runners };
  }
  return { ...fault, atMs };
}

function drawFault(random: Random, options: PlanOptions, atMs: number): Fault {
  const kind = random.pick(options.plannedOnly ? PLANNED_KINDS : KINDS);
  const timing = {
    atMs,
    forMs: MIN_FAULT_MS + random.int(MAX_FAULT_MS - MIN_FAULT_MS),
  };
  const vm = random.int(options.vms);
  const runner = random.int(options.runners);
  switch (kind) {
    case "link":
      return {
        ...timing,
        kind,
        vm,
        link: random.pick(VM_LINKS),
        mode: random.pick(LINK_MODES),
      };
    case "store":
      return { ...timing, kind, how: random.pick(STORE_FAULTS) };
    case "mood":
      return { ...timing, kind, runner, mood: random.pick(BEHAVIORS) };
    case "runnerLink":
      return { ...timing, kind, runner, mode: random.pick(LINK_MODES) };
    case "rebirth":
    case "reuse":
    case "drain":
      return { ...timing, kind, runner };
    case "config":
      return { ...timing, kind };
    case "evacuate":
      return { ...timing, kind, domain: random.int(options.domains) };
    default:
      return { ...timing, kind, vm };
  }
}
