/**
 * Runs the operators' command-line tool.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

const IBISGAP_PATH = fileURLToPath(
  new URL("../src/cli/ibisgap.js", import.meta.url),
);

/** Runs the operators' command-line tool. */
export async function runIbisgap(
  ...args: string[]
): Promise<{ code: number; out: string; err: string }> {
  const child = spawn(process.execPath, [IBISGAP_PATH, ...args]);
  let out = "";
  let err = "";
  child.stdout.on("data", (chunk: Buffer) => void (out += chunk));
  child.stderr.on("data", (chunk: Buffer) => void (err += chunk));
  const code = await new Promise<number>((resolve) =>
    child.once("close", resolve)
  );
  return { code, out, err };
}
