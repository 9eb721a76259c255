/**
 * The free capacity that a region offers to other regions, and how full its upstreams are.
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
import type { Upstreams } from "./upstreams.ts";

/** Events of a long answer, which must still end in time where capacity is offered; longer answers are rare. */
const LONG_ANSWER_EVENTS = 150;

/** Computes the capacity that this region offers to other regions, by service. */
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
    const capacity = computeOfferedCapacity(candidates(service), {
      pace: pace(service),
      objectiveMs,
      eventGapMs,
      endGapMs: service.engine
        ? computeEndGapMs(timeoutMs, LONG_ANSWER_EVENTS)
        : Infinity,
    });
    if (capacity.queue > 0 || capacity.isRecovering) {
      room[service.name] = capacity;
    }
  }
  return room;
}

/** How full the upstreams of a service are. */
export interface Occupancy {
  readonly slots: number;
  readonly running: number;
}

/** Computes how full the upstreams of a service in a region are, by the load of all VMs of the region. */
export function computeOccupancy(
  upstreams: Pick<Upstreams, "fleet" | "loadAt">,
  { name }: ServiceConfig,
  region: string,
  nowMs: number,
): Occupancy {
  let slots = 0;
  let running = 0;
  for (const upstream of upstreams.fleet.usableIn(name, region)) {
    slots += upstream.slots;
    running += upstreams.loadAt(upstream.key, nowMs)[0];
  }
  return { slots, running };
}
