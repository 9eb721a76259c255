/**
 * The part of a plan with upstreams whose answers end with their connection, end early, or end in a crash.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type { AnswerEnding } from "../src/standins/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";

/** These faults use a random stream of their own, like fatal requests. */
const ENDING_SEED = 0xe4d106;
const MEAN_ENDING_GAP_MS = 900;
const MIN_ENDING_MS = 300;
const MAX_ENDING_MS = 2_500;
const UNFRAMED_SHARE = 0.75;
/** Bytes of an event that arrive at most: all but the empty line's end. */
const MAX_PARTIAL_EVENT_BYTES = 26;
/** Without `closeAfterEvent`, which nothing tells from a whole answer if it has neither length nor chunks. */
const STREAM_ENDINGS: readonly AnswerEnding[] = [
  "whole",
  "closeInEvent",
  "closeInEvent",
  "resetInEvent",
  "resetAfterEvent",
];
const FRAMED_PLAIN_ENDINGS = ["whole", "closeInEvent", "resetInEvent"] as const;
/** The same for plain bodies that end early in order. */
const UNFRAMED_PLAIN_ENDINGS = ["whole", "resetInEvent"] as const;
const CRASHES = [undefined, "close", "reset"] as const;

/** Draws these faults. */
export function drawEndings(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(seed ^ ENDING_SEED);
  const faults: Fault[] = [];
  for (
    let atMs = 200;
    atMs < options.faultsMs;
    atMs += random.next() * 2 * MEAN_ENDING_GAP_MS
  ) {
    faults.push(drawEnding(random, options, Math.round(atMs)));
  }
  return faults;
}

function drawEnding(
  random: Random,
  { runners }: PlanOptions,
  atMs: number,
): Fault {
  const isUnframed = random.next() < UNFRAMED_SHARE;
  return {
    kind: "ending",
    atMs,
    forMs: MIN_ENDING_MS + random.int(MAX_ENDING_MS - MIN_ENDING_MS),
    runner: random.int(runners),
    framing: isUnframed ? "unframed" : "framed",
    ending: random.pick(STREAM_ENDINGS),
    plainEnding: random.pick(
      isUnframed ? UNFRAMED_PLAIN_ENDINGS : FRAMED_PLAIN_ENDINGS,
    ),
    partialEventBytes: 1 + random.int(MAX_PARTIAL_EVENT_BYTES),
    crash: random.pick(CRASHES),
  };
}
