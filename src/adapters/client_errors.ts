/**
 * Requests that can't be read: malformed ones, and those whose head doesn't arrive in time.
 *
 * @module
 */

import type { Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { hasWaitingBytes } from "./pipeline_limiter.ts";

/** Formats the whole answer to a request that can't be read, by Node's error. */
export type FormatRefusal = (error: NodeJS.ErrnoException) => string;

/**
 * Refuses requests that can't be read, and closes their connections, once the requests before them are answered. Node
 * itself would write the refusal at once, as the answer to a request that is running.
 */
export class ClientErrors {
  readonly #openAnswers = new WeakMap<Duplex, Set<ServerResponse>>();
  /** Connections that are closed after the answers that are open on them; each further byte is an error too. */
  readonly #refused = new WeakSet<Duplex>();
  readonly #formatRefusal: FormatRefusal;

  constructor(server: Server, formatRefusal: FormatRefusal) {
    this.#formatRefusal = formatRefusal;
    server.on("request", ({ socket }, response) => {
      const open = this.#openAnswersOf(socket);
      open.add(response);
      response.once("close", () => open.delete(response));
    });
    server.on(
      "clientError",
      (error, socket) => this.#onError(error, socket),
    );
  }

  #openAnswersOf(socket: Duplex): Set<ServerResponse> {
    let open = this.#openAnswers.get(socket);
    if (!open) {
      open = new Set();
      this.#openAnswers.set(socket, open);
    }
    return open;
  }

  /** The answers to requests that were read whole, in order; one that wasn't is the one that can't be read. */
  #answersAhead(socket: Duplex): ServerResponse[] {
    return [...this.#openAnswersOf(socket)].filter(({ req }) => req.complete);
  }

  #onError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const last = this.#answersAhead(socket).at(-1);
    if (error.code === "ECONNRESET" || !last) {
      return this.#refuse(error, socket);
    }
    if (this.#refused.has(socket)) return;
    this.#refused.add(socket);
    last.once("close", () => {
      this.#refused.delete(socket);
      // A head that was late may have arrived meanwhile.
      const mayHaveArrived = this.#answersAhead(socket).length > 0 ||
        hasWaitingBytes(socket);
      if (mayHaveArrived) return;
      this.#refuse(error, socket);
    });
  }

  #refuse(error: NodeJS.ErrnoException, socket: Duplex): void {
    const hasBegun = [...this.#openAnswersOf(socket)]
      .some(({ headersSent }) => headersSent);
    if (!socket.writable || error.code === "ECONNRESET" || hasBegun) {
      return void socket.destroy();
    }
    socket.end(this.#formatRefusal(error), () => socket.destroy());
  }
}
