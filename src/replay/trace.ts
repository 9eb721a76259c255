/**
 * Traces: JSON lines that list the requests of callers and the faults, with their times. See docs/TRACE.md.
 *
 * All times in a trace, including deadlines, are milliseconds since its start.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { serviceRow } from "../agreement/mod.ts";

const id = z.string().min(1).max(63);
const atMs = z.number().min(0);
const count = z.number().int().min(0);

const topology = z.strictObject({
  regions: z.array(z.strictObject({
    id,
    /** Number of entry VMs in this region. */
    vms: z.number().int().min(1),
    linkMs: z.record(id, z.number().min(0)).default({}),
  })),
  services: z.array(z.strictObject({
    row: serviceRow,
    /** Number of upstreams by region. */
    upstreams: z.record(id, count),
    slots: z.number().int().min(1).default(8),
    prefillTokensPerS: z.number().min(1).default(8000),
    decodeTokensPerS: z.number().min(1).default(1500),
    streamTokensPerS: z.number().min(1).default(100),
    cacheTokens: z.number().min(0).default(200_000),
    resumes: z.boolean().default(false),
    /** By region, the other regions that its requests may be sent to. */
    mayGoTo: z.record(id, z.array(id)).default({}),
  })),
  workspaces: z.array(z.strictObject({
    id,
    home: id,
    bound: z.boolean(),
    weight: z.number().min(0).default(1),
  })),
});

/** The first line: name and seed of the trace, and the topology that it was made for. */
export const traceHeader = z.strictObject({
  type: z.literal("trace"),
  version: z.literal(1),
  name: id,
  seed: z.number().int(),
  /** Time of the last deadline. */
  endMs: atMs,
  topology,
});

/** A caller's request. */
export const traceRequest = z.strictObject({
  type: z.literal("request"),
  arrivalMs: atMs,
  workspace: id,
  /** The workspace's home region. */
  home: id,
  /** The region the caller is in. */
  region: id,
  service: id,
  /** Name of a group of requests that outcomes can refer to, for example `manifest` or `question`. */
  group: id,
  /** `chat` is sent to a model, `plain` to a plain service. */
  kind: z.enum(["chat", "plain"]),
  /** Whether the request must be served in its home region. */
  bound: z.boolean(),
  promptTokens: count,
  /** Requests with the same prefix id share their first `prefixTokens`. */
  prefixId: id.optional(),
  prefixTokens: count.default(0),
  outputTokens: count,
  priority: z.number().int().default(0),
  deadlineMs: atMs,
  /** Whether the request may run more than once. If not, it needs an idempotency key. */
  repeatable: z.boolean(),
  idempotencyKey: z.string().min(1).max(128).optional(),
});

/** A fault that begins or ends. */
export const traceFault = z.discriminatedUnion("target", [
  z.strictObject({
    type: z.literal("fault"),
    atMs,
    target: z.literal("upstream"),
    /** `SERVICE-REGION-NUMBER`. */
    upstream: id,
    /** Faults of the stand-in from now on, which replace the earlier ones. An empty list ends them. */
    faults: z.array(z.record(z.string(), z.unknown())),
  }),
  z.strictObject({
    type: z.literal("fault"),
    atMs,
    target: z.literal("vm"),
    /** `REGION-NUMBER`. */
    vm: id,
    /**
     * `kill` sends SIGKILL, `stop` SIGTERM, `pause` SIGSTOP, `resume` SIGCONT; `start` starts a new process as this VM.
     */
    action: z.enum(["kill", "stop", "pause", "resume", "start"]),
  }),
  z.strictObject({
    type: z.literal("fault"),
    atMs,
    target: z.literal("store"),
    action: z.enum(["down", "up"]),
  }),
  z.strictObject({
    type: z.literal("fault"),
    atMs,
    target: z.literal("link"),
    /** The region that is disconnected from all others, or connected to them again. */
    region: id,
    action: z.enum(["cut", "heal"]),
  }),
]);

const traceLine = z.union([traceHeader, traceRequest, traceFault]);

/** The parsed first line of a trace. */
export type TraceHeader = z.infer<typeof traceHeader>;
/** A parsed request of a trace. */
export type TraceRequest = z.infer<typeof traceRequest>;
/** A parsed fault of a trace. */
export type TraceFault = z.infer<typeof traceFault>;

/** A trace with its requests and faults sorted by time. */
export interface Trace {
  readonly header: TraceHeader;
  readonly requests: readonly TraceRequest[];
  readonly faults: readonly TraceFault[];
}

/** Parses a trace. An error names the line and the field. */
export function parseTrace(text: string): Result<Trace, string> {
  let header: TraceHeader | undefined;
  const requests: TraceRequest[] = [];
  const faults: TraceFault[] = [];
  for (const [index, line] of text.split("\n").entries()) {
    if (line.trim() === "") continue;
    const parsed = parseTraceLine(line);
    if (parsed.isErr()) return err(`line ${index + 1}: ${parsed.error}`);
    const value = parsed.value;
    if (value.type === "trace") header = value;
    else if (value.type === "request") requests.push(value);
    else faults.push(value);
  }
  if (!header) return err("there is no line of type trace");
  requests.sort((a, b) => a.arrivalMs - b.arrivalMs);
  faults.sort((a, b) => a.atMs - b.atMs);
  return ok({ header, requests, faults });
}

function parseTraceLine(
  line: string,
): Result<z.infer<typeof traceLine>, string> {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch (error) {
    return err((error as Error).message);
  }
  const type = (value as { type?: unknown } | null)?.type;
  const schema = type === "trace"
    ? traceHeader
    : type === "fault"
    ? traceFault
    : traceRequest;
  const parsed = schema.safeParse(value);
  if (parsed.success) return checkIdempotencyKey(parsed.data);
  const [issue] = parsed.error.issues;
  return err(`${issue.path.join(".") || "(line)"}: ${issue.message}`);
}

function checkIdempotencyKey<T extends z.infer<typeof traceLine>>(
  line: T,
): Result<T, string> {
  if (line.type !== "request" || line.repeatable) return ok(line);
  return line.idempotencyKey
    ? ok(line)
    : err("idempotencyKey: needed where repeatable is false");
}

/** Reads a trace from a file. */
export function readTrace(path: string): Result<Trace, string> {
  try {
    return parseTrace(readFileSync(path, "utf8")).mapErr((error) =>
      `${path}: ${error}`
    );
  } catch (error) {
    return err((error as Error).message);
  }
}
