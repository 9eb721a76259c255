/**
 * The plan of a run: its faults and their times, drawn from a seed, so that a run can be repeated.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type {
  AnswerEnding,
  AnswerFraming,
  CrashEnding,
} from "../src/standins/mod.ts";
import { drawEndings } from "./plan_endings.ts";
import type { Flood } from "./floods.ts";
import { drawFleetKills } from "./plan_fleet_kills.ts";
import { drawFloods } from "./plan_floods.ts";
import { drawLapses } from "./plan_lapses.ts";
import { drawNotices } from "./plan_notices.ts";
import { drawParts } from "./plan_parts.ts";
import { drawReturns } from "./plan_returns.ts";
import { drawStops } from "./plan_stops.ts";
import { drawVersions } from "./plan_versions.ts";
import type { QuietHow } from "./runner_host.ts";

/** How a link treats its connections. */
export type LinkMode =
  | "pass"
  /** Every chunk is delayed. */
  | "delay"
  /** No data passes to the listener. */
  | "silentIn"
  /** No data passes back from the listener. */
  | "silentOut"
  /** No data passes either way. */
  | "silentBoth"
  /** Open and new connections are reset. */
  | "reset";

/** The links of a VM that can have faults. */
export type VmLink = "callers" | "peers" | "store";

/** How a faulty upstream behaves; `RunnerBehavior` of the stand-in runner describes each. */
export type FaultyBehavior =
  | "shed"
  | "error"
  | "silent"
  | "reset"
  | "surplus"
  | "crossed"
  | "unsigned"
  | "halfStream";

/** One fault. `atMs` counts from the start of the traffic; `vm` and `runner` are indexes from 0. */
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
    | { readonly kind: "config" | "crash" | "parts" }
    | { readonly kind: "evacuate"; readonly domain: number }
    /** The upstream serves on, but the store removes its entry until it is written again. */
    | { readonly kind: "silence"; readonly runner: number }
    /** All VMs of a region that read the store, or all but one, killed at one moment. */
    | { readonly kind: "killRegion"; readonly vms: readonly number[] }
    | {
      readonly kind: "lapseOutage";
      readonly how: "cut" | "refuse";
      /** Whether entries are removed during the outage; otherwise they are removed at its end. */
      readonly lapsesWhileDown: boolean;
    }
    /** The upstream says in its answers that it leaves, while its entry says that it is ready; then it ends. */
    | { readonly kind: "farewell"; readonly runner: number }
    /** The upstream refuses all requests and asks for rest, in seconds as it is sent. */
    | {
      readonly kind: "rest";
      readonly runner: number;
      readonly retryAfter: string;
    }
    /** The upstream's answers are framed so and end so; then it crashes, unless `crash` is absent. */
    | {
      readonly kind: "ending";
      readonly runner: number;
      readonly framing: AnswerFraming;
      readonly ending: AnswerEnding;
      readonly plainEnding: AnswerEnding;
      readonly partialEventBytes: number;
      readonly crash: CrashEnding | undefined;
    }
    /** Another upstream starts in its place, with this version of the software, under the same id or a new one. */
    | {
      readonly kind: "replace";
      readonly runner: number;
      readonly version: string;
      readonly keepsId: boolean;
    }
    /** All VMs are killed at one moment; they start again after `forMs`. */
    | { readonly kind: "killFleet" }
    /** All upstreams of the version `from`, or all if it is absent, are replaced one after the other within `forMs`. */
    | {
      readonly kind: "release";
      readonly from: string | undefined;
      readonly version: string;
      readonly keepsId: boolean;
    }
    /** The store goes away for a moment, and comes back from a copy that was made `ageMs` before. */
    | {
      readonly kind: "restore";
      readonly ageMs: number;
      readonly awayMs: number;
    }
    /** The same without a configuration that was written in between; VMs are killed and start before it is written again. */
    | {
      readonly kind: "lostConfig";
      readonly ageMs: number;
      readonly awayMs: number;
      readonly vms: readonly number[];
      readonly killDelayMs: number;
      readonly rewriteDelayMs: number;
    }
    /** The upstream keeps its callers waiting; `lateMs` is by how much its answers are late, where they are. */
    | {
      readonly kind: "quiet";
      readonly runner: number;
      readonly how: QuietHow;
      readonly lateMs: number;
    }
    /** Callers flood the VM, or ask it for answers without end, until its process is gone; then the next VM. */
    | ({ readonly kind: "flood"; readonly vm: number } & Flood)
  );

/** Whether a plan has a class of faults that is drawn on its own: none, beside the other faults, or nothing else. */
export type ExtraMode = "none" | "beside" | "only";

/** Name of a kind of fault that is drawn from a seed's main random stream. */
export type FaultKind = Exclude<
  Fault["kind"],
  | "crash"
  | "parts"
  | "silence"
  | "killRegion"
  | "lapseOutage"
  | "farewell"
  | "rest"
  | "ending"
  | "replace"
  | "killFleet"
  | "release"
  | "restore"
  | "lostConfig"
  | "quiet"
  | "flood"
>;

/** Size and kind of a plan. */
export interface PlanOptions {
  readonly vms: number;
  readonly runners: number;
  readonly domains: number;
  /** Whether the plan has only planned work. */
  readonly plannedOnly?: boolean | undefined;
  /** Requests that crash upstreams; `none` if absent. */
  readonly crashes?: ExtraMode | undefined;
  /** Requests with a part of their prompts that crashes upstreams; `none` if absent. */
  readonly parts?: ExtraMode | undefined;
  /** Entries that lapse, regions whose VMs are killed at one moment, series of evacuations; `none` if absent. */
  readonly lapses?: ExtraMode | undefined;
  /** What upstreams say of themselves in answers, and a store that comes back from a copy; `none` if absent. */
  readonly notices?: ExtraMode | undefined;
  /** A store that comes back without the newest configuration while VMs start; `none` if absent. */
  readonly returns?: ExtraMode | undefined;
  /** Upstreams whose answers end with their connection, end early or end in a crash; `none` if absent. */
  readonly endings?: ExtraMode | undefined;
  /** Upstreams of several software versions, some replaced by another one; `none` if absent. */
  readonly versions?: ExtraMode | undefined;
  /** Kills of all VMs while upstreams' versions are replaced; `none` if absent. */
  readonly fleetKills?: ExtraMode | undefined;
  /** Series of planned stops while upstreams keep callers waiting; `none` if absent. */
  readonly stops?: ExtraMode | undefined;
  /** Callers and upstreams that send without end, beside stops and kills of VMs; `none` if absent. */
  readonly floods?: ExtraMode | undefined;
  /** Time during which faults begin; after the last fault, callers continue without faults. */
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
 * Work that operators and the platform plan. Without other faults, nothing excuses an answer that is lost, a request to
 * an upstream that has been draining for long, or a request that is sent for a caller that canceled it.
 */
const PLANNED_KINDS: readonly FaultKind[] = [
  "stop",
  "hangUp",
  "drain",
  "config",
  "evacuate",
];

/** Mean time between the starts of faults; faults last longer on average, so that several are in force at once. */
const MEAN_GAP_MS = 550;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3_500;
/** Share of faults that come as a series: the fault is repeated after a short gap on the next VM or upstream. */
const SERIES_SHARE = 0.25;
const SERIES_GAP_MS = 400;
const MAX_SERIES_LENGTH = 3;

/** Mean time between the starts of fatal requests; each is repeated for seconds. */
const MEAN_CRASH_GAP_MS = 2_000;
/** Fatal requests are repeated for longer than other faults last, so that they also reach VMs that know of the crashes. */
const CRASH_DURATION_FACTOR = 3;
/** Fatal requests use their own random stream, so that the other faults of a seed are the same with and without them. */
const CRASH_SEED = 0x5eed;

/** The classes of faults that are drawn on their own, and what draws each. */
const EXTRA_FAULTS = [
  ["crashes", drawCrashes],
  ["parts", drawParts],
  ["lapses", drawLapses],
  ["notices", drawNotices],
  ["returns", drawReturns],
  ["endings", drawEndings],
  ["versions", drawVersions],
  ["fleetKills", drawFleetKills],
  ["stops", drawStops],
  ["floods", drawFloods],
] as const;

/** Draws the faults of a run, sorted by their start. */
export function drawPlan(seed: number, options: PlanOptions): Fault[] {
  const drawn = EXTRA_FAULTS.map(([name, draw]) => ({
    mode: options[name] ?? "none",
    draw,
  }));
  const hasOthers = drawn.every(({ mode }) => mode !== "only");
  return [
    ...(hasOthers ? drawOtherFaults(seed, options) : []),
    ...drawn.flatMap(({ mode, draw }) =>
      mode === "none" ? [] : draw(seed, options)
    ),
  ].sort((a, b) => a.atMs - b.atMs);
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
    for (let index = 0; index < seriesLength; index++) {
      faults.push(repeatFault(first, index, options));
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

/** Returns the same fault `index` gaps later and on the VM or upstream that many places further. */
function repeatFault(fault: Fault, index: number, options: PlanOptions): Fault {
  const atMs = fault.atMs + index * SERIES_GAP_MS;
  if ("vm" in fault) {
    return { ...fault, atMs, vm: (fault.vm + index) % options.vms };
  }
  if ("runner" in fault) {
    return { ...fault, atMs, runner: (fault.runner + index) % options.runners };
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
