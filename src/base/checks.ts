/**
 * Checks of values that other processes sent or stored. JSON may hold any type at any place, and numbers that become
 * `Infinity`.
 *
 * @module
 */

/** Tells whether a received value is of a type. */
export type Check<T> = (value: unknown) => value is T;

/** Whether a value is a finite number. */
export function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}

/** Whether a value is a text. */
export function isText(value: unknown): value is string {
  return typeof value === "string";
}

const IP_ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}$/;

/** Whether a value is an IPv4 address. */
export function isAddress(value: unknown): value is string {
  return isText(value) && IP_ADDRESS.test(value);
}

/** Whether a value is a boolean. */
export function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** Makes a check that also accepts an absent field. */
export function optional<T>(check: Check<T>): Check<T | undefined> {
  return (value): value is T | undefined => value === undefined || check(value);
}

/** Makes a check that also accepts `null`, which JSON has in place of an infinite number. */
export function nullable<T>(check: Check<T>): Check<T> {
  return (value): value is T => value === null || check(value);
}

/** Makes a check for lists of one type. */
export function listOf<T>(check: Check<T>): Check<T[]> {
  return (value): value is T[] => Array.isArray(value) && value.every(check);
}

/** Makes a check for lists that begin with values of these types. */
export function tupleOf<T extends readonly unknown[]>(
  ...checks: { readonly [I in keyof T]: Check<T[I]> }
): Check<T> {
  return (value): value is T =>
    Array.isArray(value) && checks.every((check, at) => check(value[at]));
}

/** Makes a check for objects that map names to values of one type. */
export function mapOf<T>(check: Check<T>): Check<Record<string, T>> {
  return (value): value is Record<string, T> =>
    typeof value === "object" && value !== null && !Array.isArray(value) &&
    Object.values(value).every(check);
}

/** Makes a check for objects with fields of these types; other fields are not looked at. */
export function objectOf<T>(
  checks: { readonly [K in keyof T]: Check<T[K]> },
): Check<T> {
  const rows = Object.entries(checks) as [string, Check<unknown>][];
  return (value): value is T =>
    typeof value === "object" && value !== null &&
    rows.every(([name, check]) =>
      check((value as Record<string, unknown>)[name])
    );
}
