/**
 * `ibisgap explain`: explains the outcome of one request, or counts the outcomes of all, from the logs of the VMs.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { defineCommand } from "citty";
import {
  explainRequest,
  explanationText,
  type Grouping,
  GROUPINGS,
  type ParsedLine,
  parseLine,
  summarize,
  summaryText,
} from "../explain/mod.ts";
import { exitCodes, print } from "./client.ts";

const STANDARD_INPUT = 0;

function readLines(files: readonly string[]): ParsedLine[] {
  const texts = files.length > 0
    ? files.map((file) => readFileSync(file, "utf8"))
    : [readFileSync(STANDARD_INPUT, "utf8")];
  return texts.flatMap((text) => text.split("\n")).map(parseLine)
    .filter((line) => line !== undefined);
}

/** The command `ibisgap explain ID FILE...`, or `ibisgap explain --summary FILE...`. */
export const explain = defineCommand({
  meta: {
    name: "explain",
    description:
      "Tell a request's story and cause from logs (files, or standard input)",
  },
  args: {
    attempt: {
      type: "positional",
      description: "the attempt's id (with --summary: a file)",
      required: false,
    },
    summary: {
      type: "boolean",
      description:
        "count all requests by route and by why they were late or lost",
      default: false,
    },
    by: {
      type: "enum",
      options: [...GROUPINGS],
      description: "with --summary: what to count by",
      default: "route",
    },
    json: { type: "boolean", description: "print JSON", default: false },
  },
  run({ args }) {
    if (args.summary) {
      const grouping = args.by as Grouping;
      const counts = summarize(readLines(args._), grouping);
      const text = args.json
        ? JSON.stringify(counts)
        : summaryText(counts, grouping);
      return print(text);
    }
    if (args.attempt === undefined) {
      process.stderr.write("ibisgap: name a request, or ask for --summary\n");
      process.exitCode = exitCodes.usage;
      return;
    }
    const lines = readLines(args._.slice(1));
    const explanation = explainRequest(args.attempt, lines);
    if (!explanation) {
      process.stderr.write(
        `ibisgap: no line names the request ${args.attempt}\n`,
      );
      process.exitCode = exitCodes.failed;
      return;
    }
    print(
      args.json ? JSON.stringify(explanation) : explanationText(explanation),
    );
  },
});
