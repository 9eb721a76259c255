/**
 * Collects a message that arrives in pieces, at a cost of memory that doesn't depend on the size of the pieces.
 *
 * @module
 */

/** Limits the memory of the buffers that are held at once for one purpose. */
export class ByteBudget {
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Bytes that are reserved now. */
  get bytes(): number {
    return this.#bytes;
  }

  tryReserve(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maxBytes) return false;
    this.#bytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#bytes -= bytes;
  }
}

/** What became of a piece. `tooLarge`: the message exceeds its bound. `noMemory`: the budget doesn't allow for more. */
export type AppendResult = "taken" | "tooLarge" | "noMemory";

/** Capacity of a buffer that begins to grow. */
const FIRST_CAPACITY_BYTES = 1_024;
const GROWTH = 2;
/** Growth where the budget doesn't allow for the usual one; still a factor, so that each byte is copied a few times. */
const SMALL_GROWTH = 1.125;

const EMPTY = Buffer.alloc(0);

/**
 * Copies the pieces of a message into one buffer that grows. A piece that is kept as it came costs some 200 bytes of
 * heap beside its payload, and may keep the larger buffer alive that it was cut from; pieces of one byte would fill the
 * heap long before a bound on their payload is reached.
 */
export class ByteCollector {
  readonly #maxBytes: number;
  readonly #budget: ByteBudget;
  #buffer = EMPTY;
  #bytes = 0;

  /** `maxBytes` bounds the message. The buffers' capacity is reserved of `budget`; without one the message has its own. */
  constructor(maxBytes: number, budget: ByteBudget = new ByteBudget(maxBytes)) {
    this.#maxBytes = maxBytes;
    this.#budget = budget;
  }

  /** Bytes that were appended and are still held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** What is held. It shares its memory with this collector, until that is closed. */
  get held(): Buffer {
    return this.#buffer.subarray(0, this.#bytes);
  }

  /** Copies a piece behind what is held; a piece that isn't taken changes nothing. */
  append(piece: Uint8Array): AppendResult {
    const neededBytes = this.#bytes + piece.length;
    if (neededBytes > this.#maxBytes) return "tooLarge";
    if (!this.#tryFit(neededBytes)) return "noMemory";
    this.#buffer.set(piece, this.#bytes);
    this.#bytes = neededBytes;
    return "taken";
  }

  /** Hands over what is held, which is no longer counted, and begins anew. */
  take(): Buffer {
    const { held } = this;
    this.close();
    return held;
  }

  /** Drops what is held. A small buffer is kept for the next message, as its allocation costs more than most of these. */
  clear(): void {
    if (this.#buffer.length > FIRST_CAPACITY_BYTES) this.close();
    this.#bytes = 0;
  }

  /** Drops what is held and gives its memory back. The collector can be used again. */
  close(): void {
    this.#budget.release(this.#buffer.length);
    this.#buffer = EMPTY;
    this.#bytes = 0;
  }

  #tryFit(neededBytes: number): boolean {
    const capacity = this.#buffer.length;
    if (neededBytes <= capacity) return true;
    if (capacity > 0) {
      return this.#tryGrow(neededBytes, capacity * GROWTH) ||
        this.#tryGrow(neededBytes, Math.ceil(capacity * SMALL_GROWTH));
    }
    return this.#tryGrow(neededBytes, FIRST_CAPACITY_BYTES) ||
      this.#tryGrow(neededBytes, neededBytes);
  }

  #tryGrow(neededBytes: number, wishedBytes: number): boolean {
    const capacity = Math.min(
      Math.max(neededBytes, wishedBytes),
      this.#maxBytes,
    );
    if (!this.#budget.tryReserve(capacity - this.#buffer.length)) return false;
    // A slice of Node's pool would keep the pool's buffer alive.
    const buffer = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(buffer, 0, 0, this.#bytes);
    this.#buffer = buffer;
    return true;
  }
}
