/**
 * The free places that a region offers to others.
 *
 * @module
 */

import {
  computeEndGapMs,
  computeOfferedCapacity,
  type EnginePace,
  type GatewayConfig,
  type OfferedCapacity,
  type ServiceConfig,
  type StepCandidate,
} from "../routing/mod.ts";
import type { Room } from "../region/mod.ts";

/** Events of a long answer, which must still end in time at a place that is offered; longer answers are rare. */
const LONG_ANSWER_EVENTS = 150;

/** Computes the places that this region offers to others, by service. */
export function computeRoom(
  config: GatewayConfig | undefined,
  candidates: (service: ServiceConfig) => readonly StepCandidate[],
  pace: (service: ServiceConfig) => EnginePace,
): Room {
  const room: Record<string, OfferedCapacity> = {};
  for (const service of config?.services() ?? []) {
    const { objectiveMs, eventGapMs, timeoutMs } = config!.boundsOf(
      service.name,
    );
    const places = computeOfferedCapacity(candidates(service), {
      pace: pace(service),
      objectiveMs,
      eventGapMs,
      endGapMs: service.engine
        ? computeEndGapMs(timeoutMs, LONG_ANSWER_EVENTS)
        : Infinity,
    });
    if (places.queue > 0) room[service.name] = places;
  }
  return room;
}
