/**
 * `ibisgap table`: reads and changes the operators' table through any VM.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { defineCommand } from "citty";
import {
  callVm,
  type CliError,
  exitCodes,
  fail,
  print,
  targetArgs,
} from "./client.ts";
import {
  changesText,
  conflictsText,
  type EditsBody,
  findMissing,
  historyText,
  type InForceBody,
  inForceText,
  type RowsBody,
  rowsText,
} from "./table_text.ts";

const authorArg = {
  author: {
    type: "string",
    description: "who makes the edit; else the user's name",
  },
} as const;

const fileArg = {
  file: {
    type: "positional",
    description: "a JSON file: a list of rows; - for standard input",
    required: true,
  },
} as const;

/** How often `wait` checks the versions in force. */
const POLL_INTERVAL_MS = 200;

const get = defineCommand({
  meta: { name: "get", description: "Print rows" },
  args: {
    ...targetArgs,
    key: { type: "positional", description: "KIND/ID", required: false },
    kind: { type: "string", description: "only rows of this kind" },
  },
  async run({ args }) {
    const query = new URLSearchParams();
    if (args.key) query.set("key", args.key);
    if (args.kind) query.set("kind", args.kind);
    const result = await callVm(args, "GET", `/admin/table?${query}`);
    if (result.isErr()) return failWithBody(result.error, args.json);
    const body = result.value as RowsBody;
    print(args.json ? JSON.stringify(body) : rowsText(body));
    if (args.key && body.rows.length === 0) process.exitCode = exitCodes.failed;
  },
});

const edit = defineCommand({
  meta: { name: "edit", description: "Put or delete one row" },
  args: {
    ...targetArgs,
    ...authorArg,
    put: { type: "string", description: "the row as JSON" },
    delete: { type: "string", description: "the row's key, KIND/ID" },
    ifVersion: {
      type: "string",
      description: "only if the row is at this version; 0: only if it is new",
    },
    id: {
      type: "string",
      description: "the edit's id, to repeat one whose answer was lost",
    },
    waitMs: {
      type: "string",
      description: "how long to try while the store is away",
      default: "5000",
    },
  },
  async run({ args }) {
    const change = parseChange(args.put, args.delete, args.ifVersion);
    if (!change) {
      const message = "give one of --put and --delete, with valid JSON";
      return fail({ exitCode: exitCodes.usage, message });
    }
    const id = args.id ?? randomUUID();
    const author = authorOf(args.author);
    const waitMs = Number(args.waitMs);
    const body = { id, author, waitMs, changes: [change] };
    const result = await callVm(args, "POST", "/admin/table/edits", body);
    if (result.isErr()) {
      failWithBody(result.error, args.json);
      if (mayHaveRun(result.error)) {
        process.stderr.write(`ibisgap: to settle it: repeat with --id ${id}\n`);
      }
      return;
    }
    const { version, changed } = result.value as EditsBody;
    const text = changed ? `version ${version}` : `unchanged at ${version}`;
    print(args.json ? JSON.stringify(result.value) : text);
  },
});

const diff = defineCommand({
  meta: { name: "diff", description: "Show what a file would change" },
  args: { ...targetArgs, ...fileArg },
  async run({ args }) {
    const rows = readRows(args.file);
    if (!rows) return;
    const result = await callVm(args, "POST", "/admin/table/diff", { rows });
    if (result.isErr()) return failWithBody(result.error, args.json);
    print(args.json ? JSON.stringify(result.value) : changesText(result.value));
  },
});

const apply = defineCommand({
  meta: {
    name: "apply",
    description: "Make the table hold exactly the rows of a file",
  },
  args: {
    ...targetArgs,
    ...authorArg,
    ...fileArg,
    dryRun: {
      type: "boolean",
      description: "check and show, but change nothing",
      default: false,
    },
  },
  async run({ args }) {
    const rows = readRows(args.file);
    if (!rows) return;
    const author = authorOf(args.author);
    const body = { rows, author, dryRun: args.dryRun };
    const result = await callVm(args, "POST", "/admin/table/apply", body);
    if (result.isErr()) return failWithBody(result.error, args.json);
    print(args.json ? JSON.stringify(result.value) : changesText(result.value));
  },
});

const history = defineCommand({
  meta: { name: "history", description: "List edits, newest first" },
  args: {
    ...targetArgs,
    limit: { type: "string", description: "how many", default: "20" },
    before: { type: "string", description: "only versions below this" },
  },
  async run({ args }) {
    const query = new URLSearchParams({ limit: args.limit });
    if (args.before) query.set("before", args.before);
    const result = await callVm(args, "GET", `/admin/table/history?${query}`);
    if (result.isErr()) return failWithBody(result.error, args.json);
    print(args.json ? JSON.stringify(result.value) : historyText(result.value));
  },
});

const wait = defineCommand({
  meta: {
    name: "wait",
    description: "Wait until a version is in force on every VM",
  },
  args: {
    ...targetArgs,
    version: { type: "positional", description: "version", required: true },
    region: { type: "string", description: "only in this region" },
    timeoutMs: {
      type: "string",
      description: "how long to wait",
      default: "10000",
    },
  },
  async run({ args }) {
    const version = Number(args.version);
    const deadlineMs = Date.now() + Number(args.timeoutMs);
    for (;;) {
      const result = await callVm(args, "GET", "/admin/table/in-force");
      if (result.isErr()) return failWithBody(result.error, args.json);
      const body = result.value as InForceBody;
      const missing = findMissing(body, version, args.region);
      if (missing.length === 0 || Date.now() >= deadlineMs) {
        print(
          args.json
            ? JSON.stringify({ ...body, missing })
            : inForceText(body, version, args.region),
        );
        if (missing.length > 0) process.exitCode = exitCodes.failed;
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  },
});

const republish = defineCommand({
  meta: {
    name: "republish",
    description: "Publish the table in force to a store restored from a copy",
  },
  args: targetArgs,
  async run({ args }) {
    const result = await callVm(args, "POST", "/admin/table/republish", {});
    if (result.isErr()) return failWithBody(result.error, args.json);
    const { version, changed } = result.value as EditsBody;
    const text = changed
      ? `the store holds version ${version} again`
      : `the store already agrees, at version ${version}`;
    print(args.json ? JSON.stringify(result.value) : text);
  },
});

/** The command `ibisgap table`. */
export const table = defineCommand({
  meta: { name: "table", description: "Read and change the operators' table" },
  subCommands: { get, edit, diff, apply, history, wait, republish },
});

function parseChange(
  put: string | undefined,
  key: string | undefined,
  ifVersion: string | undefined,
): unknown {
  const condition = ifVersion === undefined
    ? {}
    : { ifVersion: Number(ifVersion) };
  if (key !== undefined) {
    return put === undefined
      ? { type: "delete", key, ...condition }
      : undefined;
  }
  const row = put === undefined ? undefined : parseJson(put);
  return row && { type: "put", row, ...condition };
}

function readRows(file: string): unknown[] | undefined {
  let text: string;
  try {
    text = readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (error) {
    const message = `cannot read ${file}: ${(error as Error).message}`;
    return void fail({ exitCode: exitCodes.usage, message });
  }
  const rows = parseJson(text);
  if (Array.isArray(rows)) return rows;
  const message = `${file} is not a JSON list of rows`;
  return void fail({ exitCode: exitCodes.usage, message });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function authorOf(given: string | undefined): string {
  return given ?? userInfo().username;
}

function mayHaveRun(error: CliError): boolean {
  const body = error.body as { error?: { ran?: string } } | undefined;
  return body?.error === undefined || body.error.ran === "unknown";
}

function failWithBody(error: CliError, json: boolean): void {
  if (json && error.body !== undefined) print(JSON.stringify(error.body));
  fail({ ...error, message: error.message + conflictsText(error.body) });
}
