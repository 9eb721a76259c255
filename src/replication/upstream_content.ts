/**
 * The part of an upstream's entry in which the copies of VMs must not differ.
 *
 * @module
 */

import type { Entry } from "../adapters/mod.ts";
import { decodeUpstream, decodeUpstreamId } from "../platform/mod.ts";

/** Cold times under twice this are not told apart. */
const MIN_COLD_STEP_MS = 500;

/**
 * The part of an upstream's entry in which the copies of VMs must not differ. Upstreams write their entries about every
 * second as a heartbeat; most of these writes change nothing here.
 */
export function upstreamContentOf(entry: Entry): string {
  try {
    const id = decodeUpstreamId(entry.key);
    const { coldLeftMs, ...record } = decodeUpstream(id, entry.value);
    return JSON.stringify({ ...record, coldStep: coldStepOf(coldLeftMs) });
  } catch {
    return "unreadable";
  }
}

/**
 * How cold an upstream is, in steps that double: 0 if it is not, 1 below 1 s, 2 below 2 s, 3 below 4 s and so on. Each
 * VM counts a cold time down by itself, and is sent the entry again only when the step changes.
 */
export function coldStepOf(coldLeftMs: number): number {
  if (coldLeftMs <= 0) return 0;
  const steps = Math.max(coldLeftMs, MIN_COLD_STEP_MS) / MIN_COLD_STEP_MS;
  return 1 + Math.floor(Math.log2(steps));
}

/** The shortest cold time of a step, in ms. */
export function leastColdMs(step: number): number {
  return step > 1 ? MIN_COLD_STEP_MS * 2 ** (step - 1) : 0;
}
