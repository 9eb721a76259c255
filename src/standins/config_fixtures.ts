/**
 * Configuration and upstream entries for tests, in the JSON format of the users' platform.
 *
 * @module
 */

/** The host of all routes. */
export const ROUTE_HOST = "h.example";

/** Makes a route to the service `s`; `overrides` replaces fields. */
export function makeRoute(overrides: Record<string, unknown> = {}) {
  return {
    name: `r${overrides.path_prefix ?? "/safe/"}`,
    host: ROUTE_HOST,
    path_prefix: "/safe/",
    kind: "safe",
    timeout_ms: 2_000,
    slo_ms: 400,
    priority: 1,
    service: "s",
    max_attempts: 2,
    resumable: false,
    home_regions: [],
    ...overrides,
  };
}

/** The store's key of the operators' configuration. */
export const PLATFORM_CONFIG_KEY = "op/config";

/** Makes a workspace; `overrides` replaces fields. */
export function makeWorkspace(
  name: string,
  keys: readonly string[],
  overrides: Record<string, unknown> = {},
) {
  return {
    name,
    api_keys: keys,
    unit: "tokens",
    plain_tokens: 200,
    rate_per_s: 0,
    burst: 0,
    home_regions: [],
    ...overrides,
  };
}

/**
 * Makes a configuration with one service, `s`; `serviceOverrides` replaces the service's fields. Without `workspaces`,
 * callers need no key.
 */
export function makeConfig(
  version: number,
  routes: readonly unknown[],
  serviceOverrides: Record<string, unknown> = {},
  workspaces?: readonly unknown[],
) {
  return {
    version,
    routes,
    services: [{
      name: "s",
      max_conns: 100,
      cold_s: 0,
      cold_rate_s: 0,
      ...serviceOverrides,
    }],
    limits: {
      max_header_bytes: 4_096,
      max_body_bytes: 10_000,
      header_timeout_ms: 1_000,
      idle_timeout_ms: 5_000,
    },
    ...(workspaces === undefined ? {} : { tenants: workspaces }),
  };
}

/** Makes the store entry of an upstream of service `s` in a region's failure domain `a`; `overrides` replaces fields. */
export function makeUpstreamEntry(
  address: string,
  region: string,
  overrides: Record<string, unknown> = {},
) {
  return {
    service: "s",
    address,
    zone: `${region}-a`,
    slots: 8,
    state: "ready",
    cold_left_ms: 0,
    seq: 1,
    ...overrides,
  };
}
