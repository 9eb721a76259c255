/**
 * The part of a plan with a store that comes back without the newest configuration, and VMs that start before operators
 * write it again.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";

/** These faults use a random stream of their own, like fatal requests. */
const RETURN_SEED = 0x2e7124;
const MEAN_RETURN_GAP_MS = 4_000;
/** Age of the copy: the configuration that it lacks is written right after it was made. */
const MIN_COPY_AGE_MS = 1_000;
const MAX_COPY_AGE_MS = 4_000;
const MIN_AWAY_MS = 200;
const MAX_AWAY_MS = 1_500;
const MAX_KILL_DELAY_MS = 2_500;
/**
 * Operators write again so late that the VMs that start are judged before: for 8.5 s after a kill nothing of a VM is, as
 * its trouble lasts 2.5 s and excuses it for 6 s more.
 */
const MIN_REWRITE_DELAY_MS = 12_000;
const MAX_REWRITE_DELAY_MS = 14_000;
/** Time in which entries of upstreams that are gone have expired. */
const EXPIRY_MS = 3_600;

/** Draws these faults; one begins after the one before is over. */
export function drawReturns(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(seed ^ RETURN_SEED);
  const faults: Fault[] = [];
  let atMs = 200;
  while (atMs < options.faultsMs) {
    const fault = drawReturn(random, options, Math.round(atMs));
    faults.push(fault);
    atMs += fault.forMs + random.next() * 2 * MEAN_RETURN_GAP_MS;
  }
  return faults;
}

function drawReturn(
  random: Random,
  options: PlanOptions,
  atMs: number,
): Fault {
  const ageMs = drawBetween(random, MIN_COPY_AGE_MS, MAX_COPY_AGE_MS);
  const awayMs = drawBetween(random, MIN_AWAY_MS, MAX_AWAY_MS);
  const rewriteDelayMs = drawBetween(
    random,
    MIN_REWRITE_DELAY_MS,
    MAX_REWRITE_DELAY_MS,
  );
  return {
    kind: "lostConfig",
    atMs,
    forMs: ageMs + awayMs + rewriteDelayMs + EXPIRY_MS,
    ageMs,
    awayMs,
    vms: drawVms(random, options),
    killDelayMs: random.int(MAX_KILL_DELAY_MS),
    rewriteDelayMs,
  };
}

/** All VMs of a region, or some of any region but not all. */
function drawVms(random: Random, { vms, domains }: PlanOptions): number[] {
  const all = Array.from({ length: vms }, (_, vm) => vm);
  const region = random.int(domains);
  if (random.next() < 0.5) return all.filter((vm) => vm % domains === region);
  const spared = random.int(vms);
  return all.filter((vm) => vm !== spared && random.next() < 0.5);
}

function drawBetween(random: Random, min: number, max: number): number {
  return min + random.int(max - min);
}
