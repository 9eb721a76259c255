/**
 * Tells a connection that was never made from one that broke.
 *
 * @module
 */

/** What these calls may report when no connection was made. Any other code, a reset among them, counts as sent. */
const NO_CONNECTION_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
]);

/** System calls that come before the first byte of a request. */
const CONNECT_SYSCALLS = new Set(["connect", "getaddrinfo"]);

interface SystemError {
  readonly code?: unknown;
  readonly syscall?: unknown;
  readonly cause?: unknown;
  readonly errors?: unknown;
}

/**
 * Whether no byte of a request can have left. The code alone does not tell: a network that goes away under an open
 * connection also reports `EHOSTUNREACH`, from `read` or `write`. A call that may have run would then pass for not run,
 * and run again at another upstream; so the system call that failed decides too, and what names none counts as sent.
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
