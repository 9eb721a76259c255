/**
 * `ibisgap trace`: generates the traces that are shipped with ibisgap.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { defineCommand } from "citty";
import { dayFactories, generateTrace, serializeTrace } from "../replay/mod.ts";

/** The command `ibisgap trace`; see docs/TRACE.md. */
export const traceCommand = defineCommand({
  meta: { name: "trace", description: "Makes a seeded trace of a user's day" },
  args: {
    day: {
      type: "positional",
      required: true,
      description: Object.keys(dayFactories).join(" or "),
    },
    seed: { type: "string", default: "1", description: "Seed of the arrivals" },
    out: {
      type: "string",
      description: "File to write; standard output if absent",
    },
  },
  run({ args }) {
    const day = dayFactories[args.day];
    if (!day) {
      console.error(
        `ibisgap trace: day is "${args.day}"; allowed: ${
          Object.keys(dayFactories)
        }`,
      );
      process.exitCode = 2;
      return;
    }
    const text = serializeTrace(generateTrace(day(), Number(args.seed)));
    if (args.out) writeFileSync(args.out, text);
    else process.stdout.write(text);
  },
});
