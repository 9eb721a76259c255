#!/usr/bin/env node
/**
 * The `ibisgap` command, the tool for operators.
 *
 * @module
 */

import { defineCommand, runMain } from "citty";
import { check } from "./check.ts";
import { clearSuspect } from "./clear_suspect.ts";
import { explain } from "./explain.ts";
import { gatewayDump } from "./gateway_dump.ts";
import { replayCommand } from "./replay.ts";
import { table } from "./table.ts";
import { traceCommand } from "./trace.ts";
import { drain, dump, metrics, status } from "./vm.ts";

const main = defineCommand({
  meta: {
    name: "ibisgap",
    version: "0.1.0",
    description: "Operate an ibisgap gateway",
  },
  subCommands: {
    table,
    status,
    dump,
    metrics,
    drain,
    check,
    explain,
    "vm-dump": gatewayDump,
    "vm-clear": clearSuspect,
    replay: replayCommand,
    trace: traceCommand,
  },
});

await runMain(main);
