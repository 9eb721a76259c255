/**
 * Values of other types and sizes than expected, for tests of what other programs send and store.
 *
 * @module
 */

/** Stands for a number that JSON can hold and JavaScript can't. */
const TOO_LARGE = "too large";

function nest(depth: number): unknown {
  let value: unknown = 1;
  for (let i = 0; i < depth; i++) value = [value];
  return value;
}

/** Values that a program may find where it expects others. */
export const ODD_VALUES: readonly unknown[] = [
  null,
  true,
  0,
  -1,
  0.5,
  3e9,
  1e308,
  -1e308,
  TOO_LARGE,
  "",
  "x",
  "\0",
  "\ud800\r\n",
  "x".repeat(20_000),
  [],
  [null],
  [[]],
  [[null, null]],
  {},
  { a: null },
  { toString: 1, valueOf: 1 },
  JSON.parse('{"__proto__":{"length":9}}'),
  nest(4_000),
];

/** Returns a copy of a message with another value at a place, or without it. */
export function spoil(
  value: unknown,
  path: readonly number[],
  odd: unknown,
  isRemoved: boolean,
): unknown {
  const [step, ...rest] = path;
  if (step === undefined || typeof value !== "object" || value === null) {
    return odd;
  }
  const entries = Object.entries(value);
  if (entries.length === 0) return odd;
  const at = step % entries.length;
  const [key, inner] = entries[at];
  const changed = isRemoved && rest.length === 0
    ? entries.toSpliced(at, 1)
    : entries.with(at, [key, spoil(inner, rest, odd, isRemoved)]);
  return Array.isArray(value)
    ? changed.map(([, item]) => item)
    : Object.fromEntries(changed);
}

/** Encodes a message with odd values as JSON. */
export function encodeOdd(message: unknown): string {
  return JSON.stringify(message).replaceAll(`"${TOO_LARGE}"`, "1e999");
}
