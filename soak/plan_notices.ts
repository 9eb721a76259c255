/**
 * The part of a plan with what upstreams say of themselves in their answers, and with a store that comes back from an
 * older copy, which its answers state.
 *
 * @module
 */

import { Random } from "../src/base/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";

/** These faults use a random stream of their own, like fatal requests. */
const NOTICE_SEED = 0x0771ce;
const MEAN_NOTICE_GAP_MS = 1_500;
/** Longer than an upstream that leaves may still get requests, so that a late one is seen. */
const FAREWELL_MS = 9_000;
const MIN_REST_MS = 1_500;
const MAX_REST_MS = 4_500;
const REST_TIMES = ["1", "2.5", "3", "0.7", "soon"];
const MAX_COPY_AGE_MS = 4_000;
const MIN_AWAY_MS = 200;
const MAX_AWAY_MS = 1_500;
/** Time in which upstreams and operators have written again, and entries of upstreams that are gone have expired. */
const REWRITE_MS = 3_600;
const MAX_CONFIG_DELAY_MS = 1_500;
const KINDS = ["farewell", "rest", "rest", "restore"] as const;

/** Draws these faults. */
export function drawNotices(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(seed ^ NOTICE_SEED);
  const faults: Fault[] = [];
  let restoredMs = 0;
  for (
    let atMs = 200;
    atMs < options.faultsMs;
    atMs += random.next() * 2 * MEAN_NOTICE_GAP_MS
  ) {
    const kind = random.pick(KINDS);
    if (kind !== "restore") {
      faults.push(drawStatement(random, kind, options, Math.round(atMs)));
    } else if (atMs >= restoredMs) {
      const drawn = drawRestore(random, Math.round(atMs));
      restoredMs = Math.max(...drawn.map((fault) => fault.atMs + fault.forMs));
      faults.push(...drawn);
    }
  }
  return faults;
}

function drawStatement(
  random: Random,
  kind: "farewell" | "rest",
  { runners }: PlanOptions,
  atMs: number,
): Fault {
  const runner = random.int(runners);
  if (kind === "farewell") return { kind, atMs, forMs: FAREWELL_MS, runner };
  const forMs = MIN_REST_MS + random.int(MAX_REST_MS - MIN_REST_MS);
  return { kind, atMs, forMs, runner, retryAfter: random.pick(REST_TIMES) };
}

/** A restore, and a configuration that is written soon after it. */
function drawRestore(random: Random, atMs: number): Fault[] {
  const ageMs = random.int(MAX_COPY_AGE_MS);
  const awayMs = MIN_AWAY_MS + random.int(MAX_AWAY_MS - MIN_AWAY_MS);
  const backMs = atMs + ageMs + awayMs;
  return [
    {
      kind: "restore",
      atMs,
      forMs: ageMs + awayMs + REWRITE_MS,
      ageMs,
      awayMs,
    },
    {
      kind: "config",
      atMs: backMs + random.int(MAX_CONFIG_DELAY_MS),
      forMs: 0,
    },
  ];
}
