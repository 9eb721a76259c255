/**
 * An upstream that answers by the path of a request: in order, or without end.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { Socket } from "node:net";
import { listenAt } from "../src/adapters/mod.ts";
import {
  ANSWER_FLOODS,
  type AnswerFloodKind,
  isUnframed,
  openAnswer,
  repeatAnswer,
} from "./floods.ts";
import { writeWithoutEnd } from "./flood_writer.ts";
import type { Endpoint } from "./proxy.ts";

/** An upstream of the service whose upstreams flood. It holds no request and nothing of an answer that isn't taken. */
export class FloodUpstream {
  readonly #id: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  private constructor(id: string) {
    this.#id = id;
    this.#server = createServer((request, response) => {
      request.resume();
      request.on("error", () => {});
      request.on("end", () => {
        const [, , how, pieceBytes] = (request.url ?? "").split("/");
        if (isFloodKind(how)) this.#flood(request, how, Number(pieceBytes));
        else {
          response.writeHead(200, {
            "attempt-id": String(request.headers["attempt-id"]),
            "response-stamp": this.#id,
          }).end("served");
        }
      });
    });
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Opens an upstream at an address. */
  static async open(id: string, { host, port }: Endpoint) {
    const upstream = new FloodUpstream(id);
    await listenAt(upstream.#server, { host, port });
    return upstream;
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #flood(
    { socket, headers }: IncomingMessage,
    how: AnswerFloodKind,
    pieceBytes: number,
  ): void {
    socket.setNoDelay(isUnframed(how));
    socket.write(openAnswer(how, {
      attemptId: String(headers["attempt-id"]),
      stamp: this.#id,
    }));
    const repeated = Buffer.from(repeatAnswer(how, pieceBytes));
    void writeWithoutEnd(socket, () => repeated);
  }
}

function isFloodKind(how: string): how is AnswerFloodKind {
  return (ANSWER_FLOODS as readonly string[]).includes(how);
}
