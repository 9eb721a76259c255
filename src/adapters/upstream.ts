/**
 * The interface through which the edge calls upstreams: it opens a call, reads the answer and may cancel the call.
 *
 * @module
 */

import type { Readable } from "node:stream";
import type { Result } from "neverthrow";

/** A call to an upstream. */
export interface UpstreamCall {
  /** Base URL of the upstream, taken from its table row. */
  readonly url: string;
  /** Path and query, starting with `/`. */
  readonly path: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/**
 * Why a call got no answer.
 * - `unreachable`: no connection was made, so no byte of the request was sent.
 * - `lost`: bytes may have been sent, so the call may have run.
 * - `canceled`: the signal given to {@link UpstreamClient.open} canceled the call, and bytes may have been sent.
 * - `withdrawn`: that signal canceled the call before any byte was sent.
 */
export interface UpstreamError {
  readonly kind: "unreachable" | "lost" | "canceled" | "withdrawn";
  readonly message: string;
}

/** An answer whose body has not been read yet. Destroying `body` cancels the call at the upstream. */
export interface UpstreamAnswer {
  readonly httpStatus: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readable;
}

/** A client for one kind of upstream. */
export abstract class UpstreamClient {
  /**
   * Sends the call and resolves when the answer's headers have arrived. `signal` cancels the call at any time, also
   * while the body is read.
   */
  abstract open(
    call: UpstreamCall,
    signal: AbortSignal,
  ): Promise<Result<UpstreamAnswer, UpstreamError>>;
  /** Whether bytes of the call that was opened with `signal` may have been sent. */
  abstract hasSent(signal: AbortSignal): boolean;
  abstract close(): Promise<void>;
}
