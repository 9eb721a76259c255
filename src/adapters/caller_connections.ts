/**
 * The connections of a listener, and the answers that are still open on them.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";
import { hasWaitingBytes } from "./pipeline_limiter.ts";

/** What is known of a connection on which a request has arrived. */
interface ConnectionState {
  openAnswers: number;
  /** Bytes that had been read when the last answer was written out. */
  answeredAtBytes: number;
}

/** Follows a listener's answers until the connection has taken all their bytes, or is closed. */
export class CallerConnections {
  readonly #states = new Map<Socket, ConnectionState>();

  constructor(server: Server) {
    server.on("request", ({ socket }, response) => {
      const state = this.#stateOf(socket);
      state.openAnswers++;
      // Emitted when the connection has taken the last byte, or is closed; `end` may have been called long before.
      response.once("close", () => {
        state.openAnswers--;
        state.answeredAtBytes = socket.bytesRead;
      });
    });
  }

  /** Number of requests whose answers are not written out yet; those that wait on a connection count as one. */
  get openAnswers(): number {
    let sum = 0;
    for (const [socket, { openAnswers }] of this.#states) {
      sum += openAnswers;
      if (hasWaitingBytes(socket)) sum++;
    }
    return sum;
  }

  /**
   * Closes the connections that have been used and have neither an open answer nor the beginning of a request. Node's
   * own method also closes those whose answer was ended and not written out, and its caller would lose the rest.
   */
  closeIdle(): void {
    for (const [socket, { openAnswers, answeredAtBytes }] of this.#states) {
      const isIdle = openAnswers === 0 &&
        socket.bytesRead === answeredAtBytes && !hasWaitingBytes(socket);
      if (isIdle) socket.destroy();
    }
  }

  #stateOf(socket: Socket): ConnectionState {
    let state = this.#states.get(socket);
    if (!state) {
      state = { openAnswers: 0, answeredAtBytes: 0 };
      this.#states.set(socket, state);
      socket.once("close", () => this.#states.delete(socket));
    }
    return state;
  }
}
