/**
 * The daemon's settings: one JSON file, checked field by field. The published JSON Schema is made from these.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";

const id = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "must be lower-case letters, digits, '.', '_' or '-'",
);
const address = z.strictObject({
  host: z.string().min(1).default("127.0.0.1"),
  /** 0 takes any free port. */
  port: z.number().int().min(0).max(65_535),
});
/** A secret: `env:NAME`, `file:PATH`, or the text itself. */
const secret = z.string().min(8);
const digest = z.string().regex(
  /^[0-9a-f]{64}$/,
  "must be 64 hex digits (SHA-256)",
);

/** Limits of the callers' edge. */
export const limitSettings = z.strictObject({
  bodyBytes: z.number().int().min(1024).max(256 << 20).default(8 << 20),
  headerBytes: z.number().int().min(1024).max(1 << 20).default(16 << 10),
  /** A body must be here this long after its head. */
  bodyWaitMs: z.number().int().min(10).max(600_000).default(30_000),
  /** A caller that takes nothing of its answer for this long is dropped. */
  stalledCallerMs: z.number().int().min(10).max(600_000).default(30_000),
  /** An upstream that sends nothing for this long in the middle of an answer is given up. */
  upstreamStallMs: z.number().int().min(10).max(600_000).default(15_000),
  /** Open requests at this VM; more are refused at once. */
  openRequests: z.number().int().min(1).max(1_000_000).default(10_000),
  /** Attempts for one request, the first included. */
  attempts: z.number().int().min(1).max(10).default(3),
  /** How long a planned stop waits for requests in flight. */
  drainMs: z.number().int().min(0).max(86_400_000).default(600_000),
});

/** All settings of one VM. */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({ id, region: id, failureDomain: id }),
  listen: z.strictObject({ callers: address, peers: address }),
  /** What others are told, where it differs from `listen`. */
  advertise: z.strictObject({
    callerUrl: z.url().optional(),
    peerAddress: z.string().optional(),
  }).default({}),
  platform: z.strictObject({
    storeUrls: z.array(z.url()).min(1),
    weightsUrl: z.url().optional(),
    directoryUrl: z.url().optional(),
    vmListUrl: z.url().optional(),
  }),
  peers: z.strictObject({
    /** `host:port` of VMs to ask first; the platform's list adds to them. */
    seeds: z.array(z.string()).max(64).default([]),
    credential: secret,
    /** Another credential that others may show, so that it can be changed VM by VM; see docs/operations/keys.md. */
    alsoAccepted: secret.optional(),
  }),
  operators: z.strictObject({
    tokenDigests: z.array(digest).max(64).default([]),
  }).prefault({}),
  limits: limitSettings.prefault({}),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug", "silent"]).default("info"),
  }).prefault({}),
  /** Only for tests: lets an operator cut and slow links between VMs. */
  testing: z.strictObject({ linkFaults: z.boolean().default(false) }).prefault(
    {},
  ),
});

/** Checked settings; see {@link settingsSchema}. */
export type Settings = z.infer<typeof settingsSchema>;
/** Checked limits; see {@link limitSettings}. */
export type LimitSettings = z.infer<typeof limitSettings>;

/** One thing wrong with the settings: the field, and what was found and is allowed. */
export interface SettingsProblem {
  readonly field: string;
  readonly message: string;
}

/** Checks settings that were already parsed from JSON. */
export function checkSettings(
  value: unknown,
): Result<Settings, readonly SettingsProblem[]> {
  const parsed = settingsSchema.safeParse(value, { reportInput: true });
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map((issue) => ({
    field: issue.path.join(".") || "(whole file)",
    message: issue.message + foundText(issue),
  })));
}

/** Fields whose values are never printed. */
const SECRET_FIELDS = new Set(["credential", "alsoAccepted"]);

function foundText(issue: z.core.$ZodIssue): string {
  const isSecret = SECRET_FIELDS.has(String(issue.path.at(-1)));
  if (!("input" in issue) || issue.input === undefined || isSecret) {
    return "";
  }
  if (typeof issue.input === "object") return "";
  return `; found ${JSON.stringify(issue.input)}`;
}

/** Reads and checks a settings file. */
export function readSettings(
  path: string,
): Result<Settings, readonly SettingsProblem[]> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    return err([{
      field: "(file)",
      message: `cannot read ${path}: ${(error as Error).message}`,
    }]);
  }
  try {
    return checkSettings(JSON.parse(text));
  } catch (error) {
    return err([{
      field: "(file)",
      message: `not JSON: ${(error as Error).message}`,
    }]);
  }
}

/** The secret that a setting names: `env:NAME`, `file:PATH`, or the text itself. */
export function readSecret(setting: string): string {
  if (setting.startsWith("env:")) {
    const value = process.env[setting.slice(4)];
    if (!value) {
      throw new Error(`environment variable ${setting.slice(4)} is not set`);
    }
    return value;
  }
  if (setting.startsWith("file:")) {
    return readFileSync(setting.slice(5), "utf8").trim();
  }
  return setting;
}
