/**
 * Callers' requests that no upstream runs: they are answered from what this VM and its services know.
 *
 * @module
 */

import { failure } from "../base/mod.ts";
import { sendFailure, sendJson } from "./answer.ts";
import type { Call } from "./call.ts";
import type { EdgeContext } from "./context.ts";

/** Lists the models of all services. */
export function listModels(call: Call): void {
  const data = [];
  for (const { row } of call.table.rows()) {
    if (row.kind === "service" && row.type === "model") {
      for (const id of new Set([row.id, ...row.models])) {
        data.push({ id, object: "model", owned_by: row.id });
      }
    }
  }
  sendJson(call.response, 200, { object: "list", data });
}

/** Reports the state of an at-most-once request, by its idempotency key and `?service=NAME`. */
export async function lookUpRequest(
  context: EdgeContext,
  call: Call,
  key: string,
): Promise<void> {
  const service = new URL(call.request.url!, "http://vm").searchParams.get(
    "service",
  );
  const nowMs = context.clock.nowMs();
  if (!service) {
    return sendFailure(
      call.response,
      failure("badRequest", { message: "name the service: ?service=NAME" }),
      nowMs,
    );
  }
  const found = await context.claims.ask("lookup", {
    service,
    workspace: call.workspace.id,
    key,
  });
  if (found.isErr()) return sendFailure(call.response, found.error, nowMs);
  if (found.value === "none") {
    return sendFailure(call.response, failure("unknownRequest"), nowMs);
  }
  const state = typeof found.value === "string" ? found.value : "answered";
  const answer = typeof found.value === "string"
    ? undefined
    : found.value.answer;
  sendJson(call.response, 200, {
    key,
    service,
    state,
    ran: state === "unknown" ? "unknown" : "yes",
    answer,
  });
}

/** Lists the VMs that a caller may use. A `workspace` parameter other than the key's workspace is refused. */
export async function findVms(context: EdgeContext, call: Call): Promise<void> {
  const namedWorkspaceId = new URL(call.request.url!, "http://vm")
    .searchParams.get(
      "workspace",
    );
  if (namedWorkspaceId !== null && namedWorkspaceId !== call.workspace.id) {
    return sendFailure(
      call.response,
      failure("forbidden"),
      context.clock.nowMs(),
    );
  }
  const answer = await context.directory.ask("lookup", {
    workspace: call.workspace.id,
  });
  sendJson(call.response, 200, answer);
}
