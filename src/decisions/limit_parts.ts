/**
 * Which part of a row's limits each lead holds.
 *
 * @module
 */

import type { Table, WorkspaceRow } from "../agreement/mod.ts";

/** Which part of the table's limits this lead holds. */
export interface LimitScope {
  readonly service: string;
  readonly region: string;
  /** Pools that the service has in the region. */
  readonly pools: number;
}

/** Weights that the traffic of a home region's workspaces may use, by that region. */
export interface HomeWeights {
  /** Of the services at home. */
  readonly bound: number;
  /** Of the services at home and in the regions they may go to. */
  readonly free: number;
}

/**
 * The part of a workspace's limits that the lead at `place` holds: by the weights of the traffic rows of all services
 * and regions that may serve it. A bound workspace is served at home only, so its home holds the whole. A service with a
 * small weight holds a small part even while the others rest: parts that grew with use would have to be agreed on, and
 * would add up to more than the limit while regions cannot reach each other.
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

/** The {@link HomeWeights} of each region. */
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
