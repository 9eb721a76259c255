/**
 * Calls to the platform over HTTP by `got`, and what a failure of each kind says about whether the call took effect.
 *
 * @module
 */

import { Agent } from "node:http";
import { type Got, got, TimeoutError } from "got";
import { err, ok, type Result } from "neverthrow";
import { isNotSent } from "./not_sent.ts";
import type { StoreError } from "./key_value.ts";

/** How to reach the platform. */
export interface PlatformOptions {
  /** Base URLs, tried in order when no connection can be made. */
  readonly urls: readonly string[];
  /** Who calls; sent as `user-agent: ibisgapd/<vmId>`. */
  readonly vmId: string;
  /** Most time one call may take; 2000 unless given. */
  readonly timeoutMs?: number;
}

/** A platform error without a conflict. */
export type PlatformError = Exclude<StoreError, { kind: "conflict" }>;

/** An answer with its HTTP status; any status counts as an answer. */
export interface PlatformAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** An HTTP client of the platform that never repeats a call that may have been sent. */
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
      timeout: { connect: timeoutMs / 2, request: timeoutMs },
    });
  }

  /** Sends one request; goes on to the next base URL only while nothing was sent. */
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

  /** Opens a streamed answer at the preferred base URL. */
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
      const response = await this.#got(url, { method, json });
      return ok({
        status: response.statusCode,
        body: response.body === "" ? undefined : JSON.parse(response.body),
      });
    } catch (error) {
      return err(classifyError(error));
    }
  }
}

/**
 * A connection that was never made proves that the call had no effect. Anything else may have reached the store: to
 * call that "unavailable" would let a caller write twice, so it is `lost`, and the caller reads back.
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

/** What an answer that is not a success says; 503 is given before a call takes effect, other 5xx may come after. */
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
