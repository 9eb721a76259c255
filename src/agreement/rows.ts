/**
 * The rows of the operators' table, and the checks that each row must pass. The published JSON Schema is generated from
 * them.
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
  type: z.enum(["model", "plain"]).describe(
    "model: behind engines; plain: an HTTP service beside them",
  ),
  models: z.array(z.string().max(128)).max(64).default([]).describe(
    "model names callers may use; the service's id always counts",
  ),
  atMostOnce: z.boolean().default(false).describe(
    "plain: calls other than GET and HEAD need an Idempotency-Key and run at most once",
  ),
  objective: z.strictObject({
    latencyWeight: weight.default(1),
    costWeight: weight.default(0),
    awayWeight: weight.default(0),
  }).default({ latencyWeight: 1, costWeight: 0, awayWeight: 0 }).describe(
    "what counts, relative to each other: tail latency, cost, share sent away",
  ),
  defaultDeadlineMs: z.number().int().min(10).max(3_600_000).default(30_000)
    .describe("for a request that brings none, from its arrival"),
  queueLimit: count.default(1000).describe("requests queued at one lead"),
  poolSize: z.number().int().min(1).max(512).default(64).describe(
    "upstreams led together",
  ),
});

/** A region, and the weight of its traffic against that of other regions. */
export const regionRow = z.strictObject({
  kind: z.literal("region"),
  id,
  weight: weight.default(1).describe("its traffic against other regions'"),
  upstreamHourMicrocents: microcents.default(0).describe(
    "price of one upstream-hour here, for the cost objective",
  ),
  linkMs: z.record(id, z.number().min(0).max(10_000)).default({}).describe(
    "one-way delay to other regions: a starting value, corrected by measurement",
  ),
});

/** How much traffic of a service a region may take, and where its overflow may go. */
export const trafficRow = z.strictObject({
  kind: z.literal("traffic"),
  service: id,
  region: id,
  mayGoTo: z.array(id).max(64).default([]).describe(
    "regions that requests arriving here may be sent to; empty: none",
  ),
  awayShareLimit: z.number().min(0).max(1).default(1).describe(
    "most of this region's requests sent away",
  ),
  reserveShare: z.number().min(0).max(1).default(0.2).describe(
    "slots kept for the region's own demand when others send here",
  ),
  requestsPerS: z.number().min(0).optional().describe("absent: no limit"),
  spendMicrocentsPerHour: microcents.optional().describe("absent: no limit"),
  weight: weight.default(1),
});

/** A workspace: the callers of one customer. */
export const workspaceRow = z.strictObject({
  kind: z.literal("workspace"),
  id,
  home: id.describe("home region"),
  bound: z.boolean().default(true).describe("served in its home region only"),
  weight: weight.default(1).describe(
    "share against other workspaces under contention",
  ),
  keyDigests: z.array(
    z.string().regex(/^[0-9a-f]{64}$/, "must be 64 hex digits"),
  ).max(16).default([]).describe(
    "SHA-256, in hex, of the keys its callers use; no two workspaces share one",
  ),
  requestsPerS: z.number().min(0).optional().describe("absent: no limit"),
  tokensPerS: z.number().min(0).optional().describe("absent: no limit"),
  concurrency: count.optional().describe("open requests; absent: no limit"),
  spendMicrocentsPerHour: microcents.optional().describe("absent: no limit"),
});

/** One upstream: an engine or a plain service's runner. */
export const upstreamRow = z.strictObject({
  kind: z.literal("upstream"),
  id,
  service: id,
  region: id,
  failureDomain: id,
  url: z.url({ protocol: /^https?$/ }),
  slots: z.number().int().min(1).max(100_000).default(16).describe(
    "requests it runs side by side",
  ),
  prefillTokensPerS: z.number().min(1).default(8000).describe(
    "the starting value of an observed figure",
  ),
  decodeTokensPerS: z.number().min(1).default(1500).describe(
    "over all its requests",
  ),
  state: z.enum(["active", "leaving", "parked"]).default("active").describe(
    "leaving and parked upstreams get no new work",
  ),
  checksFence: z.boolean().default(false).describe(
    "refuses an order with an old fencing number",
  ),
  resumes: z.boolean().default(false).describe("resumes a broken stream"),
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

/** Returns the key of a row. */
export function rowKey(row: TableRow): string {
  return row.kind === "traffic"
    ? `traffic/${row.service}/${row.region}`
    : `${row.kind}/${row.id}`;
}
