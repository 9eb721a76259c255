/**
 * The answer to a request, sent to its caller or to the VM that relayed it.
 *
 * @module
 */

import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { isLastAnswer, noteAnswer } from "../adapters/mod.ts";
import { type CodeName, codes, type Failure, isNumber } from "../base/mod.ts";
import { encodeFailure } from "../platform/mod.ts";

const CR = 0x0d;
const LF = 0x0a;

/** The head of an answer, which is sent with the body's first bytes or its end. */
interface PendingHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** The reply to one request. It ends once: with an answer, a failure, or an aborted connection. */
export abstract class Reply {
  protected readonly response: ServerResponse;
  readonly #isDraining: () => boolean;
  #isDisconnected = false;
  #hasBody = false;
  #pendingHead: PendingHead | undefined;
  #framesChunks = false;
  #onBody: () => void = () => {};
  #onDisconnect: (() => void) | undefined;
  /** Version of the software of the upstream that answers, for the VM that relayed the request. */
  version: string | undefined;
  /** Whether that upstream is still asked if it is the process that its entry describes, as the version holds only then. */
  isProcessOpen = false;

  /** Once `isDraining` returns true, the connection is closed after the last answer that is due on it. */
  constructor(response: ServerResponse, isDraining: () => boolean) {
    this.response = response;
    this.#isDraining = isDraining;
    response.sendDate = false;
    noteAnswer(response);
    const { socket } = response.req;
    // Node emits `close` on the response only when this side is closed too, some turns of a busy event loop after the
    // socket's `end`.
    const onEnd = () => this.#noteDisconnect();
    socket.once("end", onEnd);
    // Node emits nothing on a response that still waits for the one before it.
    socket.once("close", onEnd);
    response.on("close", () => {
      socket.off("end", onEnd).off("close", onEnd);
      this.#noteDisconnect();
    });
    response.on("error", () => {});
  }

  /** Sets what to do when the other side disconnects before the answer is complete. */
  onDisconnect(run: () => void): void {
    this.#onDisconnect = run;
  }

  /** Adds what to do when the answer is over, complete or not. */
  onClosed(run: () => void): void {
    this.response.on("close", run);
  }

  /** Whether the other side disconnected before the answer was complete. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  #noteDisconnect(): void {
    if (this.#isDisconnected || this.response.writableFinished) return;
    this.#isDisconnected = true;
    this.#onDisconnect?.();
  }

  /** Sets what to do when the first events, or another part of the body, are sent. */
  onBody(run: () => void): void {
    this.#onBody = run;
  }

  /** Whether the other side was sent events, or another part of the body. */
  get hasBody(): boolean {
    return this.#hasBody;
  }

  /** Whether part of an answer was sent, so that no other can follow. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /**
   * Takes an upstream's status and headers; `bodyBytes` is the body's length, if known. They are sent with the body's
   * first bytes, or its end: until then another answer can take their place.
   */
  start(
    status: number,
    headers: readonly string[],
    bodyBytes: number | undefined,
  ): void {
    this.#pendingHead = {
      status,
      headers: bodyBytes === undefined
        ? headers
        : [...headers, "Content-Length", String(bodyBytes)],
    };
  }

  #sendHead(): void {
    if (!this.#pendingHead) return;
    const { status, headers } = this.#pendingHead;
    this.#pendingHead = undefined;
    const closing = this.closesConnection ? ["Connection", "close"] : [];
    this.response.writeHead(status, [...headers, ...closing]);
    // Node hands the size, the data and two line ends of a chunk to the socket one by one. Events are short, so that this
    // costs more than copying them into one buffer.
    this.#framesChunks = this.response.chunkedEncoding;
    this.response.chunkedEncoding = false;
  }

  /** Forgets the head of an answer in whose place another one is sent; bytes that still come of it are dropped by Node. */
  protected dropHead(): void {
    this.#pendingHead = undefined;
  }

  /** Sends bytes; `false` means that the other side reads too slowly: wait for {@link Reply.onDrain}. */
  write(chunk: Buffer): boolean {
    this.#sendHead();
    const isFirst = !this.#hasBody;
    this.#hasBody = true;
    const isTaken = this.response.write(
      this.#framesChunks ? frameChunk(chunk) : chunk,
    );
    if (isFirst) this.#onBody();
    return isTaken;
  }

  onDrain(run: () => void): void {
    this.response.once("drain", run);
  }

  /** Ends a complete answer. */
  end(): void {
    this.#sendHead();
    // Node then sends the chunk that ends the body.
    if (this.#framesChunks) this.response.chunkedEncoding = true;
    this.response.end();
  }

  /** Closes the connection of an answer that can't be completed, so that it does not look complete. */
  abort(): void {
    const { req } = this.response;
    // An answer to HTTP/1.0 has no chunks: only a reset tells its caller that more was due.
    if (req.httpVersionMinor === 0) req.socket.resetAndDestroy();
    else this.response.destroy();
  }

  /** Answers with a failure of the gateway itself. */
  abstract fail(
    failure: Failure,
    comeBackMs: number,
    details?: FailureDetails,
  ): void;

  /** Whether the connection is closed after this answer; a pipelined request that was read has to be answered too. */
  protected get closesConnection(): boolean {
    return this.#isDraining() && isLastAnswer(this.response);
  }
}

const LINE_END_BYTES = 2;

/** Encodes one chunk of a body in chunks; it must not be empty, which would end the body. */
export function frameChunk(chunk: Buffer): Buffer {
  const size = `${chunk.length.toString(16)}\r\n`;
  const bytes = size.length + chunk.length + LINE_END_BYTES;
  const frame = Buffer.allocUnsafe(bytes);
  frame.write(size, "latin1");
  frame.set(chunk, size.length);
  frame[bytes - 2] = CR;
  frame[bytes - 1] = LF;
  return frame;
}

/** What is sent to the VM that relayed the request besides the failure. */
export interface FailureDetails {
  /** How many upstreams received the request. */
  readonly arrivals: number;
  /** The upstream that crashed as the request began to run there. */
  readonly crashedUpstream: string | undefined;
}

/** A reply to a caller. */
export class CallerReply extends Reply {
  fail(failure: Failure, comeBackMs: number): void {
    this.dropHead();
    const { status, headers, body } = encodeFailure(failure, comeBackMs);
    // A caller that stopped in the middle of its body would hold its connection and its place among open requests
    // forever.
    if (this.closesConnection || !this.response.req.complete) {
      headers.push("Connection", "close");
    }
    this.response.writeHead(status, headers);
    this.response.end(body);
  }
}

/** The headers that VMs send each other; those of these names from a caller are not read. */
export const RELAY_HEADERS = {
  /** How long the request may still take, in ms. */
  waitMs: "ibisgap-wait-ms",
  /** Version of the configuration that the sender decided on. */
  configVersion: "ibisgap-config",
  /** Maximum upstreams that the request may still be sent to. */
  mostUpstreams: "ibisgap-most-upstreams",
  /** Digest of the caller's key; the key itself is never sent. */
  keyDigest: "ibisgap-key-digest",
  /** Result code of a failure of the answering VM; absent on upstreams' answers. */
  code: "ibisgap-code",
  /** Whether the request may have run. */
  ran: "ibisgap-ran",
  /** When the caller should retry, in ms. */
  comeBackMs: "ibisgap-come-back-ms",
  /** How many upstreams received the request before it failed. */
  arrivals: "ibisgap-arrivals",
  /** The upstream that crashed under the request. */
  endedUpstream: "ibisgap-ended-upstream",
  /** Set if the sender holds the permission for the request's trial run, although upstreams crashed under it. */
  onTrial: "ibisgap-on-trial",
  /**
   * Version of an upstream's software, percent-encoded: in a request the only one that may run it, in an answer that of
   * the upstream that answers.
   */
  version: "ibisgap-version",
  /** Set if it is not known yet whether the answering process has that version; the VM that answers may be asked. */
  openProcess: "ibisgap-open-process",
} as const;

/** Encodes the header that names a version; none if `version` is `undefined`. */
export function encodeVersion(version: string | undefined): string[] {
  return version === undefined
    ? []
    : [RELAY_HEADERS.version, encodeURIComponent(version)];
}

/** Decodes the version that another VM named; `undefined` if it named none. */
export function decodeVersion(
  headers: IncomingHttpHeaders,
): string | undefined {
  const text = headers[RELAY_HEADERS.version];
  if (typeof text !== "string") return undefined;
  try {
    return decodeURIComponent(text);
  } catch {
    // Not encoded by a VM, so it names no version that an upstream could have.
    return undefined;
  }
}

/** A reply to another VM, which answers the caller. */
export class PeerReply extends Reply {
  override start(
    status: number,
    headers: readonly string[],
    bodyBytes: number | undefined,
  ): void {
    super.start(
      status,
      [
        ...headers,
        ...encodeVersion(this.version),
        ...(this.isProcessOpen ? [RELAY_HEADERS.openProcess, "1"] : []),
      ],
      bodyBytes,
    );
  }

  fail(
    failure: Failure,
    comeBackMs: number,
    { arrivals, crashedUpstream }: FailureDetails = {
      arrivals: 0,
      crashedUpstream: undefined,
    },
  ): void {
    this.dropHead();
    this.response.writeHead(codes[failure.code].httpStatus, [
      RELAY_HEADERS.code,
      failure.code,
      RELAY_HEADERS.ran,
      failure.ran,
      RELAY_HEADERS.comeBackMs,
      String(comeBackMs),
      RELAY_HEADERS.arrivals,
      String(arrivals),
      ...(crashedUpstream === undefined
        ? []
        : [RELAY_HEADERS.endedUpstream, crashedUpstream]),
      "Content-Length",
      "0",
      ...(this.closesConnection ? ["Connection", "close"] : []),
    ]);
    this.response.end();
  }
}

/** A failure that another VM answered with. */
export interface PeerFailure {
  readonly failure: Failure;
  readonly comeBackMs: number;
  /** How many upstreams received the request there. */
  readonly arrivals: number;
  /** The upstream that crashed under it there. */
  readonly crashedUpstream: string | undefined;
}

/** Decodes a number that is not negative; 0 if it is none. */
function decodeCount(text: unknown): number {
  const count = Number(text);
  return isNumber(count) && count > 0 ? count : 0;
}

/** Decodes a failure that another VM answered with; `undefined` if it forwarded an upstream's answer. */
export function decodePeerFailure(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): PeerFailure | undefined {
  const code = headers[RELAY_HEADERS.code];
  if (typeof code !== "string") return undefined;
  const codeName = Object.hasOwn(codes, code) ? code as CodeName : "internal";
  const ran = headers[RELAY_HEADERS.ran];
  const crashed = headers[RELAY_HEADERS.endedUpstream];
  return {
    failure: {
      code: codeName,
      ran: ran === "no" || ran === "yes" ? ran : "unknown",
      message: codes[codeName].text,
    },
    comeBackMs: decodeCount(headers[RELAY_HEADERS.comeBackMs]),
    arrivals: decodeCount(headers[RELAY_HEADERS.arrivals]),
    crashedUpstream: typeof crashed === "string" ? crashed : undefined,
  };
}
