/**
 * What callers are told: the OpenAI error shape with the numbered result code, whether the request ran, and when or
 * where to come back.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { codes, type Failure } from "../base/mod.ts";

/** Which VM and region answers; sent with every answer. */
export interface VmIdentity {
  readonly vmId: string;
  readonly region: string;
}

/** The JSON body of a failure. */
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

/** Marks an answer with the region and VM that serve it. */
export function setVmHeaders(response: ServerResponse, vm: VmIdentity): void {
  response.setHeader("x-ibisgap-region", vm.region);
  response.setHeader("x-ibisgap-vm", vm.vmId);
}

/** Sends a failure; its body and headers are final and leave at once. */
export function sendFailure(
  response: ServerResponse,
  failure: Failure,
  nowMs: number,
): void {
  if (response.headersSent || response.destroyed) {
    return void response.destroy();
  }
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

/** Sends a value as JSON. */
export function sendJson(
  response: ServerResponse,
  httpStatus: number,
  value: unknown,
): void {
  response.statusCode = httpStatus;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(value));
}
