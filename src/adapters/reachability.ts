/**
 * Probes whether an upstream accepts TCP connections.
 *
 * @module
 */

import { connect } from "node:net";
import type { Clock } from "../base/mod.ts";

/**
 * Inside a region a connection takes a few ms, even to a busy upstream, because the operating system accepts it and not
 * the program.
 */
const CONNECT_TIMEOUT_MS = 250;

/** How an upstream's address reacts to a new connection. */
export type Reachability =
  /**
   * The connection was accepted, so the program runs. A program with too many connections resets a new one after
   * accepting it, and also counts as running.
   */
  | "open"
  /** The connection was refused: the machine is up and the program has ended. */
  | "refused"
  /** There was no reaction: the machine or its link is down, and the state of the program is unknown. */
  | "dark";

/** Opens a TCP connection to an address, closes it, and returns how the address reacted. */
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

/** Whether no program accepts connections at an address now. */
export async function isUnreachable(
  host: string,
  port: number,
  clock: Clock,
): Promise<boolean> {
  return await probeAddress(host, port, clock) !== "open";
}
