/**
 * The targets of the routes whose streams may be taken up again. They are watched like the versions of services: a
 * stream that began before its route was given to another service goes on at neither.
 *
 * @module
 */

import { digest64 } from "../base/mod.ts";
import type { OwnStream } from "../region/mod.ts";
import type { Fleet, Route } from "../routing/mod.ts";
import type { VersionWatch } from "./version_watch.ts";

const NO_ROUTES: readonly Route[] = [];

/** The name under which the targets of a route are watched. A route that is removed and added again has the same. */
export function watchedName({ host, pathPrefix }: Route): string {
  return `route ${digest64([host, pathPrefix])}`;
}

/** Describes the targets of a route; equal ones give equal texts. */
export function describeTargets({ targets }: Route): string {
  return digest64(
    targets.flatMap(({ service, weight }) => [service, String(weight)]),
  );
}

/** Whether all VMs know where a stream began, as there is only one service and version where it may have. */
export function isOnlyOrigin(
  versions: Pick<VersionWatch, "recent">,
  { service, version, route }: OwnStream,
): boolean {
  const recent = versions.recent(service);
  if (recent.length !== 1 || recent[0] !== version) return false;
  return route === undefined || versions.recent(route).length < 2;
}

/** Waits until it is recorded that a version of a service, and the targets of a route, serve. */
export async function waitUntilRecorded(
  versions: Pick<VersionWatch, "waitUntilRecorded">,
  service: string,
  version: string,
  route: Route,
): Promise<void> {
  await Promise.all([
    versions.waitUntilRecorded(service, version),
    versions.waitUntilRecorded(watchedName(route), describeTargets(route)),
  ]);
}

/** Lists what is watched: the versions of services, and the targets of routes. */
export class WatchedRoutes {
  readonly #fleet: Pick<Fleet, "services" | "versionsOf">;
  readonly #routes: () => readonly Route[] | undefined;
  #listed = NO_ROUTES;
  #targets: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  /** `routes` are those of the configuration in force. */
  constructor(
    fleet: Pick<Fleet, "services" | "versionsOf">,
    routes: () => readonly Route[] | undefined,
  ) {
    this.#fleet = fleet;
    this.#routes = routes;
  }

  /** The names of all services that have upstreams, and of all routes. */
  services(): string[] {
    return [...this.#fleet.services(), ...this.#list().keys()];
  }

  /** The versions of a service, or the targets of a route. */
  versionsOf(name: string): ReadonlySet<string> {
    return this.#list().get(name) ?? this.#fleet.versionsOf(name);
  }

  #list(): ReadonlyMap<string, ReadonlySet<string>> {
    const routes = this.#routes() ?? NO_ROUTES;
    if (routes === this.#listed) return this.#targets;
    this.#listed = routes;
    this.#targets = new Map(
      routes.filter(({ kind, resumable }) => kind === "stream" && resumable)
        .map((route) => [
          watchedName(route),
          new Set([describeTargets(route)]),
        ]),
    );
    return this.#targets;
  }
}
