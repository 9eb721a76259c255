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

/**
 * Has `reject` end connections on which unreadable bytes arrive. If they follow a request that was read whole and is not
 * answered, that may run: its answer comes first, and the connection ends after it. A refusal of the later bytes would be
 * taken for its answer, or for a part of an answer that has begun.
 */
export function rejectUnreadableBytes(
  server: Server,
  reject: RejectUnreadable,
): void {
  /** The last answer that each connection waits for or is writing. */
  const openResponses = new WeakMap<Duplex, ServerResponse>();
  const lastResponses = new WeakSet<ServerResponse>();
  server.on("request", ({ socket }, response) => {
    openResponses.set(socket, response);
    response.once("close", () => {
      if (openResponses.get(socket) === response) openResponses.delete(socket);
    });
  });
  server.on("clientError", (error, socket) => {
    const response = openResponses.get(socket);
    const hasAnswer = response?.req.complete || response?.headersSent;
    if (!socket.writable || !response || !hasAnswer) {
      return reject(error, socket);
    }
    if (lastResponses.has(response)) return;
    lastResponses.add(response);
    closeAfter(response, socket);
  });
}

function closeAfter(response: ServerResponse, socket: Duplex): void {
  if (!response.headersSent) response.setHeader("connection", "close");
  response.once("finish", () => socket.end());
}
