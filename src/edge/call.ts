/**
 * What the edge knows of a caller's request before it reads the body.
 *
 * @module
 */

import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { ServiceRow, Table, WorkspaceRow } from "../agreement/mod.ts";
import { type Failure, failure } from "../base/mod.ts";

/** Lowest and highest priority a caller may ask for; 0 is the default. */
const PRIORITY_LIMITS = { min: -10, max: 10 };

const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** What the headers say. */
export interface CallHeaders {
  readonly priority: number;
  /** The answer must begin by then; absent: the service's default counts from arrival. */
  readonly deadlineMs?: number;
  readonly idempotencyKey?: string;
  /** The caller itself binds the request to its home region. */
  readonly bound: boolean;
}

/** A caller's request on its way through the edge. It is decided on one `table` from start to end. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly table: Table;
  readonly workspace: WorkspaceRow;
  readonly headers: CallHeaders;
  readonly arrivedAtMs: number;
  /** Aborted when the caller goes, or the edge gives the request up. */
  readonly signal: AbortSignal;
}

/** Reads and checks the headers that steer a request. */
export function parseCallHeaders(
  headers: IncomingHttpHeaders,
  nowMs: number,
): Result<CallHeaders, Failure> {
  const priority = parseInteger(headers["x-ibisgap-priority"], 0);
  if (
    priority === undefined || priority < PRIORITY_LIMITS.min ||
    priority > PRIORITY_LIMITS.max
  ) {
    return createBadRequest(
      `x-ibisgap-priority must be a whole number from ${PRIORITY_LIMITS.min} to ${PRIORITY_LIMITS.max}`,
    );
  }
  const deadlineMs = parseInteger(headers["x-ibisgap-deadline"], Number.NaN);
  if (deadlineMs === undefined) {
    return createBadRequest(
      "x-ibisgap-deadline must be whole milliseconds since the epoch",
    );
  }
  if (deadlineMs <= nowMs) return err(failure("deadlinePassed"));
  const idempotencyKey = headers["idempotency-key"] as string | undefined;
  if (
    idempotencyKey !== undefined &&
    !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey)
  ) {
    return createBadRequest(
      "Idempotency-Key must be 1 to 255 printable ASCII characters without spaces",
    );
  }
  return ok({
    priority,
    bound: headers["x-ibisgap-bound"] === "true",
    ...(Number.isNaN(deadlineMs) ? {} : { deadlineMs }),
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
  });
}

/** The time by which the answer must begin. */
export function getDeadlineMs(call: Call, service: ServiceRow): number {
  return call.headers.deadlineMs ??
    call.arrivedAtMs + service.defaultDeadlineMs;
}

/** Whether the request may be served in its workspace's home only; the stricter of table and caller holds. */
export function isBound(
  workspace: WorkspaceRow,
  headers: CallHeaders,
): boolean {
  return workspace.bound || headers.bound;
}

/** A whole number; `undefined` if the text is not one. */
function parseInteger(
  text: string | string[] | undefined,
  defaultValue: number,
): number | undefined {
  if (text === undefined) return defaultValue;
  return typeof text === "string" && /^-?\d{1,15}$/.test(text)
    ? Number(text)
    : undefined;
}

function createBadRequest(message: string): Result<never, Failure> {
  return err(failure("badRequest", { message }));
}
