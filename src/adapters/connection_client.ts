/**
 * An `undici` client for one connection, which tells an answer that was broken off from a complete one.
 *
 * @module
 */

import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";

/** The error code of a connection that the upstream reset. */
const UPSTREAM_RESET = "ERR_UPSTREAM_RESET";

/** The client of one connection to an upstream. It carries one request at a time. */
export class ConnectionClient extends Client {
  /** Continues the current answer if it waits for its reader. */
  #resumeAnswer: () => void = () => {};
  #wasReset = false;

  constructor(origin: URL, options: Client.Options) {
    const connect = options.connect as buildConnector.connector;
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connect(target, (...result) => {
          const [, socket] = result;
          if (socket) this.#watch(socket);
          callback(...result);
        }),
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandlers,
  ): boolean {
    const onHeaders = handler.onHeaders?.bind(handler);
    handler.onHeaders = (httpStatus, headers, resume, statusText) => {
      this.#resumeAnswer = resume;
      return onHeaders?.(httpStatus, headers, resume, statusText) ?? true;
    };
    const onData = handler.onData?.bind(handler);
    // Resuming an answer yields an empty chunk first. It must not make the answer wait again.
    handler.onData = (chunk) => chunk.length === 0 || (onData?.(chunk) ?? true);
    const onComplete = handler.onComplete?.bind(handler);
    handler.onComplete = (trailers) => {
      if (!this.#wasReset) return onComplete?.(trailers);
      handler.onError?.(new Error("the connection was reset"));
    };
    return super.dispatch(options, handler);
  }

  /** Follows how a connection ends. These listeners run before those of `undici`, which are added later. */
  #watch(socket: Socket): void {
    this.#wasReset = false;
    socket.once("error", renameReset);
    socket.once("end", () => {
      this.#wasReset = isWithoutPeer(socket);
      // `undici` finishes an answer without a length here, and fails an assertion if the answer waits for its reader.
      // That would end the process.
      this.#resumeAnswer();
    });
  }
}

/**
 * Gives a reset another error code before `undici` sees it. `undici` takes the code `ECONNRESET` for the end of an
 * answer without a length, so that a part would pass for the whole. Other errors break the answer.
 */
function renameReset(error: Error & { code?: string }): void {
  if (error.code === "ECONNRESET") error.code = UPSTREAM_RESET;
}

/**
 * Whether an ended connection was reset. Node reports a reset that closely follows the last bytes as an ordinary end.
 * The kernel no longer has the peer's address of a reset connection, but still has that of one that ended in order. The
 * first read of `remoteAddress` asks the kernel, so it must not be read earlier.
 */
function isWithoutPeer(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
