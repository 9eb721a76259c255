/**
 * The data of a caller's request that the edge has before it reads the body.
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
import type { OpenRequest } from "./open_requests.ts";

/** Minimum and maximum priority that a caller may request; 0 is the default. */
const PRIORITY_LIMITS = { min: -10, max: 10 };

const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** The parsed request headers that affect how a call is handled. */
export interface CallHeaders {
  readonly priority: number;
  /** Time by which the response must begin. If absent, the service's default deadline counts from the arrival. */
  readonly deadlineMs?: number;
  readonly idempotencyKey?: string;
  /** Whether the caller requires that the request is served in its workspace's home region. */
  readonly bound: boolean;
}

/** A caller's request in the edge. All decisions about it use the same version of the `table`. */
export interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly table: Table;
  readonly workspace: WorkspaceRow;
  readonly headers: CallHeaders;
  readonly arrivedAtMs: number;
  /** The request in the list of those that are open. */
  readonly open: OpenRequest;
  /** Aborted when the caller disconnects, or this VM's planned stop is over. */
  readonly signal: AbortSignal;
}

/** Parses and validates the headers that affect how a request is handled. */
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

/** Returns the time by which the response must begin. */
export function getDeadlineMs(call: Call, service: ServiceRow): number {
  return call.headers.deadlineMs ??
    call.arrivedAtMs + service.defaultDeadlineMs;
}

/** Whether the request may be served only in its workspace's home region, because the table or the caller says so. */
export function isBound(
  workspace: WorkspaceRow,
  headers: CallHeaders,
): boolean {
  return workspace.bound || headers.bound;
}

/** Parses a whole number; `undefined` if the text is not one. */
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
