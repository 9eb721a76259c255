/**
 * Computes which part of a row's limits each pool lead holds.
 *
 * @module
 */

import type { Table, WorkspaceRow } from "../agreement/mod.ts";

/** The pool whose lead holds a part of the table's limits. */
export interface LimitScope {
  readonly service: string;
  readonly region: string;
  /** Pools that the service has in the region. */
  readonly pools: number;
}

/** Sums of the traffic weights that may serve the workspaces of one home region. */
export interface HomeWeights {
  /** Sum over the services in the home region. */
  readonly bound: number;
  /** Sum over the services in the home region and in the regions they may send to. */
  readonly free: number;
}

/**
 * Computes the part of a workspace's limits that the lead at `scope` holds. Parts are in proportion to the weights of
 * the traffic rows of all services and regions that may serve the workspace. A bound workspace is served only in its
 * home region, so that region holds the whole limit. A service with a small weight holds a small part even while the
 * others are idle: parts that grew with use would have to be agreed on, and would add up to more than the limit while
 * regions cannot reach each other.
 */
export function computeLimitPart(
  table: Table,
  workspace: WorkspaceRow,
  scope: LimitScope,
  weights: ReadonlyMap<string, HomeWeights>,
): number {
  const { home, bound } = workspace;
  const { service, region, pools } = scope;
  const regions = servingRegions(table, service, home, bound);
  if (!regions.includes(region)) return 0;
  const totalWeight = weights.get(home)?.[bound ? "bound" : "free"] ?? 0;
  return totalWeight > 0
    ? weightOf(table, service, region) / totalWeight / pools
    : 0;
}

/** Computes the {@link HomeWeights} of each region. */
export function computeHomeWeights(
  table: Table,
): ReadonlyMap<string, HomeWeights> {
  const services: string[] = [];
  const homes: string[] = [];
  for (const { row } of table.rows()) {
    if (row.kind === "service") services.push(row.id);
    if (row.kind === "region") homes.push(row.id);
  }
  const sum = (home: string, bound: boolean) =>
    services.reduce((total, service) => {
      const regions = servingRegions(table, service, home, bound);
      return regions.reduce(
        (part, region) => part + weightOf(table, service, region),
        total,
      );
    }, 0);
  return new Map(homes.map((home) => [
    home,
    { bound: sum(home, true), free: sum(home, false) },
  ]));
}

function servingRegions(
  table: Table,
  service: string,
  home: string,
  bound: boolean,
): readonly string[] {
  if (bound) return [home];
  const mayGoTo = table.traffic(service, home)?.mayGoTo ?? [];
  return [...new Set([home, ...mayGoTo])];
}

function weightOf(table: Table, service: string, region: string): number {
  return table.traffic(service, region)?.weight ?? 1;
}
