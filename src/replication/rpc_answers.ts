/**
 * Reads JSON-RPC calls that arrive as HTTP requests, and sends their answers, within bounds of memory and time.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  createJSONRPCErrorResponse,
  JSONRPCErrorCode,
  type JSONRPCResponse,
  type JSONRPCServer,
} from "json-rpc-2.0";
import { readText, TooManyValuesError } from "../adapters/mod.ts";
import { ByteBudget, type Clock } from "../base/mod.ts";

/** Longest call of another VM, in bytes; these ask, and name what is known already. */
const MAX_CALL_BYTES = 1_048_576;
/** How long a call may take to arrive; VMs wait half as long for an answer that doesn't begin. */
const CALL_TEXT_WAIT_MS = 2_000;
/** How long a call may take, from its head until its answer is taken; its sender gives up about then. */
const CALL_WAIT_MS = 10_000;
/** Calls under way at once: two of each VM of a large region. */
const MAX_CALLS = 256;
/** Answers that are being sent, in bytes. */
const MAX_ANSWERS_BYTES = 33_554_432;

/** Who made a call. */
export interface CallOrigin {
  /** IP address; `undefined` if the connection is closed already. */
  readonly from: string | undefined;
}

/** Options of {@link RpcAnswers}. */
export interface RpcAnswersOptions {
  readonly server: JSONRPCServer<CallOrigin>;
  /** Memory for calls that are being read. */
  readonly callBudget: ByteBudget;
  readonly clock: Clock;
  /** Called if a call can't be answered. */
  readonly onFailure: (error: unknown) => void;
}

/** Answers calls, a bounded number of them at once. */
export class RpcAnswers {
  readonly #server: JSONRPCServer<CallOrigin>;
  readonly #callBudget: ByteBudget;
  readonly #clock: Clock;
  readonly #onFailure: (error: unknown) => void;
  readonly #answerBudget = new ByteBudget(MAX_ANSWERS_BYTES);
  #calls = 0;

  constructor({ server, callBudget, clock, onFailure }: RpcAnswersOptions) {
    this.#server = server;
    this.#callBudget = callBudget;
    this.#clock = clock;
    this.#onFailure = onFailure;
  }

  /** Reads a call and answers it. */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (socket.destroyed) return;
    if (this.#calls >= MAX_CALLS) return refuse(response);
    this.#calls++;
    const timer = this.#clock.after(CALL_WAIT_MS, () => socket.destroy());
    onceClosed(socket, response, () => {
      this.#calls--;
      timer.close();
    });
    this.#answer(request, response).catch((error) => {
      this.#onFailure(error);
      socket.destroy();
    });
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    const from = socket.remoteAddress;
    const text = await this.#read(request);
    // The library would hold an answer to each element of a batch; VMs send single calls.
    const answer = text === undefined || isBatch(text)
      ? refusalOf("batches and calls of many values are not answered")
      : await this.#server.receiveJSON(text, { from });
    if (!socket.destroyed) this.#send(socket, response, answer);
  }

  /** Reads a call; `undefined` if it has too many values. */
  async #read(request: IncomingMessage): Promise<string | undefined> {
    const { socket } = request;
    const timer = this.#clock.after(CALL_TEXT_WAIT_MS, () => socket.destroy());
    try {
      return await readText(request, {
        maxBytes: MAX_CALL_BYTES,
        budget: this.#callBudget,
      });
    } catch (error) {
      if (error instanceof TooManyValuesError) return undefined;
      throw error;
    } finally {
      timer.close();
    }
  }

  #send(
    socket: Socket,
    response: ServerResponse,
    answer: JSONRPCResponse | JSONRPCResponse[] | null,
  ): void {
    const body = Buffer.from(answer === null ? "" : JSON.stringify(answer));
    if (!this.#answerBudget.tryReserve(body.length)) return refuse(response);
    onceClosed(
      socket,
      response,
      () => this.#answerBudget.release(body.length),
    );
    response.setHeader("content-type", "application/json");
    response.end(body);
  }
}

/** Calls `run` once an answer is sent or given up. One that waits behind another answer doesn't tell that it is given up. */
function onceClosed(
  socket: Socket,
  response: ServerResponse,
  run: () => void,
): void {
  const close = () => {
    socket.off("close", close);
    response.off("close", close);
    run();
  };
  socket.on("close", close);
  response.on("close", close);
}

function isBatch(text: string): boolean {
  return text.trimStart().startsWith("[");
}

function refusalOf(message: string): JSONRPCResponse {
  return createJSONRPCErrorResponse(
    null,
    JSONRPCErrorCode.InvalidRequest,
    message,
  );
}

/** Refuses a call because of those of others. */
function refuse(response: ServerResponse): void {
  response.writeHead(503, { "content-length": 0, connection: "close" });
  response.end();
}
