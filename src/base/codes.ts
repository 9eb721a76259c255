/**
 * Result codes: every answer that is not a success carries one of these numbers. The table in
 * `docs/RESULT_CODES.md` is checked against this module by a test.
 *
 * @module
 */

/** Whether the work a caller asked for was executed at an upstream. */
export type Ran = "no" | "yes" | "unknown";

/** One row of the code table: its HTTP status, and the {@link Ran} it states unless told otherwise. */
export interface CodeInfo {
  readonly code: number;
  readonly httpStatus: number;
  readonly ran: Ran;
  /** Whether the same request may succeed later, so that the answer says when to come back. */
  readonly retryable: boolean;
  readonly text: string;
}

function row(
  code: number,
  httpStatus: number,
  ran: Ran,
  retryable: boolean,
  text: string,
): CodeInfo {
  return { code, httpStatus, ran, retryable, text };
}

/**
 * All result codes by name. 2xxx: the caller must change something. 3xxx: refused, not run. 4xxx: an upstream
 * failed. 5xxx: an operator's request failed. 9xxx: a fault of ours.
 */
export const codes = {
  badRequest: row(2001, 400, "no", false, "the request is malformed"),
  bodyTooLarge: row(2002, 413, "no", false, "the body exceeds the limit"),
  unauthenticated: row(2003, 401, "no", false, "the key is missing or wrong"),
  forbidden: row(2004, 403, "no", false, "the key does not allow this"),
  notFound: row(2005, 404, "no", false, "there is no such path"),
  unknownService: row(
    2006,
    404,
    "no",
    false,
    "there is no such service or model",
  ),
  deadlinePassed: row(2007, 408, "no", false, "the deadline has passed"),
  homeElsewhere: row(
    2008,
    421,
    "no",
    false,
    "the request is bound to another region",
  ),
  keyRequired: row(
    2009,
    400,
    "no",
    false,
    "this call needs an Idempotency-Key",
  ),
  keyReused: row(
    2010,
    422,
    "no",
    false,
    "the Idempotency-Key was used for a different request",
  ),
  unknownRequest: row(
    2011,
    404,
    "no",
    false,
    "no request with this key is on record",
  ),
  bodyTimeout: row(2012, 408, "no", true, "the body did not arrive in time"),
  headersTooLarge: row(2013, 431, "no", false, "the headers exceed the limit"),
  queueFull: row(3001, 429, "no", true, "the queue is full"),
  wouldMissDeadline: row(
    3002,
    429,
    "no",
    true,
    "the request would start after its deadline",
  ),
  rateLimited: row(
    3003,
    429,
    "no",
    true,
    "the workspace's rate limit is reached",
  ),
  spendExhausted: row(3004, 429, "no", true, "the spend limit is reached"),
  noUpstream: row(3005, 503, "no", true, "no upstream can take the request"),
  draining: row(3006, 503, "no", true, "this VM is leaving; use another"),
  noTable: row(3007, 503, "no", true, "this VM has no configuration yet"),
  stillRunning: row(
    3008,
    409,
    "yes",
    true,
    "a request with this key is still running",
  ),
  claimUnavailable: row(
    3009,
    503,
    "no",
    true,
    "the claim could not be recorded; the call was not run",
  ),
  receiverRefused: row(
    3010,
    503,
    "no",
    true,
    "the other region refused the request",
  ),
  expiredInQueue: row(
    3011,
    504,
    "no",
    true,
    "the deadline passed while the request was queued",
  ),
  concurrencyLimited: row(
    3012,
    429,
    "no",
    true,
    "the workspace's concurrency limit is reached",
  ),
  leadUnavailable: row(
    3013,
    503,
    "no",
    true,
    "the pool's lead cannot be reached",
  ),
  endsUpstreams: row(
    3014,
    503,
    "no",
    false,
    "upstreams ended each time that they ran this request; it is not run again",
  ),
  onTrialElsewhere: row(
    3015,
    503,
    "no",
    true,
    "upstreams ended under this request; another VM runs it once more",
  ),
  upstreamUnreachable: row(
    4001,
    502,
    "no",
    true,
    "no connection to an upstream could be made",
  ),
  upstreamRefused: row(
    4002,
    503,
    "no",
    true,
    "the upstream refused the request without running it",
  ),
  upstreamFailed: row(
    4003,
    502,
    "unknown",
    true,
    "the upstream failed after the request was sent",
  ),
  streamBroken: row(4004, 502, "yes", true, "the stream broke before its end"),
  upstreamTimeout: row(
    4005,
    504,
    "unknown",
    true,
    "the upstream did not answer in time",
  ),
  outcomeUnknown: row(
    4006,
    409,
    "unknown",
    false,
    "a call with this key was started; its outcome is unknown",
  ),
  canceled: row(
    4007,
    499,
    "unknown",
    false,
    "the caller closed the connection",
  ),
  editConflict: row(
    5001,
    409,
    "no",
    true,
    "the row was changed by another edit",
  ),
  invalidEdit: row(5002, 422, "no", false, "the edit is not valid"),
  storeUnavailable: row(
    5003,
    503,
    "unknown",
    true,
    "the platform's store cannot be reached",
  ),
  storeRegressed: row(
    5004,
    503,
    "no",
    false,
    "the platform's store holds an older log than is in force",
  ),
  staleFence: row(
    5005,
    409,
    "no",
    false,
    "the fencing number is no longer the newest",
  ),
  internal: row(9001, 500, "unknown", false, "an internal error"),
} as const;

/** The name of a result code, for example `queueFull`. */
export type CodeName = keyof typeof codes;

/** What a refusal or failure tells its caller; see {@link codes}. */
export interface Failure {
  readonly code: CodeName;
  readonly ran: Ran;
  /** A sentence for people: which field, which value, what is allowed. */
  readonly message: string;
  /** When to come back, in ms since the epoch; absent where coming back does not help. */
  readonly retryAtMs?: number;
  /** Base URLs of VMs to use instead, best first. */
  readonly goTo?: readonly string[];
}

/** Makes a {@link Failure}, with the code's own text and `ran` unless others are given. */
export function failure(
  code: CodeName,
  more: Partial<Omit<Failure, "code">> = {},
): Failure {
  return {
    code,
    ran: more.ran ?? codes[code].ran,
    message: more.message ?? codes[code].text,
    ...more,
  };
}
