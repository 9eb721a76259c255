/**
 * The part of a plan with callers and upstreams that send without end, one after the other or overlapping, beside stops,
 * SIGHUP and kills of the VMs that they flood.
 *
 * @module
 */

import { hash32, Random } from "../src/base/mod.ts";
import {
  ANSWER_FLOODS,
  CALLER_FLOODS,
  type FloodKind,
  type FloodRoute,
  PIECE_BYTES,
} from "./floods.ts";
import type { Fault, PlanOptions } from "./plan.ts";

/** VMs know the upstreams that flood by then. */
const FIRST_MS = 1_000;
const MIN_FLOOD_MS = 1_500;
const MAX_FLOOD_MS = 4_000;
/** Share of floods that begin when the one before is over; the others begin at most so long after its start. */
const IN_SERIES_SHARE = 0.3;
const MAX_OVERLAP_GAP_MS = 800;
const CONNECTIONS = [1, 8, 40] as const;
/** A VM may take so long to stop. */
const STOP_MS = 6_000;
/** Shares of floods amid which the VM is stopped, gets SIGHUP, or is killed, which excuses much. */
const STOP_SHARE = 0.35;
const HANG_UP_SHARE = 0.25;
const KILL_SHARE = 0.1;
/** What VMs hold for a while, or pass on, comes more often, and so do small pieces, which cost the most. */
const KINDS: readonly FloodKind[] = [
  ...ANSWER_FLOODS,
  ...CALLER_FLOODS,
  "event",
  "event",
  "events",
  "body",
  "requestBody",
  "requestBody",
  "pipelined",
  "unread",
];
const SIZES: readonly number[] = [...PIECE_BYTES, 1, 1, 8];
const PLAIN_ROUTES: readonly FloodRoute[] = [
  "floodsafe",
  "floodonce",
  "floodsouth",
];
const BODY_ROUTES: readonly FloodRoute[] = [...PLAIN_ROUTES, "floodstream"];

/** Draws these faults from a hash of the seed, as the first draws of neighboring seeds are alike. */
export function drawFloods(seed: number, options: PlanOptions): Fault[] {
  const random = new Random(hash32(`floods ${seed}`));
  const faults: Fault[] = [];
  let atMs = FIRST_MS;
  while (faults.length === 0 || atMs < options.faultsMs) {
    const flood = drawFlood(random, options, Math.round(atMs));
    faults.push(flood, ...drawAmid(random, flood));
    atMs += random.next() < IN_SERIES_SHARE
      ? flood.forMs
      : 1 + random.int(MAX_OVERLAP_GAP_MS);
  }
  return faults;
}

type FloodFault = Extract<Fault, { kind: "flood" }>;

function drawFlood(
  random: Random,
  { vms }: PlanOptions,
  atMs: number,
): FloodFault {
  const how = random.pick(KINDS);
  return {
    kind: "flood",
    how,
    pieceBytes: random.pick(SIZES),
    connections: random.pick(CONNECTIONS),
    route: drawRoute(random, how),
    vm: random.int(vms),
    atMs,
    forMs: MIN_FLOOD_MS + random.int(MAX_FLOOD_MS - MIN_FLOOD_MS),
  };
}

/** Events come on streams only, and are continued elsewhere there. */
function drawRoute(random: Random, how: FloodKind): FloodRoute {
  if (how === "event" || how === "events") return "floodstream";
  return random.pick(how === "requestBody" ? BODY_ROUTES : PLAIN_ROUTES);
}

/** What happens to a VM while it is flooded. */
function drawAmid(random: Random, { vm, atMs, forMs }: FloodFault): Fault[] {
  const drawn = [
    { share: STOP_SHARE, kind: "stop", forMs: STOP_MS },
    { share: HANG_UP_SHARE, kind: "hangUp", forMs: 0 },
    { share: KILL_SHARE, kind: "kill", forMs: 0 },
  ] as const;
  return drawn.filter(({ share }) => random.next() < share)
    .map(({ kind, forMs: lastsMs }) => ({
      kind,
      vm,
      atMs: atMs + random.int(forMs),
      forMs: lastsMs,
    }));
}
