/**
 * Upstreams over HTTP by `got`: engines by the OpenAI-compatible protocol, and plain services.
 *
 * @module
 */

import { Agent } from "node:http";
import got, { type Request } from "got";
import { err, ok, type Result } from "neverthrow";
import {
  type UpstreamAnswer,
  type UpstreamCall,
  UpstreamClient,
  type UpstreamError,
} from "./upstream.ts";

/** Errors that only arise before a connection stands, so that nothing was sent. */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
]);

const CONNECT_TIMEOUT_MS = 1000;

/** The {@link UpstreamClient} for HTTP upstreams. */
export class HttpUpstreamClient extends UpstreamClient {
  readonly #agent = new Agent({
    keepAlive: true,
    maxSockets: Infinity,
    maxFreeSockets: 256,
  });

  open(
    call: UpstreamCall,
    signal: AbortSignal,
  ): Promise<Result<UpstreamAnswer, UpstreamError>> {
    if (signal.aborted) {
      return Promise.resolve(
        err({ kind: "canceled", message: "canceled before it was sent" }),
      );
    }
    const request = got.stream(call.url.replace(/\/$/, "") + call.path, {
      method: call.method as "POST",
      headers: { ...call.headers },
      body: call.body.length > 0 ? Buffer.from(call.body) : undefined,
      agent: { http: this.#agent },
      decompress: false,
      followRedirect: false,
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { connect: CONNECT_TIMEOUT_MS },
    });
    const abort = () => request.destroy();
    signal.addEventListener("abort", abort, { once: true });
    request.once("close", () => signal.removeEventListener("abort", abort));
    return firstAnswer(request, signal);
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }
}

function firstAnswer(
  request: Request,
  signal: AbortSignal,
): Promise<Result<UpstreamAnswer, UpstreamError>> {
  return new Promise((resolve) => {
    request.once("response", (response) => {
      resolve(
        ok({
          httpStatus: response.statusCode,
          headers: flatHeaders(response.headers),
          body: request,
        }),
      );
    });
    request.on(
      "error",
      (error: Error & { code?: string }) =>
        resolve(err(classify(error, signal))),
    );
    request.once(
      "close",
      () =>
        resolve(
          err({
            kind: signal.aborted ? "canceled" : "lost",
            message: "closed",
          }),
        ),
    );
  });
}

function classify(
  error: Error & { code?: string; event?: string },
  signal: AbortSignal,
): UpstreamError {
  if (signal.aborted) return { kind: "canceled", message: "canceled" };
  const connecting = CONNECT_ERRORS.has(error.code ?? "") ||
    (error.code === "ETIMEDOUT" && error.event === "connect");
  return {
    kind: connecting ? "unreachable" : "lost",
    message: `${error.code ?? error.name}: ${error.message}`,
  };
}

function flatHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return flat;
}
