/**
 * Reads the body of an HTTP message as text.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/**
 * Reads the whole body as UTF-8 text. The promise rejects if the body ends early, or has ended so before. An answer that
 * has neither a length nor chunks may be short all the same: its reader has to tell that from the text.
 * `onBytes` is called with the size of each part that arrives.
 */
export function readText(
  message: IncomingMessage,
  onBytes: (bytes: number) => void = () => {},
): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    message.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      onBytes(chunk.length);
    });
    message.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    message.on("error", reject);
    const breakOff = () => reject(new Error("the message broke off"));
    message.on("close", breakOff);
    // A message that broke off before emits nothing any more.
    if (message.destroyed && !message.readableEnded) breakOff();
  });
}
