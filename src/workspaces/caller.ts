/**
 * Whether a caller may use a route, and with which priority and regions. Only the head of its request is needed.
 *
 * @module
 */

import type { QuotaLimit, WorkspaceRow, Workspaces } from "./workspaces.ts";

/** The properties of a route that matter for identifying a caller. */
export interface CalledRoute {
  /** Whether it needs no key. */
  readonly anonymous: boolean;
  readonly priority: number;
  /** Regions that may serve it; empty means all. */
  readonly homeRegions: readonly string[];
}

/** A caller that may use the route. */
export interface KnownCaller {
  readonly type: "known";
  /** `undefined` if the caller's key belongs to no workspace and the route or the configuration requires no key. */
  readonly workspace: WorkspaceRow | undefined;
  readonly priority: number;
  /** Regions that may serve it; empty means all. */
  readonly homeRegions: readonly string[];
}

/** The result of identifying a caller. */
export type Caller =
  | KnownCaller
  /** The key is missing, or it belongs to no workspace. */
  | { readonly type: "unknown" }
  /** Workspace and route are both bound to regions and have none in common. */
  | { readonly type: "homeless"; readonly workspace: string };

/** The regions that both lists allow; `undefined` if there are none. An empty list allows all regions. */
function intersectRegions(
  routeRegions: readonly string[],
  workspaceRegions: readonly string[],
): readonly string[] | undefined {
  if (routeRegions.length === 0) return workspaceRegions;
  if (workspaceRegions.length === 0) return routeRegions;
  const shared = routeRegions.filter((region) =>
    workspaceRegions.includes(region)
  );
  return shared.length > 0 ? shared : undefined;
}

/**
 * Identifies a caller by its key. An unknown key is refused here, before the body is read or an upstream is chosen.
 * Otherwise a request that has to be refused anyway would take the place of one that is allowed.
 */
export function identifyCaller(
  workspaces: Workspaces,
  route: CalledRoute,
  keyDigest: string | undefined,
): Caller {
  const workspace = keyDigest === undefined
    ? undefined
    : workspaces.findByKeyDigest(keyDigest);
  if (workspaces.isKeyRequired && !route.anonymous && !workspace) {
    return { type: "unknown" };
  }
  const homeRegions = intersectRegions(
    route.homeRegions,
    workspace?.homeRegions ?? [],
  );
  if (!homeRegions) return { type: "homeless", workspace: workspace!.name };
  return {
    type: "known",
    workspace,
    priority: workspace?.priority ?? route.priority,
    homeRegions,
  };
}

/** Counts the units that a request uses of a limit; `tokens` is 0 if the request states none. */
export function countQuotaUnits(
  { unit, plainTokens }: QuotaLimit,
  tokens: number,
): number {
  if (unit === "requests") return 1;
  return tokens > 0 ? tokens : plainTokens;
}
