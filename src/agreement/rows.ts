/**
 * The rows of the operators' table, and the checks each must pass. The published JSON Schema is made from these.
 *
 * Row keys are `KIND/ID` (`service/plan`, `traffic/plan/agadir`); an edit is accepted or refused row by row.
 *
 * @module
 */

import { z } from "zod";

const id = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "must be lower-case letters, digits, '.', '_' or '-'",
);
const weight = z.number().min(0).max(1_000_000);
const count = z.number().int().min(0).max(100_000_000);
const microcents = z.number().int().min(0);

/** A service: a model behind engines, or a plain HTTP service. */
export const serviceRow = z.strictObject({
  kind: z.literal("service"),
  id,
  type: z.enum(["model", "plain"]),
  /** For a model service: the names callers may put into `model`; the service's id always counts. */
  models: z.array(z.string().max(128)).max(64).default([]),
  /** For a plain service: whether calls other than GET and HEAD need an Idempotency-Key and run at most once. */
  atMostOnce: z.boolean().default(false),
  /** What the operators weigh: all three are relative. */
  objective: z.strictObject({
    latencyWeight: weight.default(1),
    costWeight: weight.default(0),
    awayWeight: weight.default(0),
  }).default({ latencyWeight: 1, costWeight: 0, awayWeight: 0 }),
  /** Deadline given to a request that brings none, counted from its arrival. */
  defaultDeadlineMs: z.number().int().min(10).max(3_600_000).default(30_000),
  /** Most requests queued at one pool's lead. */
  queueLimit: count.default(1000),
  /** Most upstreams led together. */
  poolSize: z.number().int().min(1).max(512).default(64),
});

/** A region, and what its traffic weighs against others'. */
export const regionRow = z.strictObject({
  kind: z.literal("region"),
  id,
  weight: weight.default(1),
  /** Price of one upstream-hour here, in microcents, for the cost objective. */
  upstreamHourMicrocents: microcents.default(0),
  /** One-way link delay to other regions by their id, in ms: a starting value, corrected by measurement. */
  linkMs: z.record(id, z.number().min(0).max(10_000)).default({}),
});

/** How much traffic of a service a region may take, and where its overflow may go. */
export const trafficRow = z.strictObject({
  kind: z.literal("traffic"),
  service: id,
  region: id,
  /** Regions that requests arriving here may be sent to; empty: none. */
  mayGoTo: z.array(id).max(64).default([]),
  /** Most share of this region's requests sent away, 0 to 1. */
  awayShareLimit: z.number().min(0).max(1).default(1),
  /** Share of this region's slots kept for its own demand when others send here, 0 to 1. */
  reserveShare: z.number().min(0).max(1).default(0.2),
  requestsPerS: z.number().min(0).optional(),
  spendMicrocentsPerHour: microcents.optional(),
  weight: weight.default(1),
});

/** A workspace: the callers of one customer. */
export const workspaceRow = z.strictObject({
  kind: z.literal("workspace"),
  id,
  /** Home region; requests of a bound workspace are served nowhere else. */
  home: id,
  bound: z.boolean().default(true),
  /** Share against other workspaces under contention. */
  weight: weight.default(1),
  /** SHA-256 digests (hex) of the keys its callers use. */
  keyDigests: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, "must be 64 hex digits"),
  ).max(16).default([]),
  requestsPerS: z.number().min(0).optional(),
  tokensPerS: z.number().min(0).optional(),
  concurrency: count.optional(),
  spendMicrocentsPerHour: microcents.optional(),
});

/** One upstream: an engine or a plain service's runner. */
export const upstreamRow = z.strictObject({
  kind: z.literal("upstream"),
  id,
  service: id,
  region: id,
  failureDomain: id,
  url: z.url({ protocol: /^https?$/ }),
  /** Requests it runs side by side. */
  slots: z.number().int().min(1).max(100_000).default(16),
  /** Tokens it can prefill in a second: the starting value of an observed figure. */
  prefillTokensPerS: z.number().min(1).default(8000),
  /** Tokens it can generate in a second over all requests. */
  decodeTokensPerS: z.number().min(1).default(1500),
  state: z.enum(["active", "leaving", "parked"]).default("active"),
  /** Whether it refuses an order with an old fencing number. */
  checksFence: z.boolean().default(false),
  /** Whether it resumes a broken stream. */
  resumes: z.boolean().default(false),
});

/** Any row. */
export const tableRow = z.discriminatedUnion("kind", [
  serviceRow,
  regionRow,
  trafficRow,
  workspaceRow,
  upstreamRow,
]);

/** A service's row; see {@link serviceRow}. */
export type ServiceRow = z.infer<typeof serviceRow>;
/** A region's row; see {@link regionRow}. */
export type RegionRow = z.infer<typeof regionRow>;
/** A traffic row; see {@link trafficRow}. */
export type TrafficRow = z.infer<typeof trafficRow>;
/** A workspace's row; see {@link workspaceRow}. */
export type WorkspaceRow = z.infer<typeof workspaceRow>;
/** An upstream's row; see {@link upstreamRow}. */
export type UpstreamRow = z.infer<typeof upstreamRow>;
/** Any row of the table. */
export type TableRow = z.infer<typeof tableRow>;

/** The key a row stands under. */
export function rowKey(row: TableRow): string {
  return row.kind === "traffic"
    ? `traffic/${row.service}/${row.region}`
    : `${row.kind}/${row.id}`;
}
