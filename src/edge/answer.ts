/**
 * Sends responses to callers. Errors have the OpenAI error format plus the numeric result code, whether the request
 * ran, and when or where to retry.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { codes, type Failure } from "../base/mod.ts";

/** The VM that responds and its region; sent with every response. */
export interface VmIdentity {
  readonly vmId: string;
  readonly region: string;
}

/** Builds the JSON body of a failure. */
export function buildFailureBody(
  failure: Failure,
): { readonly error: Record<string, unknown> } {
  const info = codes[failure.code];
  return {
    error: {
      message: failure.message,
      type: failure.code,
      code: info.code,
      param: null,
      ran: failure.ran,
      ...(failure.retryAtMs === undefined
        ? {}
        : { retryAtMs: Math.ceil(failure.retryAtMs) }),
      ...(failure.goTo === undefined ? {} : { goTo: failure.goTo }),
    },
  };
}

/** Sets the headers that name the region and VM that serve the request. */
export function setVmHeaders(response: ServerResponse, vm: VmIdentity): void {
  response.setHeader("x-ibisgap-region", vm.region);
  response.setHeader("x-ibisgap-vm", vm.vmId);
}

/** Whether a response needs nothing more: it was ended, though it may not be written out yet, or its caller has left. */
export function hasEnded(response: ServerResponse): boolean {
  return response.writableEnded || response.destroyed;
}

/** Sends a failure as the complete response. If a part of another one was sent, that is broken off. */
export function sendFailure(
  response: ServerResponse,
  failure: Failure,
  nowMs: number,
): void {
  if (hasEnded(response)) return;
  if (response.headersSent) return breakOffResponse(response);
  const info = codes[failure.code];
  response.statusCode = info.httpStatus;
  response.setHeader("content-type", "application/json");
  response.setHeader("x-ibisgap-code", String(info.code));
  if (failure.retryAtMs !== undefined) {
    const waitS = Math.max(1, Math.ceil((failure.retryAtMs - nowMs) / 1000));
    response.setHeader("retry-after", String(waitS));
  }
  if (failure.goTo?.length && info.httpStatus === 421) {
    response.setHeader("location", failure.goTo[0]);
  }
  response.end(JSON.stringify(buildFailureBody(failure)));
}

/**
 * Breaks off a response that has begun and can't be completed. A caller with HTTP/1.0 gets no chunks, and would take an
 * orderly close for the end of the answer.
 */
export function breakOffResponse(response: ServerResponse): void {
  if (hasEnded(response)) return;
  if (response.req.httpVersion === "1.0") response.socket?.resetAndDestroy();
  response.destroy();
}

/** Sends a value as a JSON response. */
export function sendJson(
  response: ServerResponse,
  httpStatus: number,
  value: unknown,
): void {
  if (hasEnded(response)) return;
  response.statusCode = httpStatus;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(value));
}
