/**
 * A bound for what is held of answers that callers don't read.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Socket } from "node:net";

const CHECK_MS = 250;
/**
 * A caller that takes nothing between so many checks may be reset while the bound is exceeded. They are counted, as a
 * process that is late has not offered its callers anything in between.
 */
const STALLED_CHECKS = 4;
/** The same far above the bound: memory may be full within a second. */
const FAR_STALLED_CHECKS = 2;
/** What Linux buffers of a connection that isn't read, unless it is configured otherwise. */
const MOST_BUFFERED_BYTES = 4_194_304;

/** A connection with bytes that its caller hasn't taken. */
export interface UnreadAnswer {
  /** Bytes that the process and the system hold for it, estimated. */
  readonly heldBytes: number;
  /** How long its caller has taken nothing. */
  readonly stalledMs: number;
}

/** What the bound needs. */
export interface UnreadAnswersOptions {
  /** Bytes that may be held for all connections together. */
  readonly mostBytes: () => number;
  /** Called for each connection that is reset. */
  readonly onReset: (answer: UnreadAnswer) => void;
}

class Unread implements UnreadAnswer {
  readonly socket: Socket;
  #takenBytes = 0;
  #changedMonoMs = performance.now();
  /** Checks since the caller has taken bytes. */
  stalledChecks = 0;

  constructor(socket: Socket) {
    this.socket = socket;
  }

  get heldBytes(): number {
    const { writableLength } = this.socket;
    if (writableLength === 0) return 0;
    return writableLength + Math.min(this.#takenBytes, MOST_BUFFERED_BYTES);
  }

  get stalledMs(): number {
    return performance.now() - this.#changedMonoMs;
  }

  /** Notes whether the caller has taken bytes since the last check. */
  check(): void {
    const { bytesWritten, writableLength } = this.socket;
    const takenBytes = bytesWritten - writableLength;
    this.stalledChecks++;
    if (takenBytes === this.#takenBytes && writableLength > 0) return;
    this.#takenBytes = takenBytes;
    this.#changedMonoMs = performance.now();
    this.stalledChecks = 0;
  }
}

/**
 * Resets the callers that have taken nothing of their answers for longest while too much is held for all of them. A
 * caller that is only slow keeps its connection, and so does a silent one as long as memory suffices.
 */
export class UnreadAnswers {
  readonly #unread = new Map<Socket, Unread>();
  readonly #options: UnreadAnswersOptions;
  readonly #timer: NodeJS.Timeout;

  constructor(server: Server, options: UnreadAnswersOptions) {
    this.#options = options;
    server.on("request", ({ socket }) => this.#follow(socket));
    this.#timer = setInterval(() => this.#check(), CHECK_MS).unref();
    server.once("close", () => this.close());
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Bytes that are held for all connections, estimated. */
  get heldBytes(): number {
    let sum = 0;
    for (const { heldBytes } of this.#unread.values()) sum += heldBytes;
    return sum;
  }

  #follow(socket: Socket): void {
    if (this.#unread.has(socket)) return;
    this.#unread.set(socket, new Unread(socket));
    socket.once("close", () => this.#unread.delete(socket));
  }

  #check(): void {
    for (const unread of this.#unread.values()) unread.check();
    let heldBytes = this.heldBytes;
    const mostBytes = this.#options.mostBytes();
    if (heldBytes <= mostBytes) return;
    for (const unread of this.#longestStalled()) {
      if (heldBytes <= mostBytes) return;
      const isFarAbove = heldBytes > 2 * mostBytes;
      const leastChecks = isFarAbove ? FAR_STALLED_CHECKS : STALLED_CHECKS;
      if (unread.stalledChecks < leastChecks) return;
      heldBytes -= unread.heldBytes;
      this.#reset(unread);
    }
  }

  #longestStalled(): Unread[] {
    return [...this.#unread.values()]
      .filter(({ heldBytes }) => heldBytes > 0)
      .sort((a, b) => b.stalledChecks - a.stalledChecks);
  }

  #reset(unread: Unread): void {
    const { heldBytes, stalledMs } = unread;
    this.#options.onReset({ heldBytes, stalledMs });
    this.#unread.delete(unread.socket);
    // An orderly close would leave the bytes in the system.
    unread.socket.resetAndDestroy();
  }
}
