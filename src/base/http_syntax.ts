/**
 * What HTTP allows in headers, and which answers have a body. How strictly Node.js reads that differs from version to
 * version, and it throws where it is given a header to write that it would not write so.
 *
 * @module
 */

const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Whether a text can be a header's value. */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE.test(text);
}

/** Whether all of `raw`, names and values in turn, can be sent on. */
export function areHeaders(raw: readonly string[]): boolean {
  for (let at = 0; at < raw.length; at += 2) {
    if (!HEADER_NAME.test(raw[at]) || !isHeaderValue(raw[at + 1])) return false;
  }
  return true;
}

/** Statuses whose answers end with their head, whatever it says of a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether answers with a status have a body, be it an empty one. */
export function hasBody(status: number): boolean {
  return !BODILESS_STATUSES.has(status);
}
