/**
 * Reads the body of an HTTP message as text.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Reads the whole body as UTF-8 text. The promise rejects if the body ends early. */
export function readText(message: IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    message.on("data", (chunk: Buffer) => chunks.push(chunk));
    message.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    message.on("error", reject);
  });
}
