/**
 * One version of the operators' configuration. It never changes; a newer version is another object.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import { Workspaces } from "../workspaces/mod.ts";
import type { CallerLimits, Route, ServiceConfig } from "./types.ts";

const HASH_RANGE = 0x1_0000_0000;

/** What all routes to a service ask for together. */
export type ServiceBounds = Pick<
  Route,
  "objectiveMs" | "eventGapMs" | "timeoutMs"
>;

/** Of a service that no route sends to. */
const DEFAULT_BOUNDS = { objectiveMs: 1_000, eventGapMs: 0, timeoutMs: 10_000 };

/** See the module. */
export class GatewayConfig {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly routes: readonly Route[];
  readonly workspaces: Workspaces;
  readonly #byHost = new Map<string, Route[]>();
  /** Regions that some routes to a service are bound to. */
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

  /** The route with the longest prefix of the path; `target` may carry a query. */
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

  /** The shortest objective and pause, and the longest time, of the routes to a service. */
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

/** Which service of a route serves an attempt: by the targets' weights, the same for an attempt on every VM. */
export function chooseService(route: Route, attemptId: string): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = hash32(attemptId) / HASH_RANGE * total;
  for (const { service, weight } of route.targets) {
    if (point < weight) return service;
    point -= weight;
  }
  return route.targets[0].service;
}
