/**
 * One version of the operators' configuration. It never changes; a newer version is another object.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import { Workspaces } from "../workspaces/mod.ts";
import type { CallerLimits, Route, ServiceRow } from "./types.ts";

const HASH_RANGE = 0x1_0000_0000;

/** What all routes to a service ask for together. */
export type ServiceBounds = Pick<
  Route,
  "objectiveMs" | "eventGapMs" | "timeoutMs"
>;

/** Of a service that no route sends to. */
const NO_BOUNDS = { objectiveMs: 1_000, eventGapMs: 0, timeoutMs: 10_000 };

/** See the module. */
export class GatewayConfig {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly routes: readonly Route[];
  readonly workspaces: Workspaces;
  readonly #byHost = new Map<string, Route[]>();
  /** Regions that some routes to a service are bound to. */
  readonly #homes = new Map<string, Set<string>>();
  readonly #bounds = new Map<string, ServiceBounds>();
  readonly #services = new Map<string, ServiceRow>();

  constructor(
    version: number,
    routes: readonly Route[],
    services: readonly ServiceRow[],
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
        const homes = this.#homes.get(service) ?? new Set();
        for (const home of route.homeRegions) homes.add(home);
        this.#homes.set(service, homes);
        this.#noteBounds(service, route);
      }
    }
    for (const list of this.#byHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of services) this.#services.set(service.name, service);
  }

  #noteBounds(
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
    return this.#homes.get(service)?.has(region) ?? false;
  }

  /** The shortest objective and pause, and the longest time, of the routes to a service. */
  boundsOf(service: string): ServiceBounds {
    return this.#bounds.get(service) ?? NO_BOUNDS;
  }

  service(name: string): ServiceRow | undefined {
    return this.#services.get(name);
  }

  services(): Iterable<ServiceRow> {
    return this.#services.values();
  }
}

/** Which service of a route serves an attempt: by the targets' weights, the same for an attempt on every VM. */
export function chooseService(route: Route, attemptId: string): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let at = hash32(attemptId) / HASH_RANGE * total;
  for (const { service, weight } of route.targets) {
    if (at < weight) return service;
    at -= weight;
  }
  return route.targets[0].service;
}
