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
export type BadMood =
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
    | { readonly kind: "mood"; readonly runner: number; readonly mood: BadMood }
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
export type Crashes = "none" | "beside" | "only";

/** The name of a kind of fault. */
export type FaultKind = Fault["kind"];

/** Size of a run. */
export interface PlanSize {
  readonly vms: number;
  readonly runners: number;
  readonly domains: number;
  /** Whether only planned work is drawn. */
  readonly plannedOnly?: boolean | undefined;
  /** Requests that crash upstreams: none, beside the other faults, or nothing else. */
  readonly crashes?: Crashes | undefined;
  /** How long there is traffic with faults; after that everything is mended and callers go on. */
  readonly faultsMs: number;
}

const LINK_MODES: readonly LinkMode[] = [
  "delay",
  "silentIn",
  "silentOut",
  "reset",
];
const LINKS: readonly VmLink[] = ["callers", "peers", "store"];
const MOODS: readonly BadMood[] = [
  "shed",
  "error",
  "silent",
  "reset",
  "surplus",
  "crossed",
  "unsigned",
  "halfStream",
];
const STORE_WAYS = ["cut", "refuse", "slow", "loseAnswers", "forget"] as const;
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
const PLANNED: readonly FaultKind[] = [
  "stop",
  "hangUp",
  "drain",
  "config",
  "evacuate",
];

/** Faults begin this far apart on average, and last longer: several are always in force. */
const GAP_MS = 550;
const SHORTEST_MS = 300;
const LONGEST_MS = 3_500;
/** One fault in four comes as a series: the same again, a moment later, on the next VM or upstream. */
const SERIES_SHARE = 0.25;
const SERIES_GAP_MS = 400;
const MOST_IN_SERIES = 3;

/** Requests that crash upstreams begin this far apart on average; each comes for seconds. */
const CRASH_GAP_MS = 2_000;
/** They come longer than other faults last: they are to meet VMs that have been told. */
const CRASH_TIMES = 3;
/** They are drawn from a row of numbers of their own, so that a seed's other faults are the same with and without them. */
const CRASH_SEED = 0x5eed;

/** Draws the faults of a run, in the order of their begin. */
export function drawPlan(seed: number, size: PlanSize): Fault[] {
  const { crashes = "none" } = size;
  const others = crashes === "only" ? [] : drawOthers(seed, size);
  const fatal = crashes === "none" ? [] : drawCrashes(seed, size);
  return [...others, ...fatal].sort((a, b) => a.atMs - b.atMs);
}

function drawOthers(seed: number, size: PlanSize): Fault[] {
  const random = new Random(seed);
  const faults: Fault[] = [];
  for (
    let atMs = 200;
    atMs < size.faultsMs;
    atMs += random.next() * 2 * GAP_MS
  ) {
    const times = random.next() < SERIES_SHARE
      ? 2 + random.int(MOST_IN_SERIES - 1)
      : 1;
    const first = drawFault(random, size, Math.round(atMs));
    for (let nth = 0; nth < times; nth++) {
      faults.push(again(first, nth, size));
    }
  }
  return faults;
}

function drawCrashes(seed: number, { faultsMs }: PlanSize): Fault[] {
  const random = new Random(seed ^ CRASH_SEED);
  const faults: Fault[] = [];
  for (
    let atMs = 200;
    atMs < faultsMs;
    atMs += random.next() * 2 * CRASH_GAP_MS
  ) {
    const forMs = CRASH_TIMES *
      (SHORTEST_MS + random.int(LONGEST_MS - SHORTEST_MS));
    faults.push({ kind: "crash", atMs: Math.round(atMs), forMs });
  }
  return faults;
}

/** The same fault a moment later, on the next VM or upstream. */
function again(fault: Fault, nth: number, size: PlanSize): Fault {
  const atMs = fault.atMs + nth * SERIES_GAP_MS;
  if ("vm" in fault) {
    return { ...fault, atMs, vm: (fault.vm + nth) % size.vms };
  }
  if ("runner" in fault) {
    return { ...fault, atMs, runner: (fault.runner + nth) % size.runners };
  }
  return { ...fault, atMs };
}

function drawFault(random: Random, size: PlanSize, atMs: number): Fault {
  const kind = random.pick(size.plannedOnly ? PLANNED : KINDS);
  const when = {
    atMs,
    forMs: SHORTEST_MS + random.int(LONGEST_MS - SHORTEST_MS),
  };
  const vm = random.int(size.vms);
  const runner = random.int(size.runners);
  switch (kind) {
    case "link":
      return {
        ...when,
        kind,
        vm,
        link: random.pick(LINKS),
        mode: random.pick(LINK_MODES),
      };
    case "store":
      return { ...when, kind, how: random.pick(STORE_WAYS) };
    case "mood":
      return { ...when, kind, runner, mood: random.pick(MOODS) };
    case "runnerLink":
      return { ...when, kind, runner, mode: random.pick(LINK_MODES) };
    case "rebirth":
    case "reuse":
    case "drain":
      return { ...when, kind, runner };
    case "config":
      return { ...when, kind };
    case "evacuate":
      return { ...when, kind, domain: random.int(size.domains) };
    default:
      return { ...when, kind, vm };
  }
}
