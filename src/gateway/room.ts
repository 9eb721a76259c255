/**
 * What a region tells the others of its free places.
 *
 * @module
 */

import {
  endGapMs,
  type EnginePace,
  type GatewayConfig,
  type RegionPlaces,
  regionRoom,
  type ServiceRow,
  type StepCandidate,
} from "../routing/mod.ts";
import type { Room } from "../region/mod.ts";

/** Events of a long answer, which a place that is offered should bear; longer ones are rare. */
const LONG_ANSWER_EVENTS = 150;

/** What this region offers to others, by service. */
export function roomOf(
  config: GatewayConfig | undefined,
  candidates: (service: ServiceRow) => readonly StepCandidate[],
  pace: (service: ServiceRow) => EnginePace,
): Room {
  const room: Record<string, RegionPlaces> = {};
  for (const service of config?.services() ?? []) {
    const { objectiveMs, eventGapMs, timeoutMs } = config!.boundsOf(
      service.name,
    );
    const places = regionRoom(candidates(service), {
      pace: pace(service),
      objectiveMs,
      eventGapMs,
      endGapMs: service.engine
        ? endGapMs(timeoutMs, LONG_ANSWER_EVENTS)
        : Infinity,
    });
    if (places.queue > 0) room[service.name] = places;
  }
  return room;
}
