/**
 * Whether a caller may use a route, and on what terms. Decided by the head of its request alone.
 *
 * @module
 */

import type { QuotaLimit, WorkspaceRow, Workspaces } from "./workspaces.ts";

/** What is asked of a route here. */
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
  /** Absent on a route without a key, and where there are no workspaces. */
  readonly workspace: WorkspaceRow | undefined;
  readonly priority: number;
  /** Regions that may serve it; empty means all. */
  readonly homeRegions: readonly string[];
}

/** What was found of a caller. */
export type Caller =
  | KnownCaller
  /** The key is missing, or no workspace holds it. */
  | { readonly type: "unknown" }
  /** Workspace and route are bound to regions, and share none. */
  | { readonly type: "homeless"; readonly workspace: string };

/** Regions that both sides allow; `undefined` if they share none. An empty list allows all. */
function intersectRegions(
  ofRoute: readonly string[],
  ofWorkspace: readonly string[],
): readonly string[] | undefined {
  if (ofRoute.length === 0) return ofWorkspace;
  if (ofWorkspace.length === 0) return ofRoute;
  const shared = ofRoute.filter((region) => ofWorkspace.includes(region));
  return shared.length > 0 ? shared : undefined;
}

/**
 * Finds out who calls. A key that nobody holds is refused here, before the body is read or an upstream is looked for: a
 * request that must be refused anyway would take a place from one that must not.
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

/** What a request uses of a limit; `tokens` is 0 if it names none. */
export function countQuotaUnits(
  { unit, plainTokens }: QuotaLimit,
  tokens: number,
): number {
  if (unit === "requests") return 1;
  return tokens > 0 ? tokens : plainTokens;
}
