/**
 * Parses what is read of an answer in parts, so that nothing is parsed of it once its connection is closed.
 *
 * @module
 */

import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Part of a read while the head is awaited: most heads come in one or two, and few interim answers in each. */
const HEAD_PART_BYTES = 256;
/** Part of a read behind the head; most bodies come in one, and large ones in few. */
const BODY_PART_BYTES = 16_384;

/** Node's parser: returns how many bytes it took, or why it can't go on. */
interface Parser {
  execute(bytes: Buffer): number | Error;
}

interface ParsedSocket extends Socket {
  /** Set by Node while an answer is awaited on the connection. */
  readonly parser?: Parser | null;
}

/** Takes the place of the parser's `execute` while one answer is read. */
class PartParser {
  readonly #request: ClientRequest;
  readonly #socket: ParsedSocket;
  readonly #parser: Parser;
  #hasHead = false;

  constructor(request: ClientRequest, socket: ParsedSocket, parser: Parser) {
    this.#request = request;
    this.#socket = socket;
    this.#parser = parser;
    parser.execute = this.#parse;
    request.once("response", () => this.#hasHead = true);
    request.once("close", () => this.#close());
  }

  readonly #parse = (bytes: Buffer): number | Error => {
    if (this.#socket.parser !== this.#parser) {
      // Node uses the parser for another answer already.
      this.#close();
      return this.#parser.execute(bytes);
    }
    return this.#parseParts(bytes);
  };

  #parseParts(bytes: Buffer): number | Error {
    let at = 0;
    while (at < bytes.length && !this.#isClosed) {
      const partBytes = this.#hasHead ? BODY_PART_BYTES : HEAD_PART_BYTES;
      const part = bytes.subarray(at, at + partBytes);
      const result = this.#execute(part);
      if (typeof result !== "number") return result;
      at += result;
      if (result < part.length) return at;
    }
    return bytes.length;
  }

  /** Node's own method: an earlier answer's may be in its place until that is closed. */
  #execute(bytes: Buffer): number | Error {
    const { execute } = Object.getPrototypeOf(this.#parser) as Parser;
    return execute.call(this.#parser, bytes);
  }

  get #isClosed(): boolean {
    return this.#socket.destroyed || this.#request.destroyed;
  }

  /** Puts Node's own method back, unless a later answer has its own in that place. */
  #close(): void {
    const parser = this.#parser as Partial<Parser>;
    if (parser.execute === this.#parse) delete parser.execute;
  }
}

/**
 * Parses the answer to a request in parts from now on. Node parses all of a read even if the first of it closes the
 * connection: some thousand interim answers, or answers that nobody asked for, which hold up all other requests.
 */
export function parseAnswerInParts(
  request: ClientRequest,
  socket: Socket,
): void {
  const { parser } = socket as ParsedSocket;
  if (parser) new PartParser(request, socket, parser);
}
