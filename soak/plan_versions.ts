/**
 * The part of a plan with upstreams that are replaced by another version of their software, beside VMs and upstreams that
 * end.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";
import { VERSIONS } from "./stream_events.ts";

/** These faults use a random stream of their own, like fatal requests. */
const VERSION_SEED = 0x7e2510;
const MEAN_VERSION_GAP_MS = 700;
const KINDS = [
  "replace",
  "replace",
  "replace",
  "kill",
  "stop",
  "drain",
] as const;

/** Draws these faults. */
export function drawVersions(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(seed ^ VERSION_SEED);
  const faults: Fault[] = [];
  for (
    let atMs = 200;
    atMs < options.faultsMs;
    atMs += random.next() * 2 * MEAN_VERSION_GAP_MS
  ) {
    faults.push(drawFault(random, options, Math.round(atMs)));
  }
  return faults;
}

function drawFault(
  random: Random,
  { vms, runners }: PlanOptions,
  atMs: number,
): Fault {
  const kind = random.pick(KINDS);
  if (kind === "kill" || kind === "stop") {
    return { kind, atMs, forMs: 0, vm: random.int(vms) };
  }
  const runner = random.int(runners);
  if (kind === "drain") return { kind, atMs, forMs: 0, runner };
  const version = random.pick(VERSIONS);
  const keepsId = random.next() < 0.5;
  return { kind, atMs, forMs: 0, runner, version, keepsId };
}
