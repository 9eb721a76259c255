/**
 * The gateway's daemon on the users' platform: its settings, its signals and its end.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import type { Log } from "../kernel/mod.ts";
import { SETTINGS_VARIABLE } from "../platform/mod.ts";
import { Gateway } from "./gateway.ts";
import { LineLog, openStandardOutput } from "./line_log.ts";
import { parseGatewaySettings, type SettingsProblem } from "./settings.ts";
import { onHangup, onStop } from "./signals.ts";

const USAGE_EXIT_CODE = 2;
const SETTINGS_CHECK_MS = 1_000;

function failWith(lines: readonly string[]): never {
  for (const line of lines) {
    process.stderr.write(`ibisgap-gateway: ${line}\n`);
  }
  process.exit(USAGE_EXIT_CODE);
}

function settingsPath(): string {
  const path = process.argv[2] ?? process.env[SETTINGS_VARIABLE];
  if (!path) failWith([`pass a settings file, or set ${SETTINGS_VARIABLE}`]);
  return path;
}

function formatProblems(
  path: string,
  problems: readonly SettingsProblem[],
): string[] {
  return problems.map(({ field, message }) => `${path}: ${field}: ${message}`);
}

function readText(path: string): Result<string, SettingsProblem[]> {
  try {
    return ok(readFileSync(path, "utf8"));
  } catch (error) {
    return err([{ field: "(file)", message: (error as Error).message }]);
  }
}

/**
 * Checks the settings file every second, as it may change without a signal, and applies valid changes. Returns the
 * check.
 */
function watchSettings(
  path: string,
  firstText: string,
  gateway: Gateway,
  log: Log,
): () => void {
  let lastText = firstText;
  const checkFile = () => {
    const text = readText(path);
    if (text.isErr() || text.value === lastText) return;
    lastText = text.value;
    const settings = parseGatewaySettings(text.value);
    if (settings.isOk()) gateway.reload(settings.value);
    else {log.error("settings refused", {
        reason: formatProblems(path, settings.error).join("; "),
      });}
  };
  setInterval(checkFile, SETTINGS_CHECK_MS).unref();
  onHangup(checkFile);
  return checkFile;
}

async function stop(gateway: Gateway, signalMonoMs: number): Promise<never> {
  await gateway.drain(signalMonoMs);
  process.exit(0);
}

/** Logs an exception that nobody catches, and which ends the process. Node's own text goes to standard error alone. */
function logExceptions(log: LineLog): void {
  process.on("uncaughtExceptionMonitor", (error: unknown, origin) => {
    const reason = error instanceof Error ? error.stack : String(error);
    log.logEnd("process ends", { origin, reason });
  });
}

/** Runs until a planned stop, which ends with exit code 0. */
export async function runDaemon(): Promise<void> {
  const path = settingsPath();
  const text = readText(path);
  const parsed = text.andThen(parseGatewaySettings);
  if (parsed.isErr()) failWith(formatProblems(path, parsed.error));
  const settings = parsed.value;
  const { id, region, failureDomain, ip } = settings.vm;
  const log = new LineLog(openStandardOutput(), { vm: id }, Date.now);
  logExceptions(log);
  const { pid, version, execArgv } = process;
  log.info("starting", {
    region,
    failureDomain,
    ip,
    pid,
    node: version,
    nodeOptions: execArgv.join(" "),
  });
  const gateway = await Gateway.open(settings, log);
  log.info("started", { tookMs: Math.round(performance.now()) });
  const checkSettings = watchSettings(
    path,
    text._unsafeUnwrap(),
    gateway,
    log,
  );
  onStop((signalMonoMs) => {
    // They say how long the stop may take, and a SIGHUP that was sent before may arrive after this signal.
    checkSettings();
    void stop(gateway, signalMonoMs);
  });
}
