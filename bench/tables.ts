/**
 * Builds tables with one model service for benches and tests.
 *
 * @module
 */

import { Table, type TableRow, tableRow } from "../src/agreement/mod.ts";

/** What the table to build holds. */
export interface TableSpec {
  readonly regions: readonly string[];
  readonly upstreamsPerRegion: number;
  readonly objective: object;
  /** Each name becomes one bound and one free workspace in each region; see {@link workspaceName}. */
  readonly workspaces: readonly string[];
  /** Whether there is a workspace `flood`, which is bound to the first region. */
  readonly flood?: boolean;
  /** Whether requests may be sent to other regions. */
  readonly canShift: boolean;
  readonly queueLimit?: number;
}

/** Returns the workspace's name in a region. */
export function workspaceName(
  region: string,
  workspace: string,
  bound: boolean,
): string {
  return `${region}-${workspace}-${bound ? "bound" : "free"}`;
}

/** Builds the table at version 1. */
export function buildTable(spec: TableSpec): Table {
  const rows: unknown[] = [{
    kind: "service",
    id: "plan",
    type: "model",
    objective: spec.objective,
    queueLimit: spec.queueLimit ?? 1000,
  }];
  for (const region of spec.regions) {
    rows.push(...buildRegionRows(spec, region));
  }
  if (spec.flood) {
    rows.push({ kind: "workspace", id: "flood", home: spec.regions[0] });
  }
  const parsed = rows.map((row) => tableRow.parse(row));
  return Table.of(1, parsed.map((row: TableRow) => ({ row, version: 1 })));
}

function buildRegionRows(spec: TableSpec, region: string): unknown[] {
  const others = spec.regions.filter((other) => other !== region);
  const rows: unknown[] = [
    { kind: "region", id: region },
    {
      kind: "traffic",
      service: "plan",
      region,
      mayGoTo: spec.canShift ? others : [],
    },
  ];
  for (let i = 0; i < spec.upstreamsPerRegion; i++) {
    rows.push({
      kind: "upstream",
      id: `${region}-${i}`,
      service: "plan",
      region,
      failureDomain: `${region}-${i % 3}`,
      url: `http://${region}-${i}.test`,
    });
  }
  for (const workspace of spec.workspaces) {
    for (const bound of [true, false]) {
      rows.push({
        kind: "workspace",
        id: workspaceName(region, workspace, bound),
        home: region,
        bound,
      });
    }
  }
  return rows;
}
