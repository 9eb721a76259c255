/**
 * One version of the operators' configuration. It never changes; a newer version is another object.
 *
 * @module
 */

import { hash32 } from "../base/mod.ts";
import type { CallerLimits, Route, ServiceRow } from "./types.ts";

const HASH_RANGE = 0x1_0000_0000;

/** See the module. */
export class GatewayConfig {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly routes: readonly Route[];
  readonly #byHost = new Map<string, Route[]>();
  /** Regions that some routes to a service are bound to. */
  readonly #homes = new Map<string, Set<string>>();
  readonly #services = new Map<string, ServiceRow>();

  constructor(
    version: number,
    routes: readonly Route[],
    services: readonly ServiceRow[],
    limits: CallerLimits,
  ) {
    this.version = version;
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
      }
    }
    for (const list of this.#byHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of services) this.#services.set(service.name, service);
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
