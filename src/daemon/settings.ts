/**
 * The daemon's settings: one JSON file, which is checked field by field. The published JSON Schema is generated from
 * the definitions in this module.
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
/** A secret, given as `env:NAME`, `file:PATH` or the text itself. */
const secret = z.string().min(8);
const digest = z.string().regex(
  /^[0-9a-f]{64}$/,
  "must be 64 hex digits (SHA-256)",
);

/** Limits of the edge, which serves callers. */
export const limitSettings = z.strictObject({
  bodyBytes: z.number().int().min(1024).max(256 << 20).default(8 << 20),
  headerBytes: z.number().int().min(1024).max(1 << 20).default(16 << 10),
  /** The body must arrive within this time after the headers. */
  bodyWaitMs: z.number().int().min(10).max(600_000).default(30_000),
  /** A caller that reads nothing of its answer for this long is disconnected. */
  stalledCallerMs: z.number().int().min(10).max(600_000).default(30_000),
  /** An answer is abandoned if the upstream sends nothing for this long in the middle of it. */
  upstreamStallMs: z.number().int().min(10).max(600_000).default(15_000),
  /** Maximum number of open requests at this VM; further requests are refused at once. */
  openRequests: z.number().int().min(1).max(1_000_000).default(10_000),
  /** Maximum number of attempts for one request, including the first. */
  attempts: z.number().int().min(1).max(10).default(3),
  /** How long a planned stop waits for open requests. */
  drainMs: z.number().int().min(0).max(86_400_000).default(600_000),
});

/** All settings of one VM. */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({ id, region: id, failureDomain: id }),
  listen: z.strictObject({ callers: address, peers: address }),
  /** The addresses that are announced to others, where they differ from `listen`. */
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
    /** `host:port` of the VMs to contact first, in addition to those on the platform's VM list. */
    seeds: z.array(z.string()).max(64).default([]),
    credential: secret,
    /**
     * A second credential that other VMs may present, so that the credential can be changed VM by VM; see
     * docs/operations/keys.md.
     */
    alsoAccepted: secret.optional(),
  }),
  operators: z.strictObject({
    tokenDigests: z.array(digest).max(64).default([]),
  }).prefault({}),
  limits: limitSettings.prefault({}),
  log: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug", "silent"]).default("info"),
  }).prefault({}),
  /** Only for tests: allows an operator to cut and slow down links between VMs. */
  testing: z.strictObject({ linkFaults: z.boolean().default(false) }).prefault(
    {},
  ),
});

/** Settings that were checked by {@link settingsSchema}. */
export type Settings = z.infer<typeof settingsSchema>;
/** Limits that were checked by {@link limitSettings}. */
export type LimitSettings = z.infer<typeof limitSettings>;

/** One error in the settings: the field, what is allowed and the value that was found. */
export interface SettingsProblem {
  readonly field: string;
  readonly message: string;
}

/** Checks settings that are already parsed from JSON. */
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

/** The fields whose values are never printed. */
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

/** Returns the secret that a setting gives as `env:NAME`, `file:PATH` or the text itself. */
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
