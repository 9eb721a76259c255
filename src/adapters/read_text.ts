/**
 * Reads the body of an HTTP message as text.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import { ByteBudget, ByteCollector, hasFewValues } from "../base/mod.ts";

/**
 * Longest body that is read, in bytes: ten of the largest values that the store takes, as it may list several at once. Its
 * text lies in the heap, with two bytes for each of these if it is no ASCII.
 */
export const MAX_TEXT_BYTES = 16_777_216;
/** Longest answer of an upstream to a question of the gateway's own, in bytes; other software there answers a page. */
export const MAX_UPSTREAM_TEXT_BYTES = 1_048_576;
/**
 * Most values of a text that is JSON. Entries of the store have their values as strings, so that this allows for some ten
 * thousands of entries.
 */
const MAX_VALUES = 131_072;
/** Bounds the answers of the store and of other VMs that are being read; each is over after its call's timeout. */
export const answerTexts: ByteBudget = new ByteBudget(2 * MAX_TEXT_BYTES);
/** Bounds the answers of upstreams that are being read, apart: upstreams must not take the memory for the store's. */
export const upstreamTexts: ByteBudget = new ByteBudget(
  32 * MAX_UPSTREAM_TEXT_BYTES,
);

/** Why a body is given up. */
const REFUSALS = {
  tooLarge: "the message is too long",
  noMemory: "there is no memory for the message",
} as const;

/** A body that has arrived whole, and isn't parsed as it has too many values. */
export class TooManyValuesError extends Error {
  constructor() {
    super("the message has too many values");
  }
}

/** Reads a whole stream as UTF-8 text. The promise rejects if the stream fails or is longer than `maxBytes`. */
export async function readStreamText(
  stream: Readable,
  maxBytes: number,
): Promise<string> {
  const body = new ByteCollector(maxBytes);
  for await (const chunk of stream) {
    if (body.append(chunk as Buffer) !== "taken") {
      throw new Error(REFUSALS.tooLarge);
    }
  }
  return body.take().toString("utf8");
}

/** How a body is read. */
export interface TextOptions {
  /** Longest body that is read, if that is less than {@link MAX_TEXT_BYTES}. */
  readonly maxBytes?: number;
  /** Memory for the body while it arrives; {@link answerTexts} if absent. */
  readonly budget?: ByteBudget;
  /** Called with the size of each part that arrives. */
  readonly onBytes?: (bytes: number) => void;
}

/** Reads the whole body as UTF-8 text; see {@link readParsed}. */
export function readText(
  message: IncomingMessage,
  options?: TextOptions,
): Promise<string> {
  return readParsed(message, (text) => text, options);
}

/**
 * Reads the whole body as UTF-8 text and parses it, while its memory is still reserved. A text that would be too many
 * values if it were JSON isn't parsed. The promise rejects if the body ends early, or has ended so before, and if it
 * exceeds its bound or the budget; its connection is closed then, as its sender may go on without end. An answer that
 * has neither a length nor chunks may be short all the same: its reader has to tell that from the text.
 */
export function readParsed<T>(
  message: IncomingMessage,
  parse: (text: string) => T,
  { maxBytes = MAX_TEXT_BYTES, budget = answerTexts, onBytes }: TextOptions =
    {},
): Promise<T> {
  const body = new ByteCollector(maxBytes, budget);
  return new Promise<T>((resolve, reject) => {
    message.on("data", (chunk: Buffer) => {
      const result = body.append(chunk);
      if (result === "taken") return onBytes?.(chunk.length);
      reject(new Error(REFUSALS[result]));
      message.removeAllListeners("data");
      message.destroy();
    });
    message.on("end", () => {
      try {
        resolve(parse(decodeText(body.held)));
      } catch (error) {
        reject(error);
      }
    });
    message.on("error", reject);
    const breakOff = () => reject(new Error("the message broke off"));
    message.on("close", breakOff);
    // A message that broke off before emits nothing any more.
    if (message.destroyed && !message.readableEnded) breakOff();
  }).finally(() => body.close());
}

function decodeText(body: Buffer): string {
  if (!hasFewValues(body, MAX_VALUES)) throw new TooManyValuesError();
  return body.toString("utf8");
}
