/**
 * The requests that are open at the edge, and how each of them is ended when this VM's planned stop is over.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { hasEnded } from "./answer.ts";

/** A request from its arrival until its handler has returned and its answer is written out. */
export class OpenRequest {
  readonly response: ServerResponse;
  /** Ends the request with an answer when the planned stop is over. It gets the URLs of other VMs. */
  onStop: (goTo: readonly string[]) => void = () => {};
  readonly #left = new AbortController();
  readonly #stopped = new AbortController();
  readonly #onOver: () => void;
  #isHandled = false;
  #isClosed = false;

  /** `onOver` is called when nothing is left to do. */
  constructor(response: ServerResponse, onOver: () => void) {
    this.response = response;
    this.#onOver = onOver;
    // Emitted when the connection has taken the last byte, or is closed; `end` may have been called long before.
    response.once("close", () => {
      this.#isClosed = true;
      if (!response.writableFinished) this.#left.abort();
      if (this.#isHandled) onOver();
    });
  }

  /** Aborted when the caller disconnects, or the planned stop is over. */
  get signal(): AbortSignal {
    return this.#left.signal;
  }

  /** Aborted when the planned stop is over. */
  get stopSignal(): AbortSignal {
    return this.#stopped.signal;
  }

  /** Notes that the handler has returned. */
  noteHandled(): void {
    this.#isHandled = true;
    if (this.#isClosed) this.#onOver();
  }

  /** Ends the request because the planned stop is over; returns whether its answer was not whole by then. */
  stop(goTo: readonly string[]): boolean {
    if (this.#isHandled) return false;
    const wasAnswered = hasEnded(this.response);
    this.onStop(goTo);
    this.#stopped.abort();
    this.#left.abort();
    return !wasAnswered;
  }
}

/** All open requests of an edge. */
export class OpenRequests {
  readonly #requests = new Map<ServerResponse, OpenRequest>();

  get size(): number {
    return this.#requests.size;
  }

  /** Follows a request that has arrived. */
  add(response: ServerResponse): OpenRequest {
    const request = new OpenRequest(
      response,
      () => this.#requests.delete(response),
    );
    this.#requests.set(response, request);
    return request;
  }

  /** The request that a response belongs to. */
  get(response: ServerResponse): OpenRequest {
    return this.#requests.get(response)!;
  }

  /** Ends all requests because the planned stop is over; returns how many had no whole answer by then. */
  stop(goTo: readonly string[]): number {
    return [...this.#requests.values()].filter((request) => request.stop(goTo))
      .length;
  }
}
