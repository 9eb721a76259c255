/**
 * The interface for logging: one line of key=value pairs for each event.
 *
 * @module
 */

/** The least severe level that is logged; `silent` logs nothing. */
export type LogLevel = "error" | "warn" | "info" | "debug" | "silent";

/** A logger for services; `winston`'s loggers implement it. */
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

/** Formats a value for a line of key=value pairs; quotes it if necessary. */
export function quote(value: unknown): string {
  const text = typeof value === "object"
    ? JSON.stringify(value)
    : String(value);
  return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
}
