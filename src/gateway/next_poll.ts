/**
 * Waits until this process has looked at its sockets once more.
 *
 * @module
 */

/**
 * See the module. A process that is behind runs what falls due before it reads what has long arrived: an answer, or the end
 * of a caller's connection. `setImmediate` runs after the next look at the sockets if it is set by a timer, and before it if
 * it is set while they are read; the second one comes after it in both cases.
 */
export function waitForNextPoll(): Promise<void> {
  return new Promise((resolve) =>
    setImmediate(() => setImmediate(() => resolve()))
  );
}
