/**
 * The part of a plan with kills of all VMs at one moment, while upstreams' versions are replaced and the store is away or
 * loses entries.
 *
 * @module
 */

import { hash32, Random } from "../src/base/mod.ts";
import type { Fault, PlanOptions } from "./plan.ts";
import { drawLapse } from "./plan_lapses.ts";
import { VERSIONS } from "./stream_events.ts";

/** By then callers have streams to take up. */
const FIRST_SERIES_MS = 3_000;
const MEAN_SERIES_GAP_MS = 2_000;
const MAX_KILLS = 3;
const MAX_AWAY_MS = 2_500;
/** Time between the start of the VMs and the next kill; with the shortest they have not read the store. */
const MIN_UP_MS = 50;
const MAX_UP_MS = 1_500;
const RELEASE_SHARE = 0.85;
const MAX_RELEASES = 2;
const MAX_RELEASE_LEAD_MS = 1_500;
const MAX_RELEASE_MS = 400;
/** Share of series near whose start the store goes away, and of those in which entries lapse. */
const OUTAGE_SHARE = 0.4;
const LAPSE_SHARE = 0.3;
const MAX_TROUBLE_LEAD_MS = 2_000;
const MIN_OUTAGE_MS = 500;
const MAX_OUTAGE_MS = 6_000;

/** Draws these faults; a series of kills begins after the one before is over. */
export function drawFleetKills(seed: number, options: PlanOptions): Fault[] {
  // A random stream of its own, like that of fatal requests. Hashed, as near seeds have nearly the same first draw.
  const random = new Random(hash32(`fleet kills of ${seed}`));
  const faults: Fault[] = [];
  let atMs = FIRST_SERIES_MS;
  do {
    const kills = drawKills(random, atMs);
    const endMs = kills.at(-1)!.atMs + kills.at(-1)!.forMs;
    faults.push(
      ...kills,
      ...drawReleases(random, atMs, endMs),
      ...drawStoreTroubles(random, options, atMs),
    );
    atMs = endMs + Math.round(random.next() * 2 * MEAN_SERIES_GAP_MS);
  } while (atMs < options.faultsMs);
  return faults;
}

/** Kills in series: each follows after the VMs were started again. */
function drawKills(random: Random, fromMs: number): Fault[] {
  const count = 1 + random.int(MAX_KILLS);
  const kills: Fault[] = [];
  let atMs = fromMs;
  for (let index = 0; index < count; index++) {
    const forMs = random.int(MAX_AWAY_MS);
    kills.push({ kind: "killFleet", atMs, forMs });
    atMs += forMs + MIN_UP_MS + random.int(MAX_UP_MS - MIN_UP_MS);
  }
  return kills;
}

/** Releases shortly before the first kill, while the VMs are away, or between two kills. */
function drawReleases(random: Random, startMs: number, endMs: number): Fault[] {
  if (random.next() >= RELEASE_SHARE) return [];
  const earliestMs = Math.max(0, startMs - MAX_RELEASE_LEAD_MS);
  return Array.from({ length: 1 + random.int(MAX_RELEASES) }, () => {
    const from = random.pick([...VERSIONS, undefined, undefined]);
    return {
      kind: "release",
      atMs: earliestMs + random.int(endMs - earliestMs),
      forMs: random.int(MAX_RELEASE_MS),
      from,
      version: random.pick(VERSIONS.filter((version) => version !== from)),
      keepsId: random.next() < 0.5,
    };
  });
}

function drawStoreTroubles(
  random: Random,
  options: PlanOptions,
  startMs: number,
): Fault[] {
  const drawn = random.next();
  const atMs = Math.max(0, startMs - random.int(MAX_TROUBLE_LEAD_MS));
  if (drawn < LAPSE_SHARE) return drawLapse(random, options, atMs);
  if (drawn >= LAPSE_SHARE + OUTAGE_SHARE) return [];
  return [{
    kind: "store",
    atMs,
    forMs: MIN_OUTAGE_MS + random.int(MAX_OUTAGE_MS - MIN_OUTAGE_MS),
    how: random.pick(["cut", "refuse"] as const),
  }];
}
