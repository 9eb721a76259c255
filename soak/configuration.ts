/**
 * The configurations of a run's world.
 *
 * @module
 */

import { makeRoute } from "../src/standins/mod.ts";
import { LONG_TIMEOUT_MS } from "./attempts.ts";
import { FLOOD_SERVICE } from "./floods.ts";
import type { WorldOptions } from "./world.ts";

/** As operators set it, so that a caller's body may be large while callers flood. */
const FLOODED_BODY_BYTES = 4_000_000;
const SERVICE = { max_conns: 100, cold_s: 0, cold_rate_s: 0 };

/** One route for each kind of request. */
function makeRoutes(plainService: string): object[] {
  return [
    makeRoute({ service: plainService }),
    makeRoute({ path_prefix: "/once/", kind: "unsafe" }),
    makeRoute({
      path_prefix: "/stream/",
      kind: "streaming",
      resumable: true,
    }),
    makeRoute({
      path_prefix: "/streamonce/",
      kind: "streaming",
      max_attempts: 1,
    }),
    makeRoute({
      path_prefix: "/south/",
      kind: "unsafe",
      home_regions: ["south"],
    }),
  ];
}

/** The routes whose callers wait for longer than a VM may take to stop. */
function makeLongRoutes(): object[] {
  return [
    { path_prefix: "/longsafe/", kind: "safe" },
    { path_prefix: "/longonce/", kind: "unsafe" },
    { path_prefix: "/longstream/", kind: "streaming", resumable: true },
    {
      path_prefix: "/longstreamonce/",
      kind: "streaming",
      max_attempts: 1,
    },
    { path_prefix: "/longsouth/", kind: "unsafe", home_regions: ["south"] },
    { path_prefix: "/large/", kind: "safe" },
  ].map((route) => makeRoute({ ...route, timeout_ms: LONG_TIMEOUT_MS }));
}

/** The routes of the service whose upstreams flood. */
function makeFloodRoutes(): object[] {
  return [
    { path_prefix: "/floodsafe/", kind: "safe" },
    { path_prefix: "/floodonce/", kind: "unsafe" },
    { path_prefix: "/floodstream/", kind: "streaming", resumable: true },
    { path_prefix: "/floodsouth/", kind: "unsafe", home_regions: ["south"] },
  ].map((route) =>
    makeRoute({ ...route, service: FLOOD_SERVICE, timeout_ms: LONG_TIMEOUT_MS })
  );
}

/** Makes a configuration in which plain requests go to `plainService`. */
export function makeConfig(
  version: number,
  plainService: string,
  { hasStops, hasFloods }: Pick<WorldOptions, "hasStops" | "hasFloods">,
): object {
  return {
    version,
    routes: [
      ...makeRoutes(plainService),
      ...(hasStops ? makeLongRoutes() : []),
      ...(hasFloods ? makeFloodRoutes() : []),
    ],
    services: ["s", "t", ...(hasFloods ? [FLOOD_SERVICE] : [])]
      .map((name) => ({ ...SERVICE, name })),
    limits: {
      max_header_bytes: 4_096,
      max_body_bytes: hasFloods ? FLOODED_BODY_BYTES : 10_000,
      header_timeout_ms: 1_000,
      idle_timeout_ms: 5_000,
    },
  };
}
