/**
 * The part of a plan with requests that share a part of their prompts which crashes upstreams.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";

/** These faults use a random stream of their own, like fatal requests. */
const PART_SEED = 0x9a275;
/** A series lasts so much longer than others take to know of its crashes that some of it comes after that. */
const MIN_SERIES_MS = 9_000;
const MAX_SERIES_MS = 14_000;
/** Other VMs end or pause meanwhile in a series beside other faults only. */
const MAX_SERIES = 2;

/** Draws these faults. */
export function drawParts(seed: number, { faultsMs }: PlanOptions): Fault[] {
  const random = new Random(seed ^ PART_SEED);
  return Array.from({ length: 1 + random.int(MAX_SERIES) }, () => ({
    kind: "parts",
    atMs: 200 + random.int(Math.max(1, faultsMs - 200)),
    forMs: MIN_SERIES_MS + random.int(MAX_SERIES_MS - MIN_SERIES_MS),
  }));
}
