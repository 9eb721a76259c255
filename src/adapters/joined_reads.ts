/**
 * Joins the small pieces of a message that arrive in one read, and measures what they cost.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { PieceJoiner } from "./piece_joiner.ts";
import { type ReadMeter, readShare } from "./read_share.ts";

/** A piece from this size on is passed on as it is. */
const LARGE_PIECE_BYTES = 1_024;

/**
 * Joins the small pieces of a message behind the first one of a read. Node hands over each chunk of a body on its own; a
 * read that is full of chunks of one byte would cost as much as thousands of reads.
 */
abstract class JoinedReads {
  protected readonly message: IncomingMessage;
  readonly #meter: ReadMeter;
  readonly #joiner = new PieceJoiner();
  readonly #push: IncomingMessage["push"];
  #isFlushDue = false;
  #isMeasuring = false;

  /** Call it when the head has arrived, and nothing of the body. */
  constructor(message: IncomingMessage) {
    this.message = message;
    this.#meter = readShare.meterOf(message.socket);
    this.#push = message.push.bind(message);
    // Node's parser calls this with each piece, and with `null` at the end.
    message.push = (piece: Buffer | null) =>
      piece === null ? this.#end() : this.#add(piece);
  }

  /** Calls `run` when the parser is through with a read. */
  protected abstract afterRead(run: () => void): void;

  /** Whether a read begins with the piece that has just arrived; asked once for each piece. */
  protected abstract beginsRead(): boolean;

  #add(piece: Buffer): boolean {
    this.#meter.countPiece();
    const isFirst = this.beginsRead();
    const isLarge = piece.length >= LARGE_PIECE_BYTES;
    const isAlone = (isFirst || isLarge) && this.#joiner.bytes === 0;
    // Most reads hold one event, and looking at the clock costs more than the rest of this.
    if (isFirst) this.#isMeasuring = false;
    if (isAlone && !isLarge) return this.#push(piece);
    this.#measure(piece.length);
    if (isAlone) return this.#pass(piece);
    this.#joiner.add(piece);
    if (!this.#isFlushDue) {
      this.#isFlushDue = true;
      this.afterRead(this.#flush);
    }
    return this.#joiner.bytes < this.message.readableHighWaterMark;
  }

  #measure(bytes: number): void {
    if (this.#isMeasuring) this.#meter.noteHandled();
    else this.#meter.beginRead();
    this.#isMeasuring = true;
    this.#meter.noteBytes(bytes);
  }

  #pass(piece: Buffer): boolean {
    const isTaken = this.#push(piece);
    this.#meter.noteHandled();
    return isTaken;
  }

  readonly #flush = (): void => {
    this.#isFlushDue = false;
    const joined = this.#joiner.take();
    if (!joined || this.message.destroyed) return;
    this.#meter.beginRead();
    this.#pass(joined);
  };

  #end(): boolean {
    const joined = this.#joiner.take();
    if (joined) this.#pass(joined);
    // The connection may be kept for another message.
    this.#meter.release();
    return this.#push(null);
  }
}

/** Joins the pieces of an answer. Node parses it within one callback for each read, and ticks run behind that. */
class AnswerReads extends JoinedReads {
  #isInRead = false;

  protected afterRead(run: () => void): void {
    process.nextTick(run);
  }

  protected beginsRead(): boolean {
    if (this.#isInRead) return false;
    this.#isInRead = true;
    process.nextTick(this.#endRead);
    return true;
  }

  readonly #endRead = (): void => {
    this.#isInRead = false;
  };
}

/** Joins the pieces of a request's body. Node's parser makes a callback of its own of each, and ticks run in between. */
class RequestReads extends JoinedReads {
  /** Bytes read of the connection when the last piece arrived. */
  #bytesRead = -1;

  protected afterRead(run: () => void): void {
    setImmediate(run);
  }

  protected beginsRead(): boolean {
    const { bytesRead } = this.message.socket;
    const isNew = bytesRead !== this.#bytesRead;
    this.#bytesRead = bytesRead;
    return isNew;
  }
}

/** Joins the small pieces of an answer whose head has just arrived. */
export function joinAnswer(answer: IncomingMessage): void {
  new AnswerReads(answer);
}

/** Joins the small pieces of the body of a request whose head has just arrived. */
export function joinRequest(request: IncomingMessage): void {
  new RequestReads(request);
}
