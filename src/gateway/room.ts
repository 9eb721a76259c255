/**
 * What a region tells the others of its free places.
 *
 * @module
 */

import {
  type EnginePace,
  type GatewayConfig,
  type RegionPlaces,
  regionRoom,
  type ServiceRow,
  type StepCandidate,
} from "../routing/mod.ts";

/** Places by service. */
export type Room = Readonly<Record<string, RegionPlaces>>;

/** What this region offers to others, by service. */
export function roomOf(
  config: GatewayConfig | undefined,
  candidates: (service: ServiceRow) => readonly StepCandidate[],
  pace: (service: ServiceRow) => EnginePace,
): Room {
  const room: Record<string, RegionPlaces> = {};
  for (const service of config?.services() ?? []) {
    const places = regionRoom(candidates(service), {
      ...config!.boundsOf(service.name),
      pace: pace(service),
      isLong: service.engine !== undefined,
    });
    if (places.queue > 0) room[service.name] = places;
  }
  return room;
}
