/**
 * The order of answers on a connection whose caller sends requests before the ones ahead of them are answered.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { hasWaitingBytes } from "./pipeline_limiter.ts";

interface EndingAnswer {
  /** Set by Node once the head that ends the connection is written. */
  readonly _last?: boolean;
}

/** The answer to the newest request of each connection. */
const lastAnswers = new WeakMap<Socket, ServerResponse>();

/** Notes that an answer is due on its connection, after those that were noted before. */
export function noteAnswer(response: ServerResponse): void {
  lastAnswers.set(response.req.socket, response);
}

/** Whether no request, or part of one, has been read on the connection since that of this answer. */
export function isLastAnswer(response: ServerResponse): boolean {
  const { socket } = response.req;
  return lastAnswers.get(socket) === response && !hasWaitingBytes(socket);
}

/** Whether the answer before a request has said that it ends the connection, so that the request can't be answered. */
export function isAfterLastAnswer({ socket }: IncomingMessage): boolean {
  const before = lastAnswers.get(socket);
  return (before as EndingAnswer | undefined)?._last === true;
}
