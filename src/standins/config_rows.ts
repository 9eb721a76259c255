/**
 * Rows of the operators' configuration for tests, as the users' platform has them.
 *
 * @module
 */

/** The host that all of them are for. */
export const ROUTE_HOST = "h.example";

/** A route to the service `s`, less what `more` replaces. */
export function routeRow(more: Record<string, unknown> = {}) {
  return {
    name: `r${more.path_prefix ?? "/safe/"}`,
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
    ...more,
  };
}
