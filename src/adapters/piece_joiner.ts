/**
 * Joins small pieces of a message.
 *
 * @module
 */

/** A first copy has room for this many bytes. */
const FIRST_BYTES = 1_024;

/** Joins pieces into one buffer. A piece of one byte costs some hundred times as much on its own. */
export class PieceJoiner {
  /** The only piece so far, which needs no copy. */
  #single: Buffer | undefined;
  #copy: Buffer | undefined;
  #bytes = 0;

  /** Bytes that were added and not taken. */
  get bytes(): number {
    return this.#bytes;
  }

  add(piece: Buffer): void {
    if (this.#bytes === 0) this.#single = piece;
    else this.#append(piece);
    this.#bytes += piece.length;
  }

  #append(piece: Buffer): void {
    const bytes = this.#bytes + piece.length;
    if (!this.#copy || this.#copy.length < bytes) this.#grow(bytes);
    this.#copy!.set(piece, this.#bytes);
  }

  #grow(leastBytes: number): void {
    const copy = Buffer.allocUnsafeSlow(Math.max(FIRST_BYTES, 2 * leastBytes));
    const before = this.#copy ?? this.#single!;
    copy.set(before.subarray(0, this.#bytes));
    this.#copy = copy;
    this.#single = undefined;
  }

  /** Returns all that was added, and forgets it; `undefined` if there is nothing. */
  take(): Buffer | undefined {
    if (this.#bytes === 0) return undefined;
    const joined = this.#single ?? this.#copy!.subarray(0, this.#bytes);
    this.#single = undefined;
    this.#copy = undefined;
    this.#bytes = 0;
    return joined;
  }
}
