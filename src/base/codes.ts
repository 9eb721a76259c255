/**
 * Result codes: every answer that is not a success carries one of these numbers. A test checks the table in
 * `docs/RESULT_CODES.md` against this module.
 *
 * @module
 */

/** Whether the work that a caller asked for was executed at an upstream. */
export type Ran = "no" | "yes" | "unknown";

/** One row of the code table, with the HTTP status and the default {@link Ran}. */
export interface CodeInfo {
  readonly code: number;
  readonly httpStatus: number;
  readonly ran: Ran;
  /** Whether the same request may succeed later, so that the answer says when to retry. */
  readonly retryable: boolean;
  readonly text: string;
}

function defineCode(
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
 * failed. 5xxx: an operator's request failed. 9xxx: an internal fault.
 */
export const codes = {
  badRequest: defineCode(2001, 400, "no", false, "the request is malformed"),
  bodyTooLarge: defineCode(
    2002,
    413,
    "no",
    false,
    "the body exceeds the limit",
  ),
  unauthenticated: defineCode(
    2003,
    401,
    "no",
    false,
    "the key is missing or wrong",
  ),
  forbidden: defineCode(2004, 403, "no", false, "the key does not allow this"),
  notFound: defineCode(2005, 404, "no", false, "there is no such path"),
  unknownService: defineCode(
    2006,
    404,
    "no",
    false,
    "there is no such service or model",
  ),
  deadlinePassed: defineCode(2007, 408, "no", false, "the deadline has passed"),
  homeElsewhere: defineCode(
    2008,
    421,
    "no",
    false,
    "the request is bound to another region",
  ),
  keyRequired: defineCode(
    2009,
    400,
    "no",
    false,
    "this call needs an Idempotency-Key",
  ),
  keyReused: defineCode(
    2010,
    422,
    "no",
    false,
    "the Idempotency-Key was used for a different request",
  ),
  unknownRequest: defineCode(
    2011,
    404,
    "no",
    false,
    "no request with this key is on record",
  ),
  bodyTimeout: defineCode(
    2012,
    408,
    "no",
    true,
    "the body did not arrive in time",
  ),
  headersTooLarge: defineCode(
    2013,
    431,
    "no",
    false,
    "the headers exceed the limit",
  ),
  queueFull: defineCode(3001, 429, "no", true, "the queue is full"),
  wouldMissDeadline: defineCode(
    3002,
    429,
    "no",
    true,
    "the request would start after its deadline",
  ),
  rateLimited: defineCode(
    3003,
    429,
    "no",
    true,
    "the workspace's rate limit is reached",
  ),
  spendExhausted: defineCode(
    3004,
    429,
    "no",
    true,
    "the spend limit is reached",
  ),
  noUpstream: defineCode(
    3005,
    503,
    "no",
    true,
    "no upstream can take the request",
  ),
  draining: defineCode(
    3006,
    503,
    "no",
    true,
    "this VM is leaving; use another",
  ),
  noTable: defineCode(
    3007,
    503,
    "no",
    true,
    "this VM has no configuration yet",
  ),
  stillRunning: defineCode(
    3008,
    409,
    "yes",
    true,
    "a request with this key is still running",
  ),
  claimUnavailable: defineCode(
    3009,
    503,
    "no",
    true,
    "the claim could not be recorded; the call was not run",
  ),
  receiverRefused: defineCode(
    3010,
    503,
    "no",
    true,
    "the other region refused the request",
  ),
  expiredInQueue: defineCode(
    3011,
    504,
    "no",
    true,
    "the deadline passed while the request was queued",
  ),
  concurrencyLimited: defineCode(
    3012,
    429,
    "no",
    true,
    "the workspace's concurrency limit is reached",
  ),
  leadUnavailable: defineCode(
    3013,
    503,
    "no",
    true,
    "the pool's lead cannot be reached",
  ),
  endsUpstreams: defineCode(
    3014,
    503,
    "no",
    false,
    "upstreams ended each time that they ran this request; it is not run again",
  ),
  onTrialElsewhere: defineCode(
    3015,
    503,
    "no",
    true,
    "upstreams ended under this request or a part of it; another run is the test",
  ),
  cannotResume: defineCode(
    3016,
    503,
    "no",
    false,
    "no upstream can go on with this stream; a new one is served",
  ),
  partEndsUpstreams: defineCode(
    3017,
    503,
    "no",
    true,
    "upstreams ended each time that they ran a part of this prompt",
  ),
  upstreamUnreachable: defineCode(
    4001,
    502,
    "no",
    true,
    "no connection to an upstream could be made",
  ),
  upstreamRefused: defineCode(
    4002,
    503,
    "no",
    true,
    "the upstream refused the request without running it",
  ),
  upstreamFailed: defineCode(
    4003,
    502,
    "unknown",
    true,
    "the upstream failed after the request was sent",
  ),
  streamBroken: defineCode(
    4004,
    502,
    "yes",
    true,
    "the stream broke before its end",
  ),
  upstreamTimeout: defineCode(
    4005,
    504,
    "unknown",
    true,
    "the upstream did not answer in time",
  ),
  outcomeUnknown: defineCode(
    4006,
    409,
    "unknown",
    false,
    "a call with this key was started; its outcome is unknown",
  ),
  canceled: defineCode(
    4007,
    499,
    "unknown",
    false,
    "the caller closed the connection",
  ),
  cutByStop: defineCode(
    4008,
    502,
    "unknown",
    true,
    "this VM stopped before the answer was complete",
  ),
  editConflict: defineCode(
    5001,
    409,
    "no",
    true,
    "the row was changed by another edit",
  ),
  invalidEdit: defineCode(5002, 422, "no", false, "the edit is not valid"),
  storeUnavailable: defineCode(
    5003,
    503,
    "unknown",
    true,
    "the platform's store cannot be reached",
  ),
  storeRegressed: defineCode(
    5004,
    503,
    "no",
    false,
    "the platform's store holds an older log than is in force",
  ),
  staleFence: defineCode(
    5005,
    409,
    "no",
    false,
    "the fencing number is no longer the newest",
  ),
  internal: defineCode(9001, 500, "unknown", false, "an internal error"),
} as const;

/** The name of a result code, for example `queueFull`. */
export type CodeName = keyof typeof codes;

/** A refusal or failure as it is reported to the caller; see {@link codes}. */
export interface Failure {
  readonly code: CodeName;
  readonly ran: Ran;
  /** A sentence for human readers: which field, which value, what is allowed. */
  readonly message: string;
  /** When to retry, in ms since the epoch; absent if a retry does not help. */
  readonly retryAtMs?: number;
  /** Base URLs of VMs to use instead, best first. */
  readonly goTo?: readonly string[];
}

/** Creates a {@link Failure}, with the code's default text and `ran` unless others are given. */
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
