/**
 * An HTTP client for the platform, based on `got`. It maps each kind of failure to whether the call may have taken
 * effect.
 *
 * @module
 */

import { Agent } from "node:http";
import { type Got, got, TimeoutError } from "got";
import { err, ok, type Result } from "neverthrow";
import { isNotSent } from "./not_sent.ts";
import { MAX_TEXT_BYTES, readStreamText } from "./read_text.ts";
import type { StoreError } from "./key_value.ts";

/** Longest call, in timeouts: a listing takes as long as its length and the link demand. */
const MAX_CALL_TIMEOUTS = 5;

/** Options of a {@link PlatformClient}. */
export interface PlatformOptions {
  /** Base URLs; the next one is tried when no connection can be made. */
  readonly urls: readonly string[];
  /** The id of the calling VM, sent as `user-agent: ibisgapd/<vmId>`. */
  readonly vmId: string;
  /** The longest time in which nothing of an answer comes; 2000 by default. */
  readonly timeoutMs?: number;
}

/** A {@link StoreError} other than a conflict. */
export type PlatformError = Exclude<StoreError, { kind: "conflict" }>;

/** An answer with its HTTP status. An error status is an answer too. */
export interface PlatformAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** An HTTP client of the platform that never retries a call that may have been sent. */
export class PlatformClient {
  readonly #urls: readonly string[];
  readonly #agent = new Agent({ keepAlive: true, keepAliveMsecs: 5000 });
  readonly #got: Got;
  #preferredIndex = 0;

  constructor(options: PlatformOptions) {
    this.#urls = options.urls;
    const timeoutMs = options.timeoutMs ?? 2000;
    this.#got = got.extend({
      agent: { http: this.#agent },
      headers: { "user-agent": `ibisgapd/${options.vmId}` },
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
      timeout: {
        connect: timeoutMs / 2,
        socket: timeoutMs,
        request: MAX_CALL_TIMEOUTS * timeoutMs,
      },
    });
  }

  /** Sends one request. It tries the next base URL only if nothing was sent to the previous one. */
  async call(
    method: "GET" | "POST" | "PUT",
    path: string,
    json?: unknown,
  ): Promise<Result<PlatformAnswer, PlatformError>> {
    let lastError: PlatformError = {
      kind: "unavailable",
      message: "no address",
    };
    for (let i = 0; i < this.#urls.length; i++) {
      const index = (this.#preferredIndex + i) % this.#urls.length;
      const result = await this.#callUrl(
        method,
        this.#urls[index] + path,
        json,
      );
      if (result.isOk() || result.error.kind !== "unavailable") {
        this.#preferredIndex = index;
        return result;
      }
      lastError = result.error;
    }
    return err(lastError);
  }

  /** Opens a streamed answer at the base URL that was last reached. */
  stream(path: string, json: unknown) {
    return this.#got.stream.post(this.#urls[this.#preferredIndex] + path, {
      json,
      timeout: { request: undefined, connect: 1000, response: 5000 },
    });
  }

  close(): void {
    this.#agent.destroy();
  }

  async #callUrl(
    method: "GET" | "POST" | "PUT",
    url: string,
    json: unknown,
  ): Promise<Result<PlatformAnswer, PlatformError>> {
    try {
      const answer = this.#got.stream(url, { method, json });
      if (method !== "GET" && json === undefined) answer.end();
      const text = await readStreamText(answer, MAX_TEXT_BYTES);
      return ok({
        status: answer.response!.statusCode,
        body: text === "" ? undefined : JSON.parse(text),
      });
    } catch (error) {
      return err(classifyError(error));
    }
  }
}

/**
 * Maps an error to `unavailable` or `lost`. If no connection was made, the call certainly had no effect. After any other
 * error the call may have reached the store. If that were reported as `unavailable`, the caller could write twice; so it
 * is reported as `lost`, and the caller reads the key again.
 */
function classifyError(error: unknown): PlatformError {
  const message = error instanceof Error ? error.message : String(error);
  const isConnectTimeout = error instanceof TimeoutError &&
    (error.event === "connect" || error.event === "lookup");
  return {
    kind: isConnectTimeout || isNotSent(error) ? "unavailable" : "lost",
    message,
  };
}

/**
 * Converts an answer that is not a success to an error. The platform answers 503 with code 14 before a call takes effect,
 * unless the message says that the call timed out. After any other 5xx answer the call may have taken effect.
 */
export function toPlatformError(answer: PlatformAnswer): PlatformError {
  const { message = "", code } = (answer.body ?? {}) as {
    message?: string;
    code?: number;
  };
  const text = `${answer.status}: ${message}`;
  if (answer.status === 429) return { kind: "limited", message: text };
  if (message.includes("lease not found")) {
    return { kind: "leaseGone", message: text };
  }
  if (answer.status === 413 || message.includes("too large")) {
    return { kind: "tooLarge", message: text };
  }
  const isRefused = answer.status === 503 && code === 14 &&
    !message.includes("timed out");
  return { kind: isRefused ? "unavailable" : "lost", message: text };
}
