/**
 * The HTTP listener for callers. It opens before the services start, so that its port can be announced to other VMs.
 * Until the edge sets its handler, it refuses requests with the reason that this VM is starting.
 *
 * @module
 */

import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  CallerConnections,
  ClientErrors,
  listenAt,
  noteAnswer,
  PipelineLimiter,
  UnframedAnswers,
} from "../adapters/mod.ts";
import { areHeaders, failure } from "../base/mod.ts";
import { sendFailure } from "./answer.ts";

/** Time within which the headers must arrive completely; Node closes the connection otherwise. */
const HEADERS_TIMEOUT_MS = 10_000;
/**
 * How long an idle connection is kept open. This is longer than common clients keep one, so that the client closes it
 * and no request is sent on a connection that the server is closing.
 */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** The address to listen on and the maximum size of a request's headers. */
export interface ListenerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly headerBytes: number;
}

/** The callers' HTTP server, created by {@link openListener}. */
export class CallerListener {
  readonly #server: Server;
  readonly #unframedAnswers: UnframedAnswers;
  readonly #connections: CallerConnections;
  #handler: RequestListener = (_request, response) => {
    response.setHeader("connection", "close");
    sendFailure(
      response,
      failure("noTable", { message: "this VM is starting" }),
      Date.now(),
    );
  };

  /** Use {@link openListener}. */
  constructor(headerBytes: number) {
    const settings = {
      maxHeaderSize: headerBytes,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    };
    this.#server = createServer(
      settings,
      (request, response) => {
        if (areHeaders(request.rawHeaders)) this.#handler(request, response);
        else sendFailure(response, failure("badRequest"), Date.now());
      },
    );
    this.#unframedAnswers = new UnframedAnswers(this.#server);
    this.#connections = new CallerConnections(this.#server);
    new ClientErrors(this.#server, formatRefusal);
    new PipelineLimiter(this.#server);
    this.#server.prependListener(
      "request",
      (_request, response) => noteAnswer(response),
    );
  }

  /** The `host` and `port` that the server listens on. */
  get address(): { readonly host: string; readonly port: number } {
    const { address, port } = this.#server.address() as AddressInfo;
    return { host: address, port };
  }

  /** Passes all requests to `handler` from now on. */
  setHandler(handler: RequestListener): void {
    this.#handler = handler;
  }

  /** Closes connections on which no request is open and no answer is left to write. */
  closeIdleConnections(): void {
    this.#connections.closeIdle();
  }

  /** Starts to listen; use {@link openListener}. */
  open(host: string, port: number): Promise<void> {
    return listenAt(this.#server, { host, port });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    if (!this.#server.listening) return;
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#unframedAnswers.reset();
    this.#server.closeAllConnections();
    await closed;
  }
}

/** Opens the callers' listener. */
export async function openListener(
  options: ListenerOptions,
): Promise<CallerListener> {
  const listener = new CallerListener(options.headerBytes);
  await listener.open(options.host, options.port);
  return listener;
}

/** Formats a refusal with a numeric result code also for a request that can't be parsed. */
function formatRefusal({ code, message }: NodeJS.ErrnoException): string {
  const isTooLarge = code === "HPE_HEADER_OVERFLOW";
  const status = isTooLarge
    ? "431 Request Header Fields Too Large"
    : "400 Bad Request";
  const resultCode = isTooLarge ? 2013 : 2001;
  const body = JSON.stringify({
    error: { message, code: resultCode, ran: "no" },
  });
  return [
    `HTTP/1.1 ${status}`,
    "content-type: application/json",
    `x-ibisgap-code: ${resultCode}`,
    `content-length: ${Buffer.byteLength(body)}`,
    "connection: close",
    "",
    body,
  ].join("\r\n");
}
