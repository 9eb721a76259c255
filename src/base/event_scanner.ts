/**
 * Finds where the events of a stream end, in bytes that arrive in pieces of any size.
 *
 * @module
 */

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
const SPACE = 0x20;
const TAB = 0x09;

/** What the current line holds so far. */
type LineKind = "empty" | "comment" | "field";

/**
 * Reads a stream of server-sent events. Lines end with LF, CRLF or CR, and a blank line ends an event, as the WHATWG HTML
 * standard defines. Comments belong to no event, unless they stand between its lines.
 */
export class EventScanner {
  #line: LineKind = "empty";
  /** Whether the event that is being read has a line already. */
  #hasField = false;
  /** Whether the last byte was a CR, so that an LF that follows belongs to the same line end. */
  #isAfterCr = false;
  /** Whether the last line end left no event open. */
  #isAtBoundary = true;
  /** Events that have ended. */
  events = 0;

  /** Whether the bytes so far end inside an event, or inside a comment. */
  get isInside(): boolean {
    return !this.#isAtBoundary;
  }

  /** Whether the bytes so far end inside an event. */
  get hasOpenEvent(): boolean {
    return this.#hasField;
  }

  /** Reads a piece. Returns the number of its bytes up to the last place where no event is open, 0 if there is none. */
  scan(piece: Buffer): number {
    let boundary = 0;
    for (let at = 0; at < piece.length; at++) {
      // Within a line, only its end matters.
      if (this.#line !== "empty") {
        at = findLineEnd(piece, at);
        if (at === piece.length) break;
      }
      this.#scanByte(piece[at]);
      if (this.#isAtBoundary) boundary = at + 1;
    }
    return boundary;
  }

  /** Forgets an unfinished event, before another stream continues. */
  reset(): void {
    this.#line = "empty";
    this.#hasField = false;
    this.#isAfterCr = false;
    this.#isAtBoundary = true;
  }

  #scanByte(byte: number): void {
    const isSecondOfCrLf = byte === LF && this.#isAfterCr;
    this.#isAfterCr = byte === CR;
    if (isSecondOfCrLf) return;
    if (byte === LF || byte === CR) return this.#endLine();
    this.#isAtBoundary = false;
    if (this.#line !== "empty") return;
    this.#line = byte === COLON ? "comment" : "field";
    this.#hasField ||= this.#line === "field";
  }

  #endLine(): void {
    if (this.#line === "empty" && this.#hasField) {
      this.events++;
      this.#hasField = false;
    }
    this.#line = "empty";
    this.#isAtBoundary = !this.#hasField;
  }
}

/** Returns where the first line end from `at` on begins; the length if there is none. */
function findLineEnd(piece: Buffer, at: number): number {
  let end = at;
  while (end < piece.length && piece[end] !== LF && piece[end] !== CR) end++;
  return end;
}

/** Longest id that an event is named by. The id travels in a header, of which a server reads some KB. */
const MAX_ID_BYTES = 1_024;

/** How an event can be named to an upstream that continues after it. */
export interface EventIdentity {
  /** `undefined` if the event has no id, or one that is too long to name it by. */
  readonly id: string | undefined;
}

/**
 * The identities of the events in `text`, which holds whole events and comments, a byte a character. Lines are found by
 * index, since each may be as short as a byte: as strings of their own they would take many times the memory of the text.
 */
export function findEvents(text: string): EventIdentity[] {
  const events: EventIdentity[] = [];
  let id: string | undefined;
  let isEvent = false;
  for (let start = 0; start <= text.length;) {
    const end = findEndOfLine(text, start);
    if (start === end) {
      if (isEvent || id !== undefined) events.push({ id });
      id = undefined;
      isEvent = false;
    } else if (isField("id", text, start, end)) {
      id = valueOf(text, start + "id:".length, end);
      if (id !== undefined && id.length > MAX_ID_BYTES) {
        id = undefined;
        isEvent = true;
      }
    } else if (isField("data", text, start, end)) isEvent = true;
    start = skipLineEnd(text, end);
  }
  return events;
}

/** Returns where the line from `start` on ends, without its line end. */
function findEndOfLine(text: string, start: number): number {
  for (let at = start; at < text.length; at++) {
    const code = text.charCodeAt(at);
    if (code === LF || code === CR) return at;
  }
  return text.length;
}

/** Returns where the line behind the line end at `at` begins; beyond the text if no line end is there. */
function skipLineEnd(text: string, at: number): number {
  const isCrLf = text.charCodeAt(at) === CR && text.charCodeAt(at + 1) === LF;
  return at + (isCrLf ? 2 : 1);
}

/** Whether the line from `start` to `end` holds a field; one without a colon has an empty value. */
function isField(
  name: string,
  text: string,
  start: number,
  end: number,
): boolean {
  const nameEnd = start + name.length;
  if (nameEnd > end || !text.startsWith(name, start)) return false;
  return nameEnd === end || text.charCodeAt(nameEnd) === COLON;
}

/** The value from `start` to `end` without what surrounds it; `undefined` if it is empty. */
function valueOf(text: string, start: number, end: number): string | undefined {
  let from = start;
  let to = end;
  // `trim` would also strip bytes that are part of a character.
  while (from < to && isPadding(text.charCodeAt(from))) from++;
  while (to > from && isPadding(text.charCodeAt(to - 1))) to--;
  return from < to ? text.slice(from, to) : undefined;
}

/** Whether a character may surround a value without being part of it. */
function isPadding(code: number): boolean {
  return code === SPACE || code === TAB;
}
