/**
 * What a region tells the others of its free places.
 *
 * @module
 */

import {
  freePlaces,
  type GatewayConfig,
  type ServiceRow,
  type StepCandidate,
} from "../routing/mod.ts";

/** Free places by service in this region. */
export function regionRoom(
  config: GatewayConfig | undefined,
  candidates: (service: ServiceRow) => readonly StepCandidate[],
): Record<string, number> {
  const room: Record<string, number> = {};
  for (const service of config?.services() ?? []) {
    const free = freePlaces(candidates(service));
    if (free > 0) room[service.name] = free;
  }
  return room;
}
