/**
 * Whether an upstream can be reached at all.
 *
 * @module
 */

import { connect } from "node:net";
import type { Clock } from "../base/mod.ts";

/** A connection inside a region takes a few ms, however busy the upstream is: the system takes it, not the program. */
const CONNECT_TIMEOUT_MS = 250;

/** What an upstream's address says to a new connection. */
export type Reachability =
  /** It takes it: the program runs. One that has too many connections resets it after taking it, and runs too. */
  | "open"
  /** It refuses it: the machine is there and the program has ended. */
  | "refused"
  /** It says nothing: the machine or its link is gone, and what became of the program can't be known. */
  | "dark";

/** Tries a connection. */
export function probeAddress(
  host: string,
  port: number,
  clock: Clock,
): Promise<Reachability> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (reach: Reachability) => {
      timer.close();
      socket.destroy();
      resolve(reach);
    };
    const timer = clock.after(CONNECT_TIMEOUT_MS, () => end("dark"));
    socket.once("connect", () => end("open"));
    socket.once("error", ({ code }: NodeJS.ErrnoException) => {
      if (code === "ECONNRESET") return end("open");
      end(code === "ECONNREFUSED" ? "refused" : "dark");
    });
  });
}

/** Whether nobody answers requests there now. */
export async function isUnreachable(
  host: string,
  port: number,
  clock: Clock,
): Promise<boolean> {
  return await probeAddress(host, port, clock) !== "open";
}
