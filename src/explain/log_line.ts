/**
 * Parses log lines of `key=value` pairs.
 *
 * @module
 */

/** A parsed log line. */
export interface ParsedLine {
  readonly timeMs: number;
  readonly level: string;
  readonly event: string;
  readonly vm: string;
  readonly fields: Readonly<Record<string, string>>;
}

const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g;

function unquote(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    return text;
  }
}

/** Parses a line. Text before `time=` is ignored; a line without `time=` is not one of the gateway's and is skipped. */
export function parseLine(line: string): ParsedLine | undefined {
  const start = line.indexOf("time=");
  if (start < 0) return undefined;
  const fields: Record<string, string> = {};
  for (const [, key, value] of line.slice(start).matchAll(PAIR)) {
    fields[key] = unquote(value);
  }
  const { time, level, event, vm, ...rest } = fields;
  const timeMs = Date.parse(time);
  if (Number.isNaN(timeMs) || event === undefined) return undefined;
  return { timeMs, level: level ?? "", event, vm: vm ?? "", fields: rest };
}
