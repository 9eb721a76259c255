/**
 * Passes an answer's bytes on as they arrive, with back-pressure.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Reply } from "./reply.ts";

/** Whether an answer came to its end. */
export type PipeEnd = "whole" | "broken";

/** Whether the answer says itself where it ends; otherwise it ends with its connection. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Tells a reset connection from one that was closed in order. Node shows a reset that follows its last bytes closely as
 * an ordinary end, and an answer without a length would pass for whole. The kernel no longer knows the peer of a reset
 * connection, and still knows that of a closed one; `remoteAddress` asks it the first time it is read.
 */
function watchReset(socket: Socket, onReset: () => void): void {
  socket.once("error", onReset);
  socket.prependOnceListener("end", () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}

/** Passes one reply's bytes on, from one answer or, after a break, from several. It neither ends nor breaks the reply. */
export abstract class BodyPipe {
  readonly #reply: Reply;
  readonly #onChunk: () => void;

  /** `onChunk` is called for each chunk that arrives, before it is passed on. */
  constructor(reply: Reply, onChunk: () => void) {
    this.#reply = reply;
    this.#onChunk = onChunk;
  }

  /** What of the bytes so far can be passed on. */
  protected abstract takeChunk(chunk: Buffer): Buffer | undefined;

  /** What is left when the answer ended in order. */
  protected abstract flush(): Buffer | undefined;

  /** Passes an answer's body on until it ends or breaks. */
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
      // An answer that was cut also ends; only `complete` tells that its last byte was there.
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

/** Passes bytes on as they come. */
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
 * Passes whole events on and remembers the last one's id. An upstream may stop in the middle of an event; the part is
 * dropped, so that another upstream can go on after the last whole one.
 */
export class EventPipe extends BodyPipe {
  #partial: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;
  /** Whole events that were passed on. */
  events = 0;

  /** The id of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Drops a part of an event, before another answer goes on. */
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

/** Passes an answer on; `needsEvents` if it may go on from another upstream after a break. */
export function createPipe(
  reply: Reply,
  isResumable: boolean,
  onChunk: () => void,
): BodyPipe {
  return isResumable
    ? new EventPipe(reply, onChunk)
    : new RawPipe(reply, onChunk);
}
