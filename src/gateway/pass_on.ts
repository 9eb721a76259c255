/**
 * Passes an answer's bytes on as they arrive, with back-pressure.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Reply } from "./reply.ts";

/** Whether the answer came to its end. A broken one has broken the reply's connection too. */
export type Passed = "whole" | "broken";

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
    // For an answer without a length Node takes a reset for its end: the caller would get a part as if it were whole. The
    // connection's own error comes before that end.
    answer.socket.once("error", () => finish("broken"));
    // An answer that was cut also ends; only `complete` tells that its last byte was there.
    answer.on("end", () => finish(answer.complete ? "whole" : "broken"));
    answer.on("error", () => finish("broken"));
    answer.on("close", () => finish(answer.complete ? "whole" : "broken"));
  });
}
