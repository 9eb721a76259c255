/**
 * Calls HTTP upstreams with `undici`: engines with the OpenAI-compatible protocol, and plain services.
 *
 * `got`, which the rest of the daemon uses, takes more CPU time per stream and more time to the first token than
 * `undici`; docs/design/edge.md has the figures.
 *
 * @module
 */

import { Readable } from "node:stream";
import { err, ok, type Result } from "neverthrow";
import { Agent, type Client, type Dispatcher, Pool } from "undici";
import { areHeaders, hasBody } from "../base/mod.ts";
import { ConnectionClient } from "./connection_client.ts";
import { isNotSent } from "./not_sent.ts";
import {
  type UpstreamAnswer,
  type UpstreamCall,
  UpstreamClient,
  type UpstreamError,
} from "./upstream.ts";

const CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_STALL_TIMEOUT_MS = 15_000;
/** HTTP has no status above; undici itself waits for a status of 200 at least. */
const MAX_FINAL_STATUS = 599;

/** The {@link UpstreamClient} for HTTP upstreams. */
export class HttpUpstreamClient extends UpstreamClient {
  readonly #agent: Dispatcher.ComposedDispatcher;
  /** The signals of calls whose bytes have started to be sent. */
  readonly #startedSignals = new WeakSet<AbortSignal>();

  /**
   * A body that receives nothing for `stallMs` is ended with an error. Otherwise the slot of a hung upstream would never
   * be released.
   */
  constructor(stallMs = DEFAULT_STALL_TIMEOUT_MS) {
    super();
    // There is no timeout for the headers, because the edge ends that wait. Each connection carries one request at a
    // time, so that answers stay separate.
    const agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: stallMs,
      pipelining: 1,
      factory: (origin, options) =>
        new Pool(origin, { ...options, factory: createClient }),
    });
    this.#agent = agent.compose((dispatch) => (options, handler) => {
      const { signal } = options as Dispatcher.RequestOptions;
      const onConnect = handler.onConnect?.bind(handler);
      // undici calls this when it writes the request to a connection; before that the request waits for a connection.
      handler.onConnect = (abort) => {
        if (signal instanceof AbortSignal && !signal.aborted) {
          this.#startedSignals.add(signal);
        }
        onConnect?.(abort);
      };
      return dispatch(options, handler);
    });
  }

  async open(
    call: UpstreamCall,
    signal: AbortSignal,
  ): Promise<Result<UpstreamAnswer, UpstreamError>> {
    if (signal.aborted) return err(this.#cancelError(signal));
    const { origin, pathname } = new URL(call.url);
    try {
      const answer = await this.#agent.request({
        origin,
        path: pathname.replace(/\/$/, "") + call.path,
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body.length > 0 ? call.body : null,
        signal,
      });
      // The reader of the body gets the error. When there is no reader, an unhandled error would end the process.
      answer.body.on("error", () => {});
      return readAnswer(answer);
    } catch (error) {
      if (signal.aborted) return err(this.#cancelError(signal));
      return err(classifyError(error as Error & { code?: string }));
    }
  }

  hasSent(signal: AbortSignal): boolean {
    return this.#startedSignals.has(signal);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #cancelError(signal: AbortSignal): UpstreamError {
    return this.hasSent(signal)
      ? { kind: "canceled", message: "canceled" }
      : { kind: "withdrawn", message: "canceled before it was sent" };
  }
}

function createClient(origin: URL, options: Client.Options): ConnectionClient {
  return new ConnectionClient(origin, options);
}

/** Turns what `undici` read into an answer; what can't be passed on counts as lost. */
function readAnswer(
  { statusCode, headers, body }: Dispatcher.ResponseData,
): Result<UpstreamAnswer, UpstreamError> {
  const flat = flattenHeaders(headers);
  const fault = statusCode > MAX_FINAL_STATUS
    ? `no final status: ${statusCode}`
    : areHeaders(Object.entries(flat).flat())
    ? undefined
    : "malformed headers";
  if (fault) {
    body.destroy();
    return err({ kind: "lost", message: `the answer has ${fault}` });
  }
  if (hasBody(statusCode)) {
    return ok({ httpStatus: statusCode, headers: flat, body });
  }
  // `undici` waits for a body where the head promises one, though the status has none.
  body.destroy();
  delete flat["content-length"];
  return ok({ httpStatus: statusCode, headers: flat, body: Readable.from([]) });
}

function classifyError(error: Error & { code?: string }): UpstreamError {
  return {
    kind: isNotSent(error) ? "unreachable" : "lost",
    message: `${error.code ?? error.name}: ${error.message}`,
  };
}

function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    flat[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return flat;
}
