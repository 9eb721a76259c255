/**
 * Forwards the body of an answer as it arrives, with backpressure.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Reply } from "./reply.ts";

/** Whether an answer arrived completely. */
export type PipeEnd = "whole" | "broken";

/** Whether the answer's headers tell where it ends; otherwise it ends with its connection. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Calls `onReset` if a connection is reset and not closed in order. Node reports a reset that follows the last bytes
 * closely as an ordinary end, so that an answer without a length would pass for complete. The kernel no longer has
 * the peer's address of a reset connection, but still has that of a closed one; the first read of `remoteAddress` asks
 * the kernel.
 */
function watchReset(socket: Socket, onReset: () => void): void {
  socket.once("error", onReset);
  socket.prependOnceListener("end", () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}

/**
 * Forwards the body of one reply, from one answer or, after a break, from several. It neither ends nor aborts the
 * reply.
 */
export abstract class BodyPipe {
  readonly #reply: Reply;
  readonly #onChunk: () => void;

  /** `onChunk` is called for each chunk that arrives, before it is forwarded. */
  constructor(reply: Reply, onChunk: () => void) {
    this.#reply = reply;
    this.#onChunk = onChunk;
  }

  /** Takes a chunk; returns the bytes that can be forwarded by now. */
  protected abstract takeChunk(chunk: Buffer): Buffer | undefined;

  /** Returns the remaining bytes of an answer that ended in order. */
  protected abstract flush(): Buffer | undefined;

  /** Forwards an answer's body until it ends or breaks off. */
  run(answer: IncomingMessage): Promise<PipeEnd> {
    return new Promise((resolve) => {
      let isOver = false;
      const finish = (result: PipeEnd) => {
        if (isOver) return;
        isOver = true;
        if (result === "whole") this.#write(answer, this.flush());
        resolve(result);
      };
      answer.on("data", (chunk: Buffer) => {
        if (isOver) return;
        this.#onChunk();
        this.#write(answer, this.takeChunk(chunk));
      });
      if (!isFramed(answer)) {
        watchReset(answer.socket, () => finish("broken"));
      }
      // An answer that was cut off also emits `end`; only `complete` tells that its last byte arrived.
      answer.on("end", () => finish(answer.complete ? "whole" : "broken"));
      answer.on("error", () => finish("broken"));
      answer.on("close", () => finish(answer.complete ? "whole" : "broken"));
    });
  }

  #write(answer: IncomingMessage, bytes: Buffer | undefined): void {
    if (bytes === undefined || bytes.length === 0) return;
    if (this.#reply.write(bytes)) return;
    answer.pause();
    this.#reply.onDrain(() => answer.resume());
  }
}

/** Forwards bytes as they arrive. */
export class RawPipe extends BodyPipe {
  protected takeChunk(chunk: Buffer): Buffer {
    return chunk;
  }

  protected flush(): undefined {
    return undefined;
  }
}

const EVENT_END = "\n\n";
const EVENT_ID = /^id: ?(.*)$/gm;

/**
 * Forwards complete events and remembers the id of the last one. An upstream may stop in the middle of an event; the
 * partial event is dropped, so that another upstream can resume after the last complete one.
 */
export class EventPipe extends BodyPipe {
  #partial: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;
  /** Complete events that were forwarded. */
  events = 0;

  /** The id of the last event that was forwarded. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Drops a partial event before another answer continues. */
  dropPartial(): void {
    this.#partial = Buffer.alloc(0);
  }

  protected takeChunk(chunk: Buffer): Buffer | undefined {
    const bytes = this.#partial.length === 0
      ? chunk
      : Buffer.concat([this.#partial, chunk]);
    const at = bytes.lastIndexOf(EVENT_END);
    if (at < 0) {
      this.#partial = bytes;
      return undefined;
    }
    const end = at + EVENT_END.length;
    this.#partial = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    for (const [, id] of whole.toString("latin1").matchAll(EVENT_ID)) {
      this.#lastEventId = id.trim();
      this.events++;
    }
    return whole;
  }

  protected flush(): Buffer {
    return this.#partial;
  }
}

/** Creates the pipe of a reply. `isResumable` if another upstream may continue the answer after a break. */
export function createPipe(
  reply: Reply,
  isResumable: boolean,
  onChunk: () => void,
): BodyPipe {
  return isResumable
    ? new EventPipe(reply, onChunk)
    : new RawPipe(reply, onChunk);
}
