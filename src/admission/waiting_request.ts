/**
 * A request that waits for a place, and what the queue keeps about it.
 *
 * @module
 */

/** A request without a place. Times are of a monotonic clock. */
export interface WaitingRequest {
  /** Unique: the VM and its query. */
  readonly id: string;
  /** Empty if the caller has none. */
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Prompt tokens to process plus expected output tokens. */
  readonly tokens: number;
  /** First arrival; before the registration if the caller returned. */
  readonly arrivedMs: number;
  /** When it must have a place to be on time. */
  readonly dueMs: number;
  /** When it can no longer be served. */
  readonly deadlineMs: number;
}

/** A request in the queue. */
export interface Entry {
  readonly request: WaitingRequest;
  /** Distinguishes entries that arrived and are due at the same time; the earlier addition has the lower number. */
  readonly number: number;
  /** What its service costs its workspace's share, in tokens. */
  readonly costTokens: number;
  /** Its priority class; 0 is the most urgent. */
  readonly classIndex: number;
  /** When it is treated as belonging to the most urgent class. */
  readonly agedAtMs: number;
  renewedMs: number;
  isQueued: boolean;
}

/** Time after the last renewal at which the VM is taken to have lost interest, or to be lost itself. */
const RENEWAL_TIMEOUT_MS = 1_000;
/** Part of an entry's time, from its arrival to its deadline, after which it competes with the most urgent class. */
const AGED_PART = 2 / 3;

/** Orders the entries of a workspace: by due time, then by arrival. */
export function compareEntries(a: Entry, b: Entry): number {
  return a.request.dueMs - b.request.dueMs ||
    a.request.arrivedMs - b.request.arrivedMs ||
    a.number - b.number;
}

/** When the entry ends unless it is renewed. */
export function endOf({ request, renewedMs }: Entry): number {
  return Math.min(request.deadlineMs, renewedMs + RENEWAL_TIMEOUT_MS);
}

/**
 * When the request is treated as belonging to the most urgent class. It counts to the deadline and not to the due time:
 * whenever waits exceed the due times of a lower class, all its entries would otherwise compete with the most urgent
 * class, and the classes would have no effect just when capacity is short. A request that is late can still be served;
 * one past its deadline is lost.
 */
export function agedAtMs({ arrivedMs, deadlineMs }: WaitingRequest): number {
  return arrivedMs + (deadlineMs - arrivedMs) * AGED_PART;
}

/**
 * What a request costs its workspace's share, in tokens. It is at least 1, so that a workspace whose requests state no
 * tokens is charged for them as well.
 */
export function costOf({ tokens }: WaitingRequest): number {
  return tokens >= 1 && tokens < Infinity ? tokens : 1;
}
