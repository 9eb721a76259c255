/**
 * One version of the operators' configuration. It is immutable; a newer version is a new object.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import { Workspaces } from "../workspaces/mod.ts";
import type { CallerLimits, Route, ServiceConfig } from "./types.ts";

const HASH_RANGE = 0x1_0000_0000;

/** Time limits of a service, combined over all routes that send to it. */
export type ServiceBounds = Pick<
  Route,
  "objectiveMs" | "eventGapMs" | "timeoutMs"
>;

/** Time limits of a service that no route sends to. */
const DEFAULT_BOUNDS = { objectiveMs: 1_000, eventGapMs: 0, timeoutMs: 10_000 };

/** One version of the operators' configuration, with lookups of routes and services. */
export class GatewayConfig {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly routes: readonly Route[];
  readonly workspaces: Workspaces;
  readonly #byHost = new Map<string, Route[]>();
  /** For each service, the regions that some of its routes are bound to. */
  readonly #homeRegions = new Map<string, Set<string>>();
  readonly #bounds = new Map<string, ServiceBounds>();
  readonly #services = new Map<string, ServiceConfig>();

  constructor(
    version: number,
    routes: readonly Route[],
    services: readonly ServiceConfig[],
    limits: CallerLimits,
    workspaces: Workspaces = new Workspaces(undefined),
  ) {
    this.version = version;
    this.workspaces = workspaces;
    this.limits = limits;
    this.routes = routes;
    for (const route of routes) {
      const list = this.#byHost.get(route.host) ?? [];
      list.push(route);
      this.#byHost.set(route.host, list);
      for (const { service } of route.targets) {
        const regions = this.#homeRegions.get(service) ?? new Set();
        for (const region of route.homeRegions) regions.add(region);
        this.#homeRegions.set(service, regions);
        this.#mergeBounds(service, route);
      }
    }
    for (const list of this.#byHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of services) this.#services.set(service.name, service);
  }

  #mergeBounds(
    service: string,
    { objectiveMs, eventGapMs, timeoutMs }: Route,
  ): void {
    const before = this.#bounds.get(service);
    const gaps = [before?.eventGapMs ?? 0, eventGapMs].filter((ms) => ms > 0);
    this.#bounds.set(service, {
      objectiveMs: Math.min(before?.objectiveMs ?? Infinity, objectiveMs),
      eventGapMs: gaps.length === 0 ? 0 : Math.min(...gaps),
      timeoutMs: Math.max(before?.timeoutMs ?? 0, timeoutMs),
    });
  }

  /** Returns the host's route with the longest matching path prefix. `target` may include a query, which is ignored. */
  match(host: string, target: string): Route | undefined {
    const path = target.split("?", 1)[0];
    return this.#byHost.get(host)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
  }

  /** Whether some requests of a service are bound to a region. */
  isHomeOf(service: string, region: string): boolean {
    return this.#homeRegions.get(service)?.has(region) ?? false;
  }

  /** Returns the shortest objective, the shortest event gap and the longest timeout of the routes to a service. */
  boundsOf(service: string): ServiceBounds {
    return this.#bounds.get(service) ?? DEFAULT_BOUNDS;
  }

  service(name: string): ServiceConfig | undefined {
    return this.#services.get(name);
  }

  services(): Iterable<ServiceConfig> {
    return this.#services.values();
  }
}

/**
 * Chooses the service of a route that serves an attempt, by the targets' weights. Every VM makes the same choice for an
 * attempt, since it hashes the attempt's id.
 */
export function chooseService(route: Route, attemptId: string): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = hash32(attemptId) / HASH_RANGE * total;
  for (const { service, weight } of route.targets) {
    if (point < weight) return service;
    point -= weight;
  }
  return route.targets[0].service;
}
