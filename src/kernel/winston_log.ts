/**
 * Logging by `winston`, for processes whose log reader never stalls.
 *
 * @module
 */

import { createLogger, format, type Logger, transports } from "winston";
import { type LogLevel, quote } from "./log.ts";

const keyValueFormat = format.printf(
  ({ timestamp, level, message, ...pairs }) => {
    const rest = Object.entries(pairs).map(([key, value]) =>
      ` ${key}=${quote(value)}`
    ).join("");
    return `time=${timestamp} level=${level} event=${quote(message)}${rest}`;
  },
);

/** Opens a logger that writes to standard error, with `fields` on each line. */
export function openLog(
  level: LogLevel,
  fields: Record<string, string> = {},
): Logger {
  return createLogger({
    level: level === "silent" ? "error" : level,
    silent: level === "silent",
    defaultMeta: fields,
    format: format.combine(format.timestamp(), keyValueFormat),
    transports: [new transports.Stream({ stream: process.stderr })],
  });
}
