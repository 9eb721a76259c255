/**
 * Distinguishes connections that were never made from connections that broke.
 *
 * @module
 */

/**
 * The error codes that {@link CONNECT_SYSCALLS} report when no connection was made. With any other code, such as a
 * reset, the request counts as sent.
 */
const NO_CONNECTION_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
]);

/** System calls that run before the first byte of a request is sent. */
const CONNECT_SYSCALLS = new Set(["connect", "getaddrinfo"]);

interface SystemError {
  readonly code?: unknown;
  readonly syscall?: unknown;
  readonly cause?: unknown;
  readonly errors?: unknown;
}

/**
 * Whether certainly no byte of a request was sent. The error code alone does not show this: when the network fails
 * under an open connection, `read` or `write` also reports `EHOSTUNREACH`. A call that may have run would then count as
 * not run and would be sent to another upstream as well. So the failed system call is checked too, and an error that
 * names no system call counts as sent.
 */
export function isNotSent(error: unknown): boolean {
  if (typeof error !== "object" || error === null) return false;
  const { code, syscall, cause, errors } = error as SystemError;
  if (code === "UND_ERR_CONNECT_TIMEOUT") return true;
  if (typeof syscall === "string") {
    return CONNECT_SYSCALLS.has(syscall) &&
      NO_CONNECTION_CODES.has(String(code));
  }
  if (Array.isArray(errors)) {
    return errors.length > 0 && errors.every(isNotSent);
  }
  return isNotSent(cause);
}
