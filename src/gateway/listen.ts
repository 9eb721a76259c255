/**
 * Opens and closes HTTP listeners.
 *
 * @module
 */

import {
  createServer,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import {
  ClientErrors,
  joinRequest,
  listenAt,
  PipelineLimiter,
  UnframedAnswers,
} from "../adapters/mod.ts";
import { codes } from "../base/mod.ts";
import type { Log } from "../kernel/mod.ts";

const INTERNAL_ERROR_STATUS = codes.internal.httpStatus;

const unframedAnswers = new WeakMap<Server, UnframedAnswers>();

/** Splits `IP:PORT`. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}

/** Makes a listener that outlives what `onRequest` throws: nothing else catches it, and it would end the process. */
function guard(onRequest: RequestListener, log: Log): RequestListener {
  return (request, response) => {
    try {
      onRequest(request, response);
    } catch (error) {
      const reason = (error as Error).stack ?? String(error);
      log.error("request failed with an internal error", {
        target: request.url,
        reason,
      });
      failInternally(response);
    }
  };
}

/** Statuses of requests that can't be read, by the code of Node's error; all others are bad requests. */
const UNREADABLE_STATUSES: Readonly<Record<string, string>> = {
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
};

function formatRefusal({ code }: NodeJS.ErrnoException): string {
  const status = UNREADABLE_STATUSES[code ?? ""] ?? "400 Bad Request";
  return `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`;
}

/** Answers a request that nothing else will answer. */
function failInternally(response: ServerResponse): void {
  if (response.headersSent) return void response.destroy();
  response.writeHead(INTERNAL_ERROR_STATUS, {
    "connection": "close",
    "content-length": 0,
  });
  response.end();
}

/** Opens a listener; fails if the address stays in use. */
export async function listen(
  address: string,
  options: ServerOptions,
  log: Log,
  onRequest: RequestListener,
): Promise<Server> {
  const server = createServer(
    { noDelay: true, ...options },
    guard(onRequest, log),
  );
  unframedAnswers.set(server, new UnframedAnswers(server));
  new ClientErrors(server, formatRefusal);
  new PipelineLimiter(server);
  server.on("request", (request) => joinRequest(request));
  const { host, port } = splitAddress(address);
  // New connections that exceed the queue in a burst are dropped, and retried by the client only seconds later.
  await listenAt(server, { host, port, backlog: 1024 });
  return server;
}

/** Closes a listener and all connections that are still open on it. */
export async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    unframedAnswers.get(server)?.reset();
    server.closeAllConnections();
  });
}
