/**
 * Upstreams as the callers' edge sees them: open a call, read its answer, cancel it.
 *
 * @module
 */

import type { Readable } from "node:stream";
import type { Result } from "neverthrow";

/** A call to an upstream. */
export interface UpstreamCall {
  /** Base URL of the upstream, from its row in the table. */
  readonly url: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * Why there is no answer. `unreachable`: no connection was made, so no byte of the request left this VM. `lost`: bytes
 * may have left, so the call may have run. `canceled`: by {@link UpstreamCall}'s signal, and bytes may have left;
 * `withdrawn`: by that signal before any byte left.
 */
export interface UpstreamError {
  readonly kind: "unreachable" | "lost" | "canceled" | "withdrawn";
  readonly message: string;
}

/** An answer whose body is still to be read; destroying `body` cancels the call at the upstream. */
export interface UpstreamAnswer {
  readonly httpStatus: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readable;
}

/** Speaks to the upstreams of one kind. */
export abstract class UpstreamClient {
  /** Sends the call; resolves when the answer's head is here. `signal` cancels at any time, the body's reading too. */
  abstract open(
    call: UpstreamCall,
    signal: AbortSignal,
  ): Promise<Result<UpstreamAnswer, UpstreamError>>;
  abstract close(): Promise<void>;
}
