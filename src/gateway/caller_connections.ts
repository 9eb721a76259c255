/**
 * The connections of a listener, and the answers that are still open on them.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Follows a listener's answers until the connection has taken all their bytes, or is closed. */
export class CallerConnections {
  /** Number of open answers by connection; 0 for a connection that waits for its next request. */
  readonly #openAnswers = new Map<Socket, number>();

  constructor(server: Server) {
    server.on("request", ({ socket }, response) => {
      this.#addAnswer(socket);
      // Emitted when the connection has taken the last byte, or is closed; `end` may have been called long before.
      response.once("close", () => this.#removeAnswer(socket));
    });
  }

  /** Number of requests whose answers are not written out yet. */
  get openAnswers(): number {
    let sum = 0;
    for (const count of this.#openAnswers.values()) sum += count;
    return sum;
  }

  #addAnswer(socket: Socket): void {
    const count = this.#openAnswers.get(socket);
    if (count === undefined) {
      socket.once("close", () => this.#openAnswers.delete(socket));
    }
    this.#openAnswers.set(socket, (count ?? 0) + 1);
  }

  #removeAnswer(socket: Socket): void {
    const count = this.#openAnswers.get(socket);
    if (count !== undefined) this.#openAnswers.set(socket, count - 1);
  }
}
