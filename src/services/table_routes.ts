/**
 * The operators' HTTP routes for the table, below `/admin/table`. The edge checks the operator's token first.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import Router from "@koa/router";
import type { Context } from "koa";
import { z } from "zod";
import { rowKey, tableRow } from "../agreement/mod.ts";
import {
  ByteCollector,
  type Clock,
  codes,
  type Failure,
  failure,
} from "../base/mod.ts";
import type { TableEditor } from "./table_editor.ts";
import type { EditRefusal } from "./table_refusals.ts";
import type { TableService } from "./table_service.ts";

/** Largest request body; about 20,000 rows fit. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;
const DEFAULT_WAIT_MS = 5000;
const MAX_HISTORY = 200;

const version = z.number().int().min(0);
const author = z.string().min(1).max(200);
const waitMs = z.number().int().min(0).max(60_000).default(DEFAULT_WAIT_MS);

const editBody = z.strictObject({
  id: z.string().min(8).max(100),
  author,
  waitMs,
  changes: z.array(z.discriminatedUnion("type", [
    z.strictObject({
      type: z.literal("put"),
      row: tableRow,
      ifVersion: version.optional(),
    }),
    z.strictObject({
      type: z.literal("delete"),
      key: z.string(),
      ifVersion: version.optional(),
    }),
  ])).min(1),
});

const rowsBody = z.strictObject({ rows: z.array(tableRow) });

const applyBody = z.strictObject({
  author,
  waitMs,
  dryRun: z.boolean().default(false),
  rows: z.array(tableRow),
});

const rowsQuery = z.object({
  key: z.string().optional(),
  kind: z.string().optional(),
});

const historyQuery = z.object({
  before: z.coerce.number().int().min(1).optional(),
  limit: z.coerce.number().int().min(1).max(MAX_HISTORY).default(20),
});

/** Options of {@link createTableRouter}. */
export interface TableRoutesOptions {
  readonly service: TableService;
  readonly editor: TableEditor;
  readonly clock: Clock;
}

/** Creates the routes, which docs/TABLE.md describes. */
export function createTableRouter(options: TableRoutesOptions): Router {
  const { service, editor, clock } = options;
  const router = new Router({ prefix: "/admin/table" });
  router.get("/", (context) => sendRows(context, service));
  router.post("/edits", async (context) => {
    const body = await readBody(context, editBody);
    if (!body) return;
    const { id, author, changes, waitMs } = body;
    const proposal = { id, author, changes };
    const result = await editor.submit(proposal, clock.nowMs() + waitMs);
    result.match(
      (accepted) => void (context.body = accepted),
      sendRefusal(context),
    );
  });
  router.post("/diff", async (context) => {
    const body = await readBody(context, rowsBody);
    if (!body) return;
    const result = await editor.diff(body.rows);
    result.match(
      (changes) => void (context.body = { changes }),
      sendRefusal(context),
    );
  });
  router.post("/apply", async (context) => {
    const body = await readBody(context, applyBody);
    if (!body) return;
    const deadlineMs = clock.nowMs() + body.waitMs;
    const result = await editor.apply({ ...body, deadlineMs });
    result.match(
      (applied) => void (context.body = applied),
      sendRefusal(context),
    );
  });
  router.get("/history", async (context) => {
    const query = parseOr400(context, historyQuery, context.query);
    if (!query) return;
    const result = await editor.history(query.before, query.limit);
    result.match(
      (edits) => void (context.body = { edits }),
      sendRefusal(context),
    );
  });
  router.get("/in-force", async (context) => {
    const version = service.table?.version ?? 0;
    context.body = { version, regions: await service.regionVersions() };
  });
  router.post("/republish", async (context) => {
    const result = await editor.republish();
    result.match(
      (accepted) => void (context.body = accepted),
      sendRefusal(context),
    );
  });
  return router;
}

function sendRows(context: Context, service: TableService): void {
  const query = parseOr400(context, rowsQuery, context.query);
  if (!query) return;
  const { table } = service;
  if (!table) return sendRefusal(context)({ failure: failure("noTable") });
  const rows = [...table.rows()]
    .map((it) => ({ key: rowKey(it.row), ...it }))
    .filter((it) => query.key === undefined || it.key === query.key)
    .filter((it) => query.kind === undefined || it.row.kind === query.kind)
    .sort((a, b) => (a.key < b.key ? -1 : 1));
  context.body = { version: table.version, rows };
}

/** Returns a function that answers with a failure in the same form as for callers, and with the rows at fault. */
function sendRefusal(context: Context): (refused: EditRefusal) => void {
  return ({ failure, conflicts, faults, acceptedVersion }) => {
    context.status = codes[failure.code].httpStatus;
    context.set("x-ibisgap-code", String(codes[failure.code].code));
    const error = errorOf(failure);
    context.body = { error, conflicts, faults, acceptedVersion };
  };
}

function errorOf({ code, message, ran }: Failure) {
  return { message, type: code, code: codes[code].code, param: null, ran };
}

async function readBody<T>(
  context: Context,
  schema: z.ZodType<T>,
): Promise<T | undefined> {
  const json = await readJson(context.req);
  return parseOr400(context, schema, json);
}

function parseOr400<T>(
  context: Context,
  schema: z.ZodType<T>,
  input: unknown,
): T | undefined {
  const parsed = schema.safeParse(input);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((it) => describeIssue(it, input));
  const message = problems.map((it) => it.text).join("; ");
  const code = problems.some((it) => it.isInRow) ? "invalidEdit" : "badRequest";
  sendRefusal(context)({ failure: failure(code, { message }) });
  return undefined;
}

/** Describes a validation issue. Names the row by its key, since a path is no help in a file of thousands of rows. */
function describeIssue(
  issue: z.core.$ZodIssue,
  input: unknown,
): { readonly text: string; readonly isInRow: boolean } {
  let value = input;
  let key: string | undefined;
  const field: PropertyKey[] = [];
  for (const step of issue.path) {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[step];
    field.push(step);
    const rawKey = unparsedKeyOf(value);
    if (rawKey === undefined) continue;
    key = rawKey;
    field.length = 0;
  }
  const location = [key, field.join(".")].filter(Boolean).join(": ") || "body";
  const valueText = typeof value === "object"
    ? ""
    : ` is ${JSON.stringify(value)}`;
  return {
    text: `${location}${valueText}; ${issue.message}`,
    isInRow: key !== undefined,
  };
}

function unparsedKeyOf(value: unknown): string | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  if (!("kind" in value)) return undefined;
  const row = value as Record<string, unknown>;
  const id = row.id ?? `${row.service}/${row.region}`;
  return `${row.kind}/${id}`;
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const body = new ByteCollector(MAX_BODY_BYTES);
  for await (const chunk of request) {
    if (body.append(chunk as Buffer) !== "taken") return undefined;
  }
  try {
    return JSON.parse(body.take().toString("utf8"));
  } catch {
    return undefined;
  }
}
