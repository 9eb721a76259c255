/**
 * One HTTP request to an upstream or another VM, with the information whether any of it was sent.
 *
 * @module
 */

import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { joinAnswer, parseAnswerInParts } from "../adapters/mod.ts";

/** A request to be sent. */
export interface ExchangeRequest {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** Empty if there is none. */
  readonly body: Buffer;
  /** Timeout for opening a connection, in ms. */
  readonly connectTimeoutMs: number;
}

/** Why no response came. `sent` says whether the other side can have received any of the request. */
export interface ExchangeFailure {
  readonly sent: boolean;
  readonly reason: string;
  /** Whether the connection was refused, so that no program listens there. */
  readonly isRefused?: boolean;
  /** Whether the request was not sent although nothing is wrong with the connection. */
  readonly isWithheld?: boolean;
}

/** The places of open connections in the order in which they were opened. */
const places = new WeakMap<Socket, number>();
let openedCount = 0;

function noteOpened(socket: Socket): void {
  places.set(socket, ++openedCount);
}

/** A request that is under way. */
export interface PendingExchange {
  /** The response once its headers have arrived, or why there is none. */
  readonly head: Promise<Result<IncomingMessage, ExchangeFailure>>;
  /**
   * The place of its connection in the order in which this process opened connections; `undefined` while there is none.
   */
  readonly connection: number | undefined;
  /** Whether all of the response has arrived, though it may not have been read. */
  readonly hasWholeAnswer: boolean;
  /** Aborts the request and closes its connection, so that the other side stops working. */
  cancel(reason: string): void;
}

/** Methods whose requests carry a `Content-Length` even when the body is empty. */
const METHODS_WITH_BODY = new Set(["POST", "PUT", "PATCH"]);

/** Interim responses (1xx) to one request after which no final one is expected. */
const MAX_INTERIM_RESPONSES = 8;

/** Sends a request when it is constructed, and records whether its connection was made. */
export class Exchange implements PendingExchange {
  readonly head: Promise<Result<IncomingMessage, ExchangeFailure>>;
  /** The last connection that had been opened when this request was made; 0 if there was none. */
  readonly lastBefore = openedCount;
  readonly #request: ClientRequest;
  #answer: IncomingMessage | undefined;
  #connected = false;
  #socket: Socket | undefined;
  #interimResponses = 0;

  constructor(options: ExchangeRequest) {
    const { agent, host, port, method, target, body } = options;
    const headers = [...options.headers];
    if (body.length > 0 || METHODS_WITH_BODY.has(method)) {
      headers.push("Content-Length", String(body.length));
    }
    this.#request = request({
      agent,
      host,
      port,
      method,
      path: target,
      headers,
    });
    this.head = new Promise((resolve) => {
      this.#request.on(
        "socket",
        (socket) => {
          parseAnswerInParts(this.#request, socket);
          this.#watchConnect(socket, options.connectTimeoutMs);
        },
      );
      this.#request.on("information", () => this.#noteInterim());
      this.#request.on("response", (answer) => {
        this.#answer = answer;
        joinAnswer(answer);
        resolve(ok(answer));
      });
      this.#request.on(
        "error",
        (error) =>
          resolve(
            err({
              sent: this.#connected,
              reason: error.message,
              isRefused:
                (error as NodeJS.ErrnoException).code === "ECONNREFUSED",
            }),
          ),
      );
      this.#request.on(
        "close",
        () => resolve(err({ sent: this.#connected, reason: "closed" })),
      );
    });
    this.#request.end(body);
  }

  get connection(): number | undefined {
    return this.#socket && places.get(this.#socket);
  }

  get hasWholeAnswer(): boolean {
    return this.#answer?.complete ?? false;
  }

  cancel(reason: string): void {
    const error = new Error(reason);
    // Node drops what was not read of a canceled request's answer, and would report an ordinary end of one that has arrived.
    this.#answer?.destroy(error);
    this.#request.destroy(error);
  }

  /** Each costs processor time, and an upstream may send them without end. */
  #noteInterim(): void {
    this.#interimResponses++;
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) {
      this.cancel("too many interim responses");
    }
  }

  /**
   * Node holds the bytes until the connection is made, so an attempt to connect that fails or takes too long has sent
   * nothing. A machine that is down answers no attempt; without this timeout the request would wait for the kernel's.
   */
  #watchConnect(socket: Socket, connectTimeoutMs: number): void {
    this.#socket = socket;
    if (!socket.connecting) {
      this.#connected = true;
      return;
    }
    const timer = setTimeout(
      () => this.cancel("connect timed out"),
      connectTimeoutMs,
    );
    socket.once("connect", () => {
      this.#connected = true;
      noteOpened(socket);
      clearTimeout(timer);
    });
    socket.once("close", () => clearTimeout(timer));
  }
}
