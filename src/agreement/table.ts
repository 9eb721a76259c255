/**
 * The operators' table as an immutable value: each {@link Edit} makes a new {@link Table}. A request is decided on one
 * `Table` from start to end.
 *
 * @module
 */

import {
  type RegionRow,
  rowKey,
  type ServiceRow,
  type TableRow,
  type TrafficRow,
  type UpstreamRow,
  type WorkspaceRow,
} from "./rows.ts";

/** One change of one row. `ifVersion` is the row's version it was made on; 0 means that the row must not exist. */
export type RowChange =
  | {
    readonly type: "put";
    readonly row: TableRow;
    readonly ifVersion?: number;
  }
  | {
    readonly type: "delete";
    readonly key: string;
    readonly ifVersion?: number;
  };

/** An accepted edit: `version` is its place in the log, counted from 1 without gaps. */
export interface Edit {
  readonly version: number;
  /** Made by the editor, to settle a write whose answer was lost. */
  readonly id: string;
  readonly author: string;
  readonly atMs: number;
  readonly changes: readonly RowChange[];
}

/** A row with the version of the edit that last changed it. */
export interface VersionedRow {
  readonly row: TableRow;
  readonly version: number;
}

/** Changed rows kept beside the base before both are merged. */
const MAX_OVERLAY_ROWS = 256;

/**
 * Rows in two layers: a base shared by many versions, and the few rows changed since. Copying all rows for each edit
 * cost 3 ms at 15,000 rows, and a burst of edits would have taken a VM's whole share of processor time.
 */
interface Layers {
  readonly base: ReadonlyMap<string, VersionedRow>;
  /** Rows put since the base; `undefined` for deleted ones. */
  readonly overlay: ReadonlyMap<string, VersionedRow | undefined>;
}

/** The table at one version. */
export class Table {
  static readonly empty: Table = Table.of(0, []);

  readonly version: number;
  /** The number of rows. */
  readonly size: number;
  readonly #layers: Layers;
  readonly #index: TableIndex;

  private constructor(
    version: number,
    size: number,
    layers: Layers,
    index: TableIndex,
  ) {
    this.version = version;
    this.size = size;
    this.#layers = layers;
    this.#index = index;
  }

  /** A table from its rows, as a snapshot holds them. */
  static of(version: number, rows: Iterable<VersionedRow>): Table {
    const base = new Map<string, VersionedRow>();
    for (const versioned of rows) base.set(rowKey(versioned.row), versioned);
    const layers = { base, overlay: new Map() };
    return new Table(version, base.size, layers, buildIndex(base.values()));
  }

  /** The table after one edit. Throws if the edit is not the next one: a gap would lose an edit without a trace. */
  apply(edit: Edit): Table {
    if (edit.version !== this.version + 1) {
      throw new Error(
        `edit ${edit.version} does not follow version ${this.version}`,
      );
    }
    const { base } = this.#layers;
    const overlay = new Map(this.#layers.overlay);
    let { size } = this;
    let affectsIndex = false;
    for (const change of edit.changes) {
      const key = change.type === "put" ? rowKey(change.row) : change.key;
      const before = overlay.has(key) ? overlay.get(key) : base.get(key);
      const after = change.type === "put"
        ? { row: change.row, version: edit.version }
        : undefined;
      overlay.set(key, after);
      size += (after ? 1 : 0) - (before ? 1 : 0);
      affectsIndex ||= /^(upstream|service)\//.test(key);
    }
    const layers = overlay.size > MAX_OVERLAY_ROWS
      ? { base: mergeLayers(base, overlay), overlay: new Map() }
      : { base, overlay };
    // Most edits are of workspaces; the index is made again only for those that it depends on.
    const index = affectsIndex ? buildIndex(rowsOf(layers)) : this.#index;
    return new Table(edit.version, size, layers, index);
  }

  /** The row under this key with its version. */
  get(key: string): VersionedRow | undefined {
    const { base, overlay } = this.#layers;
    return overlay.has(key) ? overlay.get(key) : base.get(key);
  }
  /** All rows, in no stated order. */
  rows(): IterableIterator<VersionedRow> {
    return rowsOf(this.#layers);
  }
  service(id: string): ServiceRow | undefined {
    return this.get(`service/${id}`)?.row as ServiceRow | undefined;
  }
  region(id: string): RegionRow | undefined {
    return this.get(`region/${id}`)?.row as RegionRow | undefined;
  }
  traffic(service: string, region: string): TrafficRow | undefined {
    return this.get(`traffic/${service}/${region}`)?.row as
      | TrafficRow
      | undefined;
  }
  workspace(id: string): WorkspaceRow | undefined {
    return this.get(`workspace/${id}`)?.row as WorkspaceRow | undefined;
  }
  /** The upstreams of a service in a region, sorted by id. */
  upstreams(service: string, region: string): readonly UpstreamRow[] {
    return this.#index.upstreams.get(`${service}/${region}`) ?? [];
  }
  /** The service whose id or model list holds this model name. */
  serviceOfModel(model: string): ServiceRow | undefined {
    return this.#index.models.get(model);
  }
}

/** What requests look up by other than the row's key. */
interface TableIndex {
  /** Upstreams by `SERVICE/REGION`, sorted by id. */
  readonly upstreams: ReadonlyMap<string, readonly UpstreamRow[]>;
  /** Model services by their ids and model names. */
  readonly models: ReadonlyMap<string, ServiceRow>;
}

function* rowsOf({ base, overlay }: Layers): Generator<VersionedRow> {
  for (const [key, versioned] of base) {
    if (!overlay.has(key)) yield versioned;
  }
  for (const versioned of overlay.values()) {
    if (versioned) yield versioned;
  }
}

function mergeLayers(
  base: Layers["base"],
  overlay: Layers["overlay"],
): Map<string, VersionedRow> {
  const merged = new Map(base);
  for (const [key, versioned] of overlay) {
    if (versioned) merged.set(key, versioned);
    else merged.delete(key);
  }
  return merged;
}

function buildIndex(versioned: Iterable<VersionedRow>): TableIndex {
  const rows = Array.from(versioned, ({ row }) => row);
  return { upstreams: groupUpstreams(rows), models: indexModels(rows) };
}

function indexModels(
  rows: readonly TableRow[],
): ReadonlyMap<string, ServiceRow> {
  const models = new Map<string, ServiceRow>();
  const services = rows.filter((row): row is ServiceRow =>
    row.kind === "service" && row.type === "model"
  );
  for (const service of services) {
    for (const model of service.models) models.set(model, service);
  }
  // A service's own id goes before another's model of that name.
  for (const service of services) models.set(service.id, service);
  return models;
}

function groupUpstreams(
  rows: readonly TableRow[],
): ReadonlyMap<string, readonly UpstreamRow[]> {
  const pools = new Map<string, UpstreamRow[]>();
  for (const row of rows) {
    if (row.kind !== "upstream") continue;
    const key = `${row.service}/${row.region}`;
    const pool = pools.get(key);
    if (pool) pool.push(row);
    else pools.set(key, [row]);
  }
  for (const pool of pools.values()) {
    pool.sort((a, b) => (a.id < b.id ? -1 : 1));
  }
  return pools;
}
