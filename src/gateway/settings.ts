/**
 * The gateway's settings: one JSON file, validated field by field.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod/mini";

const text = z.string().check(z.minLength(1));
const address = z.string().check(
  z.regex(/^[0-9.]+:[0-9]{1,5}$/, "must be IP:PORT"),
);
const port = z.int().check(z.minimum(1), z.maximum(65_535));
const nonNegative = z.number().check(z.minimum(0));

const schema = z.object({
  vm: z.object({
    id: text,
    /** Address at which other VMs and callers reach this one. */
    ip: text,
    region: text,
    failureDomain: text,
    /** Memory that the process may use. */
    memoryMb: nonNegative,
    mostDescriptors: nonNegative,
    /** Share of a core that the process may use, and how fast the core is; strong VMs lead their region. */
    coreShare: z._default(nonNegative, 1),
    coreSpeed: z._default(nonNegative, 1),
  }),
  listen: z.object({
    callers: address,
    ready: address,
    directory: address,
    /** HTTP between VMs: relayed requests and JSON-RPC calls. */
    peers: address,
    /** UDP between VMs: membership, placement, quotas and crashes. */
    beats: port,
    metrics: port,
  }),
  /** Whether the whole system starts for the first time, so that nothing ran before which the store could tell of. */
  firstStart: z.optional(z.boolean()),
  /** Addresses of some VMs' `peers` listeners; may be stale. */
  seeds: z._default(z.array(address), []),
  /** Region of each failure domain. */
  failureDomains: z.record(z.string(), text),
  store: z.object({
    address,
    leastLeaseMs: nonNegative,
    /** Write calls a second that it allows to all VMs together. */
    writesPerS: z.optional(z.number().check(z.minimum(1))),
    /** Read calls a second that it allows to all VMs together. */
    readsPerS: z.optional(z.number().check(z.minimum(1))),
  }),
  /**
   * Whether requests without a place wait in order at their region's lead, where workspaces with limits compete for
   * engines; if absent, they wait in the queues of the engines.
   */
  queueAtLead: z.optional(z.boolean()),
  bounds: z.object({
    /** Time from the stop signal until the process is killed. */
    graceMs: nonNegative,
    /** How long after the end of a fault a VM has to be up to date again. */
    contactMs: nonNegative,
    repeatRatio: nonNegative,
    repeatSlack: nonNegative,
    repeatWindowMs: nonNegative,
    /** How far a workspace may exceed its limit in each window: as a share of the limit, plus a number of units. */
    quotaExcess: z._default(nonNegative, 0),
    quotaSlack: z._default(nonNegative, 0),
    quotaWindowMs: z._default(nonNegative, 1_000),
    /**
     * A VM that has been unable to tell for this long whether a key was revoked refuses requests; if absent, it keeps
     * serving.
     */
    strictRevokeMs: z.optional(nonNegative),
  }),
});

/** The validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof schema>;

/** What is wrong with one field. */
export interface SettingsProblem {
  readonly field: string;
  readonly message: string;
}

/** Parses and validates settings; unknown fields are ignored, since newer platforms may add some. */
export function parseGatewaySettings(
  json: string,
): Result<GatewaySettings, SettingsProblem[]> {
  let value: unknown;
  try {
    value = JSON.parse(json);
  } catch (error) {
    return err([{
      field: "(file)",
      message: `not JSON: ${(error as Error).message}`,
    }]);
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map((issue) => ({
    field: issue.path.join(".") || "(file)",
    message: issue.message,
  })));
}
