/**
 * Plays each seed in a process of its own, so that an error that nothing catches ends that seed only.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { sleep } from "../test/cluster.ts";
import { parentVariables } from "./end_with_parent.ts";
import type { RunOptions } from "./run.ts";

/** Settings of a seed's process. */
export interface SeedOptions extends Omit<RunOptions, "changeEvidence"> {
  /** Whether a second run of one request is planted into the evidence. */
  readonly plant: boolean;
}

/** How a seed ended: it kept or broke the promises, or could not be played to its end. */
export type SeedOutcome = "kept" | "broken" | "failed";

/** Exit codes of a seed's process; any other one means that it failed without a report. */
export const SEED_EXIT_CODES = { kept: 0, broken: 10, failed: 11 } as const;

const SCRIPT = fileURLToPath(new URL("./seed_main.js", import.meta.url));
/** Time in which the gateways of a failed seed notice its end; the next seed may get their addresses. */
const LEFTOVER_MS = 2_000;

/** Plays one seed; its process prints the result. */
export async function playSeed(options: SeedOptions): Promise<SeedOutcome> {
  const child = spawn(process.execPath, [SCRIPT, JSON.stringify(options)], {
    stdio: ["ignore", "inherit", "inherit"],
    env: { ...process.env, ...parentVariables() },
  });
  const [code, signal] = await once(child, "exit");
  if (code === SEED_EXIT_CODES.kept) return "kept";
  if (code === SEED_EXIT_CODES.broken) return "broken";
  if (code !== SEED_EXIT_CODES.failed) {
    process.stdout.write(
      `seed=${options.seed} FAILED its process ended with ${signal ?? code}\n`,
    );
  }
  await sleep(LEFTOVER_MS);
  return "failed";
}
