/**
 * Reads the body of an HTTP message as text.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/** Longest body that is read, in bytes: a score of the largest values that the store takes. */
export const MAX_TEXT_BYTES = 33_554_432;

/**
 * Reads the whole body as UTF-8 text. The promise rejects if the body ends early, or has ended so before, and if it is
 * longer than {@link MAX_TEXT_BYTES}; its connection is closed then, as its sender may go on without end. An answer that
 * has neither a length nor chunks may be short all the same: its reader has to tell that from the text.
 * `onBytes` is called with the size of each part that arrives.
 */
export function readText(
  message: IncomingMessage,
  onBytes: (bytes: number) => void = () => {},
): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_TEXT_BYTES) {
        chunks.length = 0;
        reject(new Error("the message is too long"));
        message.destroy();
        return;
      }
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
