/**
 * Authenticates callers by their keys. The table holds only digests of keys.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Table, WorkspaceRow } from "../agreement/mod.ts";
import { type Failure, failure, secretDigest } from "../base/mod.ts";
import { err, ok, type Result } from "neverthrow";

const keyIndexes = new WeakMap<Table, ReadonlyMap<string, string>>();

/** Returns the map from key digest to workspace id, which is built once per version of the table. */
function getKeyIndex(table: Table): ReadonlyMap<string, string> {
  const cached = keyIndexes.get(table);
  if (cached) return cached;
  const index = new Map<string, string>();
  for (const { row } of table.rows()) {
    if (row.kind !== "workspace") continue;
    for (const digest of row.keyDigests) index.set(digest, row.id);
  }
  keyIndexes.set(table, index);
  return index;
}

/** Returns the bearer token of a request. */
export function readBearerToken(
  headers: IncomingHttpHeaders,
): string | undefined {
  const match = /^Bearer +(\S+)$/i.exec(headers.authorization ?? "");
  return match?.[1];
}

/**
 * Returns the workspace that the request's key belongs to. A request whose `x-ibisgap-workspace` header names another
 * workspace is refused.
 */
export function authenticate(
  table: Table,
  headers: IncomingHttpHeaders,
): Result<WorkspaceRow, Failure> {
  const key = readBearerToken(headers);
  if (!key) {
    return err(
      failure("unauthenticated", {
        message: "send your key as 'Authorization: Bearer KEY'",
      }),
    );
  }
  // The timing of a lookup by digest does not leak the key, because an attacker cannot choose the prefix of a digest.
  const workspaceId = getKeyIndex(table).get(secretDigest(key));
  const workspace = workspaceId === undefined
    ? undefined
    : table.workspace(workspaceId);
  if (!workspace) return err(failure("unauthenticated"));
  const namedWorkspaceId = headers["x-ibisgap-workspace"];
  if (namedWorkspaceId !== undefined && namedWorkspaceId !== workspace.id) {
    return err(
      failure("forbidden", {
        message: "the key belongs to another workspace than the one named",
      }),
    );
  }
  return ok(workspace);
}
