/**
 * Whether an upstream can be reached at all.
 *
 * @module
 */

import { connect } from "node:net";
import type { Clock } from "../base/mod.ts";

/** A connection inside a region takes a few ms, however busy the upstream is: the system takes it, not the program. */
const CONNECT_WAIT_MS = 250;

/**
 * Tries a connection. An upstream that has lost its power or its link takes none and says nothing, and one whose program
 * ended refuses it; one that only has too many connections resets it after taking it, and is not dark.
 */
export function isDark(
  host: string,
  port: number,
  clock: Clock,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const end = (dark: boolean) => {
      timer.close();
      socket.destroy();
      resolve(dark);
    };
    const timer = clock.after(CONNECT_WAIT_MS, () => end(true));
    socket.once("connect", () => end(false));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => end(error.code !== "ECONNRESET"),
    );
  });
}
