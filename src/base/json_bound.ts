/**
 * Bounds what a JSON text takes as values, before it is parsed.
 *
 * @module
 */

const QUOTE = 0x22;
const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const BACKSLASH = 0x5c;
const OPENING_BRACE = 0x7b;

/**
 * Whether a JSON text holds at most `maxValues` values; of a text that is no JSON it doesn't matter. Each value costs some
 * tens of bytes of heap beside its text, so that a bound of the text in bytes doesn't bound the values.
 */
export function hasFewValues(text: Uint8Array, maxValues: number): boolean {
  let values = 1;
  let i = 0;
  while (i < text.length && values <= maxValues) {
    const byte = text[i];
    if (byte === QUOTE) i = findStringEnd(text, i);
    else if (isBeforeValue(byte)) values++;
    i++;
  }
  return values <= maxValues;
}

/** Whether a value may follow a byte; one behind a name is counted with the comma or brace before that. */
function isBeforeValue(byte: number): boolean {
  return byte === COMMA || byte === OPENING_BRACKET || byte === OPENING_BRACE;
}

/** Finds the quote that ends a string; returns the end of the text if there is none. */
function findStringEnd(text: Uint8Array, start: number): number {
  let i = start + 1;
  while (i < text.length && text[i] !== QUOTE) {
    i += text[i] === BACKSLASH ? 2 : 1;
  }
  return i;
}
