/**
 * Passes an answer's bytes on as they arrive, with back-pressure.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Reply } from "./reply.ts";

/** Whether the answer came to its end. A broken one has broken the reply's connection too. */
export type Passed = "whole" | "broken";

/** Whether the answer says itself where it ends; otherwise it ends with its connection. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Tells a reset connection from one that was closed in order. Node shows a reset that follows its last bytes closely as
 * an ordinary end, and an answer without a length would pass for whole. The kernel no longer knows the peer of a reset
 * connection, and still knows that of a closed one; `remoteAddress` asks it the first time it is read.
 */
function watchReset(socket: Socket, onReset: () => void): void {
  socket.once("error", onReset);
  socket.prependOnceListener("end", () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}

/** Passes the body on; `onFirst` is called before its first bytes. */
export function passOn(
  answer: IncomingMessage,
  reply: Reply,
  onFirst: () => void,
): Promise<Passed> {
  return new Promise((resolve) => {
    let first = true;
    let over = false;
    const finish = (passed: Passed) => {
      if (over) return;
      over = true;
      if (passed === "whole") reply.end();
      else reply.breakOff();
      resolve(passed);
    };
    answer.on("data", (chunk: Buffer) => {
      if (over) return;
      if (first) onFirst();
      first = false;
      if (reply.write(chunk)) return;
      answer.pause();
      reply.onDrain(() => answer.resume());
    });
    if (!isFramed(answer)) watchReset(answer.socket, () => finish("broken"));
    // An answer that was cut also ends; only `complete` tells that its last byte was there.
    answer.on("end", () => finish(answer.complete ? "whole" : "broken"));
    answer.on("error", () => finish("broken"));
    answer.on("close", () => finish(answer.complete ? "whole" : "broken"));
  });
}
