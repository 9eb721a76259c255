/**
 * The part of a plan with entries that lapse, regions whose VMs are killed at one moment, and series of evacuations.
 *
 * @module
 */

import { hash32, Random } from "../src/base/mod.ts";
import { READER_COUNT } from "../src/region/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";

/** Mean time between the starts of lapses, kills of a region and series of evacuations. */
const MEAN_LAPSE_GAP_MS = 1_200;
/** Silence is longer than the three heartbeats after which the store removes an entry. */
const MIN_SILENCE_MS = 3_200;
const MAX_SILENCE_MS = 7_000;
const MAX_SILENT_UPSTREAMS = 3;
const MAX_EVACUATIONS = 4;
const MIN_EVACUATION_MS = 150;
const MAX_EVACUATION_MS = 900;
const MAX_EVACUATION_GAP_MS = 400;
/** Share of these faults near whose end a region's VMs are killed; entries return and news spread within seconds of it. */
const KILL_SHARE = 0.6;
const MAX_KILL_LEAD_MS = 600;
const MAX_KILL_DELAY_MS = 1_400;
/** These faults use their own random stream, like fatal requests. */
const LAPSE_SEED = 0x1a95e;
const LAPSE_KINDS = [
  "silence",
  "silence",
  "evacuations",
  "evacuations",
  "evacuations",
  "lapseOutage",
] as const;

/** Draws these faults from a random stream of their own. */
export function drawLapses(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(seed ^ LAPSE_SEED);
  const faults: Fault[] = [];
  for (
    let atMs = 200;
    atMs < options.faultsMs;
    atMs += random.next() * 2 * MEAN_LAPSE_GAP_MS
  ) {
    const lapse = drawLapse(random, options, Math.round(atMs));
    faults.push(...lapse);
    if (random.next() >= KILL_SHARE) continue;
    const endMs = Math.max(...lapse.map((fault) => fault.atMs + fault.forMs));
    const killMs = endMs - MAX_KILL_LEAD_MS +
      random.int(MAX_KILL_LEAD_MS + MAX_KILL_DELAY_MS);
    faults.push(drawRegionKill(random, options, Math.max(0, killMs)));
  }
  return faults;
}

/** Draws upstreams that are silent to the store, evacuations of one domain, or an outage in which all entries lapse. */
export function drawLapse(
  random: Random,
  options: PlanOptions,
  atMs: number,
): Fault[] {
  switch (random.pick(LAPSE_KINDS)) {
    case "silence":
      return drawSilences(random, options, atMs);
    case "evacuations":
      return drawEvacuations(random, options, atMs);
    case "lapseOutage":
      return [{
        kind: "lapseOutage",
        atMs,
        forMs: drawSilenceMs(random),
        how: random.pick(["cut", "refuse"] as const),
        lapsesWhileDown: random.next() < 0.5,
      }];
  }
}

function drawSilenceMs(random: Random): number {
  return MIN_SILENCE_MS + random.int(MAX_SILENCE_MS - MIN_SILENCE_MS);
}

/** One or more upstreams that are silent at the same time. */
function drawSilences(
  random: Random,
  { runners }: PlanOptions,
  atMs: number,
): Fault[] {
  const first = random.int(runners);
  const count = 1 + random.int(MAX_SILENT_UPSTREAMS);
  return Array.from({ length: count }, (_, index) => ({
    kind: "silence",
    atMs,
    forMs: drawSilenceMs(random),
    runner: (first + index) % runners,
  }));
}

/** Kills the readers of a region; if all its VMs read the store, all of them or all but one. */
function drawRegionKill(
  random: Random,
  { vms, domains }: PlanOptions,
  atMs: number,
): Fault {
  const region = random.int(domains);
  const spared = random.int(2 * READER_COUNT);
  const inRegion = Array.from({ length: vms }, (_, vm) => vm)
    .filter((vm) => vm % domains === region);
  const killed = inRegion.length > READER_COUNT
    ? findReaders(inRegion)
    : inRegion.filter((_, place) => place !== spared);
  return { kind: "killRegion", atMs, forMs: 0, vms: killed };
}

/** The VMs that read the store while all VMs of their region run: those that the gateways' order of leads puts first. */
function findReaders(vms: readonly number[]): number[] {
  const byWeight = vms
    .map((vm) => ({ vm, weight: hash32(`vm-${vm}`) }))
    .sort((a, b) => b.weight - a.weight);
  return byWeight.slice(0, READER_COUNT).map(({ vm }) => vm);
}

/** Evacuations of one domain that follow each other. */
function drawEvacuations(
  random: Random,
  { domains }: PlanOptions,
  fromMs: number,
): Fault[] {
  const domain = random.int(domains);
  const count = 1 + random.int(MAX_EVACUATIONS);
  const evacuations: Fault[] = [];
  let atMs = fromMs;
  for (let index = 0; index < count; index++) {
    const forMs = MIN_EVACUATION_MS +
      random.int(MAX_EVACUATION_MS - MIN_EVACUATION_MS);
    evacuations.push({ kind: "evacuate", atMs, forMs, domain });
    atMs += forMs + 1 + random.int(MAX_EVACUATION_GAP_MS);
  }
  return evacuations;
}
