/**
 * One line of key=value pairs, parsed.
 *
 * @module
 */

/** See the module. */
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

/** Parses a line; what stands before `time=` is ignored, and a line without it is none of ours. */
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
