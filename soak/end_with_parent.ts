/**
 * Ends a process of the soak when the process that started it is gone, however that ended.
 *
 * @module
 */

import { spawn } from "node:child_process";

const PARENT_PID_VARIABLE = "SOAK_PARENT_PID";
const CHECK_INTERVAL_MS = 250;
const ORPHAN_EXIT_CODE = 1;

/** Returns the environment variables with which a child calls {@link endWithParent}. */
export function parentVariables(): Record<string, string> {
  return { [PARENT_PID_VARIABLE]: String(process.pid) };
}

/** Ends this process when its parent is gone. It does not keep the process alive; without a known parent it does nothing. */
export function endWithParent(): void {
  const parentPid = Number(process.env[PARENT_PID_VARIABLE] ?? 0);
  if (parentPid === 0) return;
  setInterval(() => {
    if (process.ppid !== parentPid) process.exit(ORPHAN_EXIT_CODE);
  }, CHECK_INTERVAL_MS).unref();
}

/**
 * Resumes a paused process when this one is gone, as a paused process cannot notice that. Returns a function that ends
 * the guard.
 */
export function guardPaused(pid: number): () => void {
  // The guard reads a line, and gets the end of its input instead if this process ends.
  const guard = spawn("sh", ["-c", `read -r _ || kill -CONT ${pid}`], {
    stdio: ["pipe", "ignore", "ignore"],
    detached: true,
  });
  guard.stdin.on("error", () => {});
  return () => void guard.stdin.end("\n");
}
