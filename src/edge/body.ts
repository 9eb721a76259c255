/**
 * Reads bodies within limits on size and time.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import { err, ok, type Result } from "neverthrow";
import {
  ByteCollector,
  type Clock,
  type Failure,
  failure,
} from "../base/mod.ts";

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
    const body = new ByteCollector(limits.bodyBytes);
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
      if (body.append(chunk) === "taken") return;
      body.close();
      settle(createTooLargeError(limits));
    });
    request.once("end", () => settle(ok(body.take())));
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
  const collector = new ByteCollector(MAX_ANSWER_BYTES);
  try {
    for await (const chunk of body) {
      if (collector.append(chunk as Buffer) !== "taken") return undefined;
    }
  } catch {
    return undefined;
  }
  return collector.take();
}

/** Waits until a body begins or ends in order; `false` if it breaks off before. */
export function hasBegun(body: Readable): Promise<boolean> {
  return new Promise((resolve) => {
    body.once("readable", () => resolve(body.errored === null));
    body.once("error", () => resolve(false));
    body.once("close", () => resolve(body.errored === null));
  });
}
