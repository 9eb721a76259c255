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
/** Lines a second of plain good outcomes; a VM's busiest second has some 400 requests, and a line costs some 20 µs. */
const MOST_OUTCOMES_PER_S = 300;
/** Lines a second on what the VM believes: a region of 100 upstreams that all change at once is told in a second. */
const MOST_BELIEFS_PER_S = 200;
/** Warnings and errors have a budget of their own, so that good outcomes cannot crowd them out. */
const MOST_PROBLEMS_PER_S = 600;
/** The share that is kept aims below the budget: beyond it the order of lines would decide, which differs by VM. */
const AIMED_SHARE = 0.85;
const HASHES = 2 ** 32;
const SECOND_MS = 1_000;

/** What competes for the same budget: good outcomes of requests, other ordinary lines, warnings and errors. */
type Kind = "outcome" | "belief" | "problem";

const BUDGETS: Readonly<Record<Kind, number>> = {
  outcome: MOST_OUTCOMES_PER_S,
  belief: MOST_BELIEFS_PER_S,
  problem: MOST_PROBLEMS_PER_S,
};

function kindOf(level: string, fields: Record<string, unknown>): Kind {
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
  #seen: Record<Kind, number> = { outcome: 0, belief: 0, problem: 0 };
  #written: Record<Kind, number> = { outcome: 0, belief: 0, problem: 0 };
  /** Share of the good outcomes that is kept, from the second before. */
  #keptShare = 1;
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
    if (!this.#takeBudget(kindOf(level, fields), fields.attempt)) {
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

  #takeBudget(kind: Kind, attempt: unknown): boolean {
    const nowMs = this.#nowMs();
    if (
      nowMs - this.#secondStartMs >= SECOND_MS || nowMs < this.#secondStartMs
    ) this.#startSecond(nowMs);
    this.#seen[kind]++;
    if (this.#sink.waitingBytes() > MOST_WAITING_BYTES) return false;
    if (
      kind === "outcome" &&
      hash32(String(attempt)) >= this.#keptShare * HASHES
    ) return false;
    return this.#written[kind]++ < BUDGETS[kind];
  }

  #startSecond(nowMs: number): void {
    this.#secondStartMs = nowMs;
    this.#keptShare = Math.min(
      1,
      AIMED_SHARE * MOST_OUTCOMES_PER_S / Math.max(1, this.#seen.outcome),
    );
    this.#seen = { outcome: 0, belief: 0, problem: 0 };
    this.#written = { outcome: 0, belief: 0, problem: 0 };
  }
}
