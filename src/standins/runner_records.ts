/**
 * What a stand-in runner records of the requests that reached it.
 *
 * @module
 */

/** A request that reached a runner. */
export interface RunnerArrival {
  readonly target: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** When the body had been read completely, on the monotonic clock. */
  readonly arrivedMonoMs: number;
  /** Whether the gateway's connection closed before the answer was complete. */
  isCut: boolean;
  /** Whether the runner will never answer it. */
  isIgnored: boolean;
  /** When the answer or its connection ended, on the monotonic clock; `Infinity` before. */
  endedMonoMs: number;
}

/** A request that a runner turned away. */
export interface RunnerRefusal {
  readonly attemptId: string;
  /** On the monotonic clock. */
  readonly refusedMonoMs: number;
  readonly retryAfter: string | undefined;
}
