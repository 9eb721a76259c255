#!/usr/bin/env node
/**
 * The `ibisgapd` command, which runs the daemon: `ibisgapd SETTINGS.json`, or `ibisgapd --embedded` to try it out.
 *
 * @module
 */

import { defineCommand, runMain } from "citty";
import { openDaemon } from "./daemon.ts";
import { EMBEDDED_KEY, EMBEDDED_TOKEN, openEmbedded } from "./embedded.ts";
import { readSettings } from "./settings.ts";

const DEFAULT_PORT = 7070;
const USAGE_EXIT_CODE = 2;

/** Runs until a planned stop (SIGTERM, SIGINT, `ibisgap drain`), after which the process exits with code 0. */
async function runUntilStopped(
  open: (stop: () => void) => Promise<{ close(): Promise<void> }>,
): Promise<void> {
  let isStopping = false;
  const opening = open(() => stop());
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    void opening.then((opened) => opened.close()).then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  await opening;
}

function printLine(text: string): void {
  process.stdout.write(text + "\n");
}

function exitWithErrors(lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`ibisgapd: ${line}\n`);
  process.exit(USAGE_EXIT_CODE);
}

async function startEmbedded(stop: () => void) {
  const port = Number(process.env.PORT ?? DEFAULT_PORT);
  if (!Number.isInteger(port) || port < 0 || port > 65_535) {
    exitWithErrors([`PORT must be 0 to 65535; found ${process.env.PORT}`]);
  }
  const opened = await openEmbedded(port, stop);
  const { url } = opened.daemon;
  printLine(`ready: ${url}`);
  printLine(
    `try: curl -N ${url}/v1/chat/completions -H 'authorization: Bearer ${EMBEDDED_KEY}' \\`,
  );
  printLine(
    `  -d '{"model":"demo","stream":true,"messages":[{"role":"user","content":"Which pass is open?"}]}'`,
  );
  printLine(
    `operate: IBISGAP_TOKEN=${EMBEDDED_TOKEN} npx ibisgap status --target ${url}`,
  );
  return opened;
}

async function startFromSettings(path: string, stop: () => void) {
  const settings = readSettings(path);
  if (settings.isErr()) {
    exitWithErrors(
      settings.error.map((problem) =>
        `${path}: ${problem.field}: ${problem.message}`
      ),
    );
  }
  const daemon = await openDaemon(settings.value, stop);
  printLine(`ready: ${daemon.url} peers: ${daemon.peerAddress}`);
  return daemon;
}

const main = defineCommand({
  meta: {
    name: "ibisgapd",
    version: "0.1.0",
    description: "Serve callers on this VM",
  },
  args: {
    settings: {
      type: "positional",
      description: "settings file (JSON)",
      required: false,
    },
    embedded: {
      type: "boolean",
      description: "one process with stand-ins, to try it; PORT sets the port",
    },
  },
  async run({ args }) {
    if (args.embedded === (args.settings !== undefined)) {
      exitWithErrors(["name a settings file, or give --embedded"]);
    }
    await runUntilStopped((stop) =>
      args.embedded
        ? startEmbedded(stop)
        : startFromSettings(args.settings!, stop)
    ).catch(
      (error: Error) => exitWithErrors([error.message]),
    );
  },
});

await runMain(main);
