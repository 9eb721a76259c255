/**
 * Checks that a server-sent event stream does not stop inside an event. A service that crashes may close its connection
 * in order, so how the connection ended does not show that the stream is complete.
 *
 * @module
 */

import { Transform, type TransformCallback } from "node:stream";

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;

/** Follows the lines of an event stream; they end with LF, CRLF or CR. */
class EventLines {
  #hasOpenEvent = false;
  #hasOpenLine = false;
  #isComment = false;
  #wasCr = false;

  /** Whether a field has come since the last empty line. Comments belong to no event. */
  get isInsideEvent(): boolean {
    return this.#hasOpenEvent || (this.#hasOpenLine && !this.#isComment);
  }

  /** Takes the next bytes of the stream. */
  take(bytes: Buffer): void {
    for (const byte of bytes) {
      const isRestOfCrLf = byte === LF && this.#wasCr;
      this.#wasCr = byte === CR;
      if (isRestOfCrLf) continue;
      if (byte === LF || byte === CR) this.#endLine();
      else this.#continueLine(byte);
    }
  }

  #continueLine(byte: number): void {
    if (!this.#hasOpenLine) this.#isComment = byte === COLON;
    this.#hasOpenLine = true;
  }

  #endLine(): void {
    if (!this.#hasOpenLine) this.#hasOpenEvent = false;
    else if (!this.#isComment) this.#hasOpenEvent = true;
    this.#hasOpenLine = false;
  }
}

/** Passes an event stream on, and fails at its end if that is inside an event. */
export class EventEndCheck extends Transform {
  readonly #lines = new EventLines();

  override _transform(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: TransformCallback,
  ): void {
    this.#lines.take(chunk);
    callback(null, chunk);
  }

  override _flush(callback: TransformCallback): void {
    callback(
      this.#lines.isInsideEvent
        ? new Error("the stream ended inside an event")
        : null,
    );
  }
}

/** Whether an answer is an event stream that can be read as text. */
export function isEventStream(
  headers: Readonly<Record<string, string>>,
): boolean {
  return /^text\/event-stream\b/i.test(headers["content-type"] ?? "") &&
    headers["content-encoding"] === undefined;
}

/** Whether a whole event stream ends inside an event. */
export function endsInsideEvent(stream: Buffer): boolean {
  const lines = new EventLines();
  lines.take(stream);
  return lines.isInsideEvent;
}
