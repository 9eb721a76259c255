/**
 * The order of answers on a connection whose caller sends requests before the ones ahead of them are answered.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The answer to the newest request of each connection. */
const lastAnswers = new WeakMap<Socket, ServerResponse>();

/** Notes that an answer is due on its connection, after those that were noted before. */
export function noteAnswer(response: ServerResponse): void {
  lastAnswers.set(response.req.socket, response);
}

/** Whether no request has been read on the connection since that of this answer. */
export function isLastAnswer(response: ServerResponse): boolean {
  return lastAnswers.get(response.req.socket) === response;
}
