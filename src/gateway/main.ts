/**
 * The gateway's daemon on the users' platform: one process on every VM.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { SETTINGS_VARIABLE } from "../platform/mod.ts";
import { Gateway } from "./gateway.ts";
import { LineLog, standardOutput } from "./line_log.ts";
import { type GatewaySettings, parseGatewaySettings } from "./settings.ts";

const USAGE_EXIT = 2;

function refuse(lines: readonly string[]): never {
  for (const line of lines) {
    process.stderr.write(`ibisgap-gateway: ${line}\n`);
  }
  process.exit(USAGE_EXIT);
}

function readSettings(): GatewaySettings {
  const path = process.argv[2] ?? process.env[SETTINGS_VARIABLE];
  if (!path) refuse([`name a settings file, or set ${SETTINGS_VARIABLE}`]);
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    refuse([(error as Error).message]);
  }
  const settings = parseGatewaySettings(text);
  if (settings.isErr()) {
    refuse(
      settings.error.map(({ field, message }) =>
        `${path}: ${field}: ${message}`
      ),
    );
  }
  return settings.value;
}

/** Serves until a planned stop, which ends with exit code 0. */
async function main(): Promise<void> {
  const settings = readSettings();
  const { id, region, failureDomain, ip } = settings.vm;
  const log = new LineLog(standardOutput(), { vm: id }, Date.now);
  log.info("starting", { region, failureDomain, ip });
  const gateway = await Gateway.open(settings, log);
  log.info("started", { tookMs: Math.round(performance.now()) });
  let stopping = false;
  const stop = async () => {
    if (stopping) return;
    stopping = true;
    await gateway.drain();
    process.exit(0);
  };
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
  process.on("SIGHUP", () => log.info("settings changed"));
}

await main();
