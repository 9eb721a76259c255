/**
 * A log that never blocks: key=value lines to standard output, bounded in rate and in unread bytes.
 *
 * @module
 */

import { Socket } from "node:net";
import { hash32 } from "../base/mod.ts";
import { type Log, quote } from "../kernel/mod.ts";

/** Where lines are written. `write` must not block; `waitingBytes` is what the reader has not taken yet. */
export interface LineSink {
  write(line: string): void;
  waitingBytes(): number;
}

/** Opens standard output as a socket: if a pipe's reader stalls, bytes wait here and nothing blocks. */
export function openStandardOutput(): LineSink {
  let stream: { write(text: string): unknown; readonly writableLength: number };
  try {
    const socket = new Socket({ fd: 1, readable: false, writable: true });
    // A reader that closed the pipe must not end the process.
    socket.on("error", () => {});
    socket.unref();
    stream = socket;
  } catch {
    // Standard output is a file or a device; these do not stall.
    stream = process.stdout;
  }
  return {
    write: (line) => void stream.write(line),
    waitingBytes: () => stream.writableLength,
  };
}

/** Most bytes that wait for a reader; about 1,000 lines. */
const MAX_WAITING_BYTES = 256 * 1024;
/** Most lines per second on successful requests: a VM's busiest second has some 400, and a line costs some 20 µs. */
const MAX_OUTCOMES_PER_S = 300;
/**
 * Most lines per second on changes of this VM's state: if all 100 upstreams of a region change at once, the lines fit
 * into one second.
 */
const MAX_STATE_LINES_PER_S = 200;
/** Warnings and errors have a budget of their own, so that lines on successful requests can't crowd them out. */
const MAX_PROBLEMS_PER_S = 600;
/**
 * Sampling aims at this share of the budget. Beyond the budget the order of lines decides which are written, and that
 * order differs by VM.
 */
const TARGET_SHARE = 0.85;
const HASH_RANGE = 2 ** 32;
const SECOND_MS = 1_000;

/**
 * Lines of a kind share one budget: `outcome` are successful requests, `state` other ordinary lines, `problem`
 * warnings and errors.
 */
type LineKind = "outcome" | "state" | "problem";

const BUDGETS: Readonly<Record<LineKind, number>> = {
  outcome: MAX_OUTCOMES_PER_S,
  state: MAX_STATE_LINES_PER_S,
  problem: MAX_PROBLEMS_PER_S,
};

function kindOf(level: string, fields: Record<string, unknown>): LineKind {
  if (level !== "info") return "problem";
  return fields.attempt === undefined ? "state" : "outcome";
}

/**
 * Writes lines within the budgets. Successful requests beyond their budget are sampled by the hash of the attempt's id,
 * so that every VM that had a part in a request keeps or drops it alike. Dropped lines are counted, and the next
 * written line states their number.
 */
export class LineLog implements Log {
  readonly #sink: LineSink;
  readonly #prefix: string;
  readonly #nowMs: () => number;
  #secondStartMs = -Infinity;
  #seen: Record<LineKind, number> = { outcome: 0, state: 0, problem: 0 };
  #written: Record<LineKind, number> = { outcome: 0, state: 0, problem: 0 };
  /** Share of successful requests that is kept, computed from the second before. */
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
    this.#write(level, event, fields);
  }

  /** Writes why the process ends, whatever the budgets: nothing comes after it. */
  logEnd(event: string, fields: Record<string, unknown>): void {
    this.#write("error", event, fields);
  }

  #write(level: string, event: string, fields: Record<string, unknown>): void {
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
    this.#seen = { outcome: 0, state: 0, problem: 0 };
    this.#written = { outcome: 0, state: 0, problem: 0 };
  }
}
