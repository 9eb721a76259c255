/**
 * Reads a request's body whole, within limits, so that it can be sent again elsewhere.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

/** Why there is no body. */
export type BodyProblem = "tooLarge" | "noMemory" | "broken";

/** Bytes of bodies held at once by this process. */
export class BodyMemory {
  readonly #mostBytes: number;
  #bytes = 0;

  constructor(mostBytes: number) {
    this.#mostBytes = mostBytes;
  }

  tryTake(bytes: number): boolean {
    if (this.#bytes + bytes > this.#mostBytes) return false;
    this.#bytes += bytes;
    return true;
  }

  giveBack(bytes: number): void {
    this.#bytes -= bytes;
  }
}

/**
 * Reads the body; what it took of `memory` is given back by the caller when the request ends. `onClosed` registers what
 * to do when the answer is over: a caller that was answered before it had sent its body sends no more of it, and Node
 * tells that on the answer alone.
 */
export function readBody(
  request: IncomingMessage,
  mostBytes: number,
  memory: BodyMemory,
  onClosed: (run: () => void) => void,
): Promise<Result<Buffer, BodyProblem>> {
  if (Number(request.headers["content-length"] ?? 0) > mostBytes) {
    return Promise.resolve(err("tooLarge"));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isOver = false;
    const stop = (problem: BodyProblem) => {
      if (isOver) return;
      isOver = true;
      memory.giveBack(bytes);
      request.removeAllListeners("data");
      request.resume();
      resolve(err(problem));
    };
    request.on("data", (chunk: Buffer) => {
      if (bytes + chunk.length > mostBytes) return stop("tooLarge");
      if (!memory.tryTake(chunk.length)) return stop("noMemory");
      bytes += chunk.length;
      chunks.push(chunk);
    });
    request.on("end", () => {
      if (isOver) return;
      isOver = true;
      resolve(ok(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    });
    request.on("error", () => stop("broken"));
    request.on("close", () => {
      if (!request.complete) stop("broken");
    });
    onClosed(() => stop("broken"));
  });
}
