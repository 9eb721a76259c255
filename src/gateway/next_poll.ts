/**
 * Waits until this process has polled its sockets once more.
 *
 * @module
 */

/**
 * Resolves after the next poll of the sockets. A lagging process runs due timers before it reads what has long arrived:
 * an answer, or the end of a caller's connection. `setImmediate` runs after the next poll if it is called by a timer,
 * and before it if it is called while the sockets are read; the second one runs after it in both cases.
 */
export function waitForNextPoll(): Promise<void> {
  return new Promise((resolve) =>
    setImmediate(() => setImmediate(() => resolve()))
  );
}
