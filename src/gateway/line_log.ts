/**
 * Logs that never block: key=value lines to standard output, bounded in rate and in bytes waiting.
 *
 * @module
 */

import { Socket } from "node:net";
import { type Log, quote } from "../kernel/mod.ts";

/** Where lines go. `write` must not block; `waitingBytes` is what the reader has not taken yet. */
export interface LineSink {
  write(line: string): void;
  waitingBytes(): number;
}

/** Standard output as a socket: a pipe's reader that stalls leaves bytes waiting here and blocks nothing. */
export function standardOutput(): LineSink {
  let stream: { write(text: string): unknown; readonly writableLength: number };
  try {
    const socket = new Socket({ fd: 1, readable: false, writable: true });
    // A reader that went away must not end the process.
    socket.on("error", () => {});
    socket.unref();
    stream = socket;
  } catch {
    // A file or a device; these do not stall.
    stream = process.stdout;
  }
  return {
    write: (line) => void stream.write(line),
    waitingBytes: () => stream.writableLength,
  };
}

/** Bytes that may wait for a reader; some 1,000 lines. */
const MOST_WAITING_BYTES = 256 * 1024;
/** Lines a second of ordinary outcomes; a VM's busiest second has some 400 requests, and a line costs some 20 µs. */
const MOST_LINES_PER_S = 300;
/** Warnings and errors have a budget of their own, so that good outcomes cannot crowd them out. */
const MOST_PROBLEMS_PER_S = 600;
const SECOND_MS = 1_000;

/** See the module. What is left out is counted, and told with the next line that gets through. */
export class LineLog implements Log {
  readonly #sink: LineSink;
  readonly #prefix: string;
  readonly #nowMs: () => number;
  #secondStartMs = -Infinity;
  #lines = 0;
  #problems = 0;
  #leftOut = 0;

  constructor(
    sink: LineSink,
    fields: Record<string, string>,
    nowMs: () => number,
  ) {
    this.#sink = sink;
    this.#prefix = Object.entries(fields).map(([key, value]) =>
      ` ${key}=${quote(value)}`
    ).join("");
    this.#nowMs = nowMs;
  }

  debug(_event: string, _fields?: Record<string, unknown>): void {}

  info(event: string, fields?: Record<string, unknown>): void {
    this.log("info", event, fields);
  }

  warn(event: string, fields?: Record<string, unknown>): void {
    this.log("warn", event, fields);
  }

  error(event: string, fields?: Record<string, unknown>): void {
    this.log("error", event, fields);
  }

  log(
    level: string,
    event: string,
    fields: Record<string, unknown> = {},
  ): void {
    if (!this.#takeBudget(level === "info")) {
      this.#leftOut++;
      return;
    }
    let line = `time=${
      new Date(this.#nowMs()).toISOString()
    } level=${level} event=${quote(event)}${this.#prefix}`;
    if (this.#leftOut > 0) {
      line += ` linesLeftOut=${this.#leftOut}`;
      this.#leftOut = 0;
    }
    for (const key in fields) {
      if (fields[key] !== undefined) line += ` ${key}=${quote(fields[key])}`;
    }
    this.#sink.write(line + "\n");
  }

  #takeBudget(ordinary: boolean): boolean {
    const nowMs = this.#nowMs();
    if (
      nowMs - this.#secondStartMs >= SECOND_MS || nowMs < this.#secondStartMs
    ) {
      this.#secondStartMs = nowMs;
      this.#lines = 0;
      this.#problems = 0;
    }
    if (this.#sink.waitingBytes() > MOST_WAITING_BYTES) return false;
    return ordinary
      ? this.#lines++ < MOST_LINES_PER_S
      : this.#problems++ < MOST_PROBLEMS_PER_S;
  }
}
