/**
 * Reads an HTTP message's body as text.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** The whole body as UTF-8; rejects if it breaks off. */
export function readText(message: IncomingMessage): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    message.on("data", (chunk: Buffer) => chunks.push(chunk));
    message.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    message.on("error", reject);
  });
}
