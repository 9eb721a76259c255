/**
 * Where a request goes next, decided by what this VM knows: for itself, or as the region's lead for another VM.
 *
 * @module
 */

import type { Clock, Random } from "../base/mod.ts";
import {
  affinityOf,
  type GatewayConfig,
  nextStep,
  type ServiceRow,
  type Step,
} from "../routing/mod.ts";
import type { QuotaUse } from "../quota/mod.ts";
import type { Relays } from "./relays.ts";
import type { LinkedCandidate, PromptShape } from "./upstream_link.ts";
import type { Upstreams } from "./upstreams.ts";

/** A request as placing sees it. */
export interface PlaceAsk {
  readonly service: ServiceRow;
  readonly config: GatewayConfig;
  readonly prompt: PromptShape;
  readonly objectiveMs: number;
  readonly eventGapMs: number;
  /** Gap between events at which the answer still ends in time. */
  readonly endGapMs: number;
  /** On the monotonic clock, as the deadline. */
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** Keys of upstreams that the request was sent to. */
  readonly tried: ReadonlySet<string>;
  /** Regions that it was handed to. */
  readonly triedRegions: ReadonlySet<string>;
  /** Regions that may serve it; empty means all. */
  readonly homeRegions: readonly string[];
  /** Whether it was handed over already, and stays in this region. */
  readonly isRelayed: boolean;
  /** Whether upstreams ended as it began to run: it then goes where an end harms least. */
  readonly isSuspect: boolean;
  /** What it uses of its workspace's limit; absent if that is counted, or there is none. */
  readonly quota: QuotaUse | undefined;
}

/** What placing reads. */
export interface PlaceWorld {
  readonly region: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly upstreams: Upstreams;
  readonly relays: Relays;
}

/** Whether a region may serve, cache and hold a request. */
export function isHomeOf(
  { homeRegions }: Pick<PlaceAsk, "homeRegions">,
  region: string,
): boolean {
  return homeRegions.length === 0 || homeRegions.includes(region);
}

/** See the module. */
export function placeHere(
  { region, clock, random, upstreams, relays }: PlaceWorld,
  ask: PlaceAsk,
): Step<LinkedCandidate> {
  const { service, prompt, tried, triedRegions, config } = ask;
  const isFree = ask.homeRegions.length === 0;
  return nextStep({
    nowMs: clock.monoMs(),
    arrivedMs: ask.arrivedMs,
    deadlineMs: ask.deadlineMs,
    terms: {
      pace: upstreams.pace(service),
      objectiveMs: ask.objectiveMs,
      eventGapMs: ask.eventGapMs,
      endGapMs: ask.endGapMs,
    },
    candidates: isHomeOf(ask, region)
      ? upstreams.candidates(service, prompt)
        .filter(({ key }) => !tried.has(key))
      : [],
    regions: ask.isRelayed ? [] : relays.regions(
      service.name,
      (name) => isHomeOf(ask, name) && !triedRegions.has(name),
      (name) => isFree && config.isHomeOf(service.name, name),
    ),
    affinity: affinityOf(prompt.parts),
    isSuspect: ask.isSuspect,
    draw: random.next(),
  });
}
