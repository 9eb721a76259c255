/**
 * `ibisgap check`: checks a settings file before a VM is started with it.
 *
 * @module
 */

import { defineCommand } from "citty";
import { readSettings } from "../daemon/settings.ts";
import { exitCodes, print } from "./client.ts";

/** The command `ibisgap check FILE`. */
export const check = defineCommand({
  meta: { name: "check", description: "Check a settings file" },
  args: {
    file: {
      type: "positional",
      description: "the settings file",
      required: true,
    },
    json: { type: "boolean", description: "print JSON", default: false },
  },
  run({ args }) {
    const settings = readSettings(args.file);
    const problems = settings.isErr() ? settings.error : [];
    if (args.json) {
      print(JSON.stringify({ ok: problems.length === 0, problems }));
    } else if (problems.length === 0) print(`${args.file}: ok`);
    else {for (const problem of problems) {
        print(`${args.file}: ${problem.field}: ${problem.message}`);
      }}
    if (problems.length > 0) process.exitCode = exitCodes.failed;
  },
});
