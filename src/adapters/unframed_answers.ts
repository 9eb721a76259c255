/**
 * Answers to callers of HTTP/1.0, which have no chunks and end with their connection.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Follows a listener's unfinished answers to HTTP/1.0, whose callers would take an orderly close for the end. */
export class UnframedAnswers {
  readonly #sockets = new Set<Socket>();

  constructor(server: Server) {
    server.on("request", ({ httpVersionMinor, socket }, response) => {
      if (httpVersionMinor > 0) return;
      this.#sockets.add(socket);
      response.once("finish", () => this.#sockets.delete(socket));
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  /** Resets the connections of answers that are unfinished. */
  reset(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }
}
