/**
 * Who a caller is, by its key. The table holds digests only.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Table, WorkspaceRow } from "../agreement/mod.ts";
import { type Failure, failure, secretDigest } from "../base/mod.ts";
import { err, ok, type Result } from "neverthrow";

const indexes = new WeakMap<Table, ReadonlyMap<string, string>>();

/** Digest of a key to workspace id, built once per version of the table. */
function digestIndex(table: Table): ReadonlyMap<string, string> {
  const known = indexes.get(table);
  if (known) return known;
  const index = new Map<string, string>();
  for (const { row } of table.rows()) {
    if (row.kind !== "workspace") continue;
    for (const digest of row.keyDigests) index.set(digest, row.id);
  }
  indexes.set(table, index);
  return index;
}

/** The bearer token of a request. */
export function bearer(headers: IncomingHttpHeaders): string | undefined {
  const match = /^Bearer +(\S+)$/i.exec(headers.authorization ?? "");
  return match?.[1];
}

/** The workspace whose key this is. A `x-ibisgap-workspace` header that names another one is refused. */
export function identify(
  table: Table,
  headers: IncomingHttpHeaders,
): Result<WorkspaceRow, Failure> {
  const key = bearer(headers);
  if (!key) {
    return err(
      failure("unauthenticated", {
        message: "send your key as 'Authorization: Bearer KEY'",
      }),
    );
  }
  // A lookup by digest does not leak the key by its timing: an attacker cannot steer a digest's prefix.
  const workspaceId = digestIndex(table).get(secretDigest(key));
  const workspace = workspaceId === undefined
    ? undefined
    : table.workspace(workspaceId);
  if (!workspace) return err(failure("unauthenticated"));
  const named = headers["x-ibisgap-workspace"];
  if (named !== undefined && named !== workspace.id) {
    return err(
      failure("forbidden", {
        message: "the key belongs to another workspace than the one named",
      }),
    );
  }
  return ok(workspace);
}
