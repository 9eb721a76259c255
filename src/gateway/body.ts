/**
 * Reads a request's body whole, within limits, so that it can be sent again elsewhere.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

/** Why there is no body. */
export type BodyError = "tooLarge" | "noMemory" | "broken";

/** Bytes of bodies held at once by this process. */
export class BodyMemory {
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  tryReserve(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maxBytes) return false;
    this.#bytes += bytes;
    return true;
  }

  release(bytes: number): void {
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
  maxBytes: number,
  memory: BodyMemory,
  onClosed: (run: () => void) => void,
): Promise<Result<Buffer, BodyError>> {
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    return Promise.resolve(err("tooLarge"));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isOver = false;
    const stop = (error: BodyError) => {
      if (isOver) return;
      isOver = true;
      memory.release(bytes);
      request.removeAllListeners("data");
      request.resume();
      resolve(err(error));
    };
    request.on("data", (chunk: Buffer) => {
      if (bytes + chunk.length > maxBytes) return stop("tooLarge");
      if (!memory.tryReserve(chunk.length)) return stop("noMemory");
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
