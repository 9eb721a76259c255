/**
 * What services log to: one line of key=value pairs for each event.
 *
 * @module
 */

/** How much is logged. */
export type LogLevel = "error" | "warn" | "info" | "debug" | "silent";

/** What services log to; `winston`'s loggers are one. */
export interface Log {
  debug(event: string, fields?: Record<string, unknown>): unknown;
  info(event: string, fields?: Record<string, unknown>): unknown;
  warn(event: string, fields?: Record<string, unknown>): unknown;
  error(event: string, fields?: Record<string, unknown>): unknown;
  log(
    level: string,
    event: string,
    fields?: Record<string, unknown>,
  ): unknown;
}

/** A value as it stands in a line of key=value pairs. */
export function quote(value: unknown): string {
  const text = typeof value === "object"
    ? JSON.stringify(value)
    : String(value);
  return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
}
