/**
 * The log of a VM that runs in the test's process, for checks of its lines.
 *
 * @module
 */

import type { Log } from "../src/kernel/mod.ts";
import { openLogFile } from "./kept.ts";

/** One line of a VM's log. */
export interface LogLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Keeps all lines, and writes them to the log file of the test. */
export class MemoryLog implements Log {
  readonly lines: LogLine[] = [];
  readonly #keep: (text: string) => void;

  constructor(vmId: string) {
    this.#keep = openLogFile(vmId);
  }

  debug(): void {}
  info(event: string, fields = {}): void {
    this.log("info", event, fields);
  }
  warn(event: string, fields = {}): void {
    this.log("warn", event, fields);
  }
  error(event: string, fields = {}): void {
    this.log("error", event, fields);
  }
  log(
    level: string,
    event: string,
    fields: Record<string, unknown> = {},
  ): void {
    this.lines.push({ event, fields });
    const timeMs = Math.round(performance.now());
    this.#keep(`${JSON.stringify({ timeMs, level, event, ...fields })}\n`);
  }
}
