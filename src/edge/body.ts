/**
 * Reads bodies within limits on size and time.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import { err, ok, type Result } from "neverthrow";
import { type Clock, type Failure, failure } from "../base/mod.ts";

/** Limits on the body of a caller's request. */
export interface BodyLimits {
  readonly bodyBytes: number;
  readonly bodyWaitMs: number;
}

/**
 * Reads the whole body of a caller's request. A caller that sends its body too slowly would hold memory and a
 * connection indefinitely, so the read fails after `bodyWaitMs`; and at once when `signal` aborts.
 */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
  signal?: AbortSignal,
): Promise<Result<Buffer, Failure>> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > limits.bodyBytes) {
    return Promise.resolve(createTooLargeError(limits));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = clock.after(
      limits.bodyWaitMs,
      () => settle(err(failure("bodyTimeout"))),
    );
    const settle = (result: Result<Buffer, Failure>) => {
      timer.close();
      request.removeAllListeners("data");
      resolve(result);
    };
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limits.bodyBytes) {
        return settle(createTooLargeError(limits));
      }
      chunks.push(chunk);
    });
    request.once("end", () => settle(ok(Buffer.concat(chunks))));
    const cancel = () => settle(err(failure("canceled", { ran: "no" })));
    request.once("close", cancel);
    request.once("error", cancel);
    signal?.addEventListener("abort", cancel, { once: true });
  });
}

function createTooLargeError(limits: BodyLimits): Result<never, Failure> {
  return err(
    failure("bodyTooLarge", {
      message: `the body exceeds ${limits.bodyBytes} bytes`,
    }),
  );
}

/** Maximum length of an upstream's answer that is buffered whole instead of streamed. */
const MAX_ANSWER_BYTES = 32 << 20;

/**
 * Reads the whole body of an upstream's answer; `undefined` if the connection broke or the body is too long to buffer.
 */
export async function readAnswerBody(
  body: Readable,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of body) {
      sizeBytes += (chunk as Buffer).length;
      if (sizeBytes > MAX_ANSWER_BYTES) return undefined;
      chunks.push(chunk as Buffer);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}

/** Waits until a body begins or ends in order; `false` if it breaks off before. */
export function hasBegun(body: Readable): Promise<boolean> {
  return new Promise((resolve) => {
    body.once("readable", () => resolve(body.errored === null));
    body.once("error", () => resolve(false));
    body.once("close", () => resolve(body.errored === null));
  });
}
