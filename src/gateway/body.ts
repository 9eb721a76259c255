/**
 * Reads a request's whole body, within limits, so that the request can be sent again elsewhere.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import {
  type AppendResult,
  type ByteBudget,
  ByteCollector,
} from "../base/mod.ts";

/** Why a body could not be read. */
export type BodyError = Exclude<AppendResult, "taken"> | "broken";

/**
 * Reads the body. The caller of this function closes the result when the request ends. `onClosed` registers what to do
 * when the answer is over: a client that was answered before it had sent its body sends no more of it, and Node reports
 * that on the response alone.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  budget: ByteBudget,
  onClosed: (run: () => void) => void,
): Promise<Result<ByteCollector, BodyError>> {
  const declaredBytes = Number(request.headers["content-length"] ?? maxBytes);
  if (declaredBytes > maxBytes) return Promise.resolve(err("tooLarge"));
  const body = new ByteCollector(declaredBytes, budget);
  return new Promise((resolve) => {
    let isOver = false;
    const stop = (error: BodyError) => {
      if (isOver) return;
      isOver = true;
      body.close();
      request.removeAllListeners("data");
      request.resume();
      resolve(err(error));
    };
    request.on("data", (chunk: Buffer) => {
      const result = body.append(chunk);
      if (result !== "taken") stop(result);
    });
    request.on("end", () => {
      if (isOver) return;
      isOver = true;
      resolve(ok(body));
    });
    request.on("error", () => stop("broken"));
    request.on("close", () => {
      if (!request.complete) stop("broken");
    });
    onClosed(() => stop("broken"));
  });
}
