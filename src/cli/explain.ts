/**
 * `ibisgap explain`: what became of a request, from the logs of the VMs.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { defineCommand } from "citty";
import { parseLine, storyText, tellStory } from "../explain/mod.ts";
import { exitCodes, print } from "./client.ts";

const STANDARD_INPUT = 0;

/** `ibisgap explain ID FILE...` */
export const explain = defineCommand({
  meta: {
    name: "explain",
    description:
      "Tell a request's story and cause from logs (files, or standard input)",
  },
  args: {
    attempt: {
      type: "positional",
      description: "the attempt's id",
      required: true,
    },
    json: { type: "boolean", description: "print JSON", default: false },
  },
  run({ args }) {
    const files = args._.slice(1);
    const texts = files.length > 0
      ? files.map((file) => readFileSync(file, "utf8"))
      : [readFileSync(STANDARD_INPUT, "utf8")];
    const lines = texts.flatMap((text) => text.split("\n")).map(parseLine)
      .filter((line) => line !== undefined);
    const story = tellStory(args.attempt, lines);
    if (!story) {
      process.stderr.write(
        `ibisgap: no line names the request ${args.attempt}\n`,
      );
      process.exitCode = exitCodes.failed;
      return;
    }
    print(args.json ? JSON.stringify(story) : storyText(story));
  },
});
