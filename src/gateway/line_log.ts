/**
 * Logs that never block: key=value lines to standard output, bounded in rate and in bytes waiting.
 *
 * @module
 */

import { Socket } from "node:net";
import { hash32 } from "../base/mod.ts";
import { type Log, quote } from "../kernel/mod.ts";

/** Where lines go. `write` must not block; `waitingBytes` is what the reader has not taken yet. */
export interface LineSink {
  write(line: string): void;
  waitingBytes(): number;
}

/** Standard output as a socket: a pipe's reader that stalls leaves bytes waiting here and blocks nothing. */
export function openStandardOutput(): LineSink {
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
const MAX_WAITING_BYTES = 256 * 1024;
/** Lines a second of plain good outcomes; a VM's busiest second has some 400 requests, and a line costs some 20 µs. */
const MAX_OUTCOMES_PER_S = 300;
/** Lines a second on what the VM believes: a region of 100 upstreams that all change at once is told in a second. */
const MAX_STATE_LINES_PER_S = 200;
/** Warnings and errors have a budget of their own, so that good outcomes cannot crowd them out. */
const MAX_PROBLEMS_PER_S = 600;
/** The share that is kept aims below the budget: beyond it the order of lines would decide, which differs by VM. */
const TARGET_SHARE = 0.85;
const HASH_RANGE = 2 ** 32;
const SECOND_MS = 1_000;

/** What competes for the same budget: good outcomes of requests, other ordinary lines, warnings and errors. */
type LineKind = "outcome" | "belief" | "problem";

const BUDGETS: Readonly<Record<LineKind, number>> = {
  outcome: MAX_OUTCOMES_PER_S,
  belief: MAX_STATE_LINES_PER_S,
  problem: MAX_PROBLEMS_PER_S,
};

function kindOf(level: string, fields: Record<string, unknown>): LineKind {
  if (level !== "info") return "problem";
  return fields.attempt === undefined ? "belief" : "outcome";
}

/**
 * See the module. Good outcomes beyond their budget are sampled by the hash of the attempt's id, so that every VM that
 * had a part in a request keeps or drops it alike. What is left out is counted, and told with the next line that gets
 * through.
 */
export class LineLog implements Log {
  readonly #sink: LineSink;
  readonly #prefix: string;
  readonly #nowMs: () => number;
  #secondStartMs = -Infinity;
  #seen: Record<LineKind, number> = { outcome: 0, belief: 0, problem: 0 };
  #written: Record<LineKind, number> = { outcome: 0, belief: 0, problem: 0 };
  /** Share of the good outcomes that is kept, from the second before. */
  #keptShare = 1;
  #droppedLines = 0;

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
    if (!this.#tryTakeBudget(kindOf(level, fields), fields.attempt)) {
      this.#droppedLines++;
      return;
    }
    let line = `time=${
      new Date(this.#nowMs()).toISOString()
    } level=${level} event=${quote(event)}${this.#prefix}`;
    if (this.#droppedLines > 0) {
      line += ` linesLeftOut=${this.#droppedLines}`;
      this.#droppedLines = 0;
    }
    for (const key in fields) {
      if (fields[key] !== undefined) line += ` ${key}=${quote(fields[key])}`;
    }
    this.#sink.write(line + "\n");
  }

  #tryTakeBudget(kind: LineKind, attempt: unknown): boolean {
    const nowMs = this.#nowMs();
    if (
      nowMs - this.#secondStartMs >= SECOND_MS || nowMs < this.#secondStartMs
    ) this.#startSecond(nowMs);
    this.#seen[kind]++;
    if (this.#sink.waitingBytes() > MAX_WAITING_BYTES) return false;
    if (
      kind === "outcome" &&
      hash32(String(attempt)) >= this.#keptShare * HASH_RANGE
    ) return false;
    return this.#written[kind]++ < BUDGETS[kind];
  }

  #startSecond(nowMs: number): void {
    this.#secondStartMs = nowMs;
    this.#keptShare = Math.min(
      1,
      TARGET_SHARE * MAX_OUTCOMES_PER_S / Math.max(1, this.#seen.outcome),
    );
    this.#seen = { outcome: 0, belief: 0, problem: 0 };
    this.#written = { outcome: 0, belief: 0, problem: 0 };
  }
}
