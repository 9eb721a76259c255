/**
 * Bytes on a caller's connection that are no request of HTTP.
 *
 * @module
 */

import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Ends a connection whose bytes can't be read, with an answer if it can still take one. */
export type RejectUnreadable = (
  error: NodeJS.ErrnoException,
  socket: Duplex,
) => void;

/** The code of Node's error for a head that doesn't arrive in time. */
const LATE_HEAD_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Follows the answers that are due on each connection. */
class DueAnswers {
  readonly #bySocket = new WeakMap<Duplex, Set<ServerResponse>>();

  constructor(server: Server) {
    server.on("request", ({ socket }, response) => {
      const due = this.#bySocket.get(socket) ?? new Set();
      this.#bySocket.set(socket, due.add(response));
      response.once("close", () => due.delete(response));
    });
  }

  /** The last answer that is due to a request that was read whole, or has begun. */
  last(socket: Duplex): ServerResponse | undefined {
    return [...this.#bySocket.get(socket) ?? []]
      .filter(({ req, headersSent }) => req.complete || headersSent)
      .at(-1);
  }
}

/**
 * Has `reject` end connections on which unreadable bytes arrive. If they follow requests that were read whole and are not
 * answered, those may run: their answers come first, and the connection ends after them. A refusal of the later bytes
 * would be taken for an answer to one of them, or for a part of an answer that has begun.
 */
export function rejectUnreadableBytes(
  server: Server,
  reject: RejectUnreadable,
): void {
  const answers = new DueAnswers(server);
  const lastResponses = new WeakSet<ServerResponse>();
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const response = answers.last(socket);
    if (!socket.writable || !response) return reject(error, socket);
    if (lastResponses.has(response)) return;
    lastResponses.add(response);
    const isLate = error.code === LATE_HEAD_CODE;
    // The rest of a late head may still come, and its request must not be closed off.
    if (!isLate && !response.headersSent) {
      response.setHeader("connection", "close");
    }
    response.once("close", () => {
      if (!answers.last(socket)) socket.end();
    });
  });
}
