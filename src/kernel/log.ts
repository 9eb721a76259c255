/**
 * Logs: one line of key=value pairs for each event, by `winston`.
 *
 * @module
 */

import { createLogger, format, type Logger, transports } from "winston";

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

const keyValue = format.printf(({ timestamp, level, message, ...pairs }) => {
  const rest = Object.entries(pairs).map(([key, value]) =>
    ` ${key}=${quote(value)}`
  ).join("");
  return `time=${timestamp} level=${level} event=${quote(message)}${rest}`;
});

/** A logger that writes to standard error, with `fields` on each line. */
export function openLog(
  level: LogLevel,
  fields: Record<string, string> = {},
): Logger {
  return createLogger({
    level: level === "silent" ? "error" : level,
    silent: level === "silent",
    defaultMeta: fields,
    format: format.combine(format.timestamp(), keyValue),
    transports: [new transports.Stream({ stream: process.stderr })],
  });
}
