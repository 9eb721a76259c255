/**
 * A bound for the requests that a caller sends on one connection ahead of the answers.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { readOn } from "./read_gate.ts";

/** Clients that pipeline gain little from more, as answers come in order. */
const MOST_OPEN_REQUESTS = 2;
/** Part of each request's first line. */
const PROTOCOL_MARK = "HTTP/";
/** A shorter part of a read isn't cut off for itself; it holds three of the shortest requests at most. */
const MIN_PART_BYTES = 64;
const LINE_FEED = 0x0a;

type Parse = (bytes: Buffer) => void;

interface PausedByNode {
  /** Set by Node while the caller reads its answers too slowly; nothing may be parsed then. */
  readonly _paused?: boolean;
}

const feeds = new WeakMap<Duplex, RequestFeed>();

/** Whether bytes of a connection were read that wait for earlier requests to be answered. */
export function hasWaitingBytes(socket: Duplex): boolean {
  return feeds.get(socket)?.isWaiting ?? false;
}

/** How long the bytes that were parsed last on a connection had waited for earlier requests, in ms. */
export function waitedMs(socket: Socket): number {
  return feeds.get(socket)?.waitedMs ?? 0;
}

/**
 * Where the first part of a read ends. It completes at most one request beyond those of its first bytes, and doesn't
 * end inside a request's head, as the timeout for heads would then run while the rest waits.
 */
function findPartEnd(bytes: Buffer): number {
  const firstLine = bytes.indexOf(LINE_FEED, MIN_PART_BYTES - 1) + 1;
  if (firstLine === 0) return bytes.length;
  const mark = bytes.indexOf(PROTOCOL_MARK, firstLine);
  if (mark < 0) return bytes.length;
  return bytes.lastIndexOf(LINE_FEED, mark) + 1;
}

/** Bytes that were read at once. */
interface ReadBytes {
  readonly bytes: Buffer;
  readonly readMonoMs: number;
}

/** Hands what is read on one connection to Node's parser, as far as its requests may be open at once. */
class RequestFeed {
  readonly #socket: Socket;
  readonly #parse: Parse;
  #waiting: ReadBytes[] = [];
  #openRequests = 0;
  #newest: IncomingMessage | undefined;
  #next: NodeJS.Immediate | undefined;
  waitedMs = 0;

  constructor(socket: Socket, parse: Parse) {
    this.#socket = socket;
    this.#parse = parse;
  }

  get isWaiting(): boolean {
    return this.#waiting.length > 0;
  }

  take(bytes: Buffer): void {
    this.#waiting.push({ bytes, readMonoMs: performance.now() });
    // What waits already is parsed first, in its turn.
    if (!this.#next) this.#feed();
    if (this.isWaiting) this.#socket.pause();
  }

  noteRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#openRequests++;
    this.#newest = request;
    response.once("close", () => {
      this.#openRequests--;
      this.#feedSoon();
    });
  }

  /** Continues to read, once what waits is parsed. */
  resume(): void {
    if (this.isWaiting) this.#feedSoon();
    else if (!(this.#socket as PausedByNode)._paused) readOn(this.#socket);
  }

  close(): void {
    this.#waiting = [];
    clearImmediate(this.#next);
    this.#next = undefined;
  }

  /** The body of the newest request is read in any case, as it could not be answered otherwise. */
  get #isFull(): boolean {
    if ((this.#socket as PausedByNode)._paused) return true;
    return this.#openRequests >= MOST_OPEN_REQUESTS &&
      (this.#newest?.complete ?? true);
  }

  #feed(): void {
    while (this.isWaiting && !this.#isFull) this.#feedPart();
  }

  /** Feeds one part a turn of the event loop, so that requests which are refused at once don't hold up the others. */
  #feedSoon(): void {
    if (!this.isWaiting || this.#next || this.#isFull) return;
    this.#next = setImmediate(() => {
      this.#next = undefined;
      // The answer that was written last may have ended the connection.
      if (!this.#socket.writable) return this.close();
      // The read during which this was scheduled may have been parsed whole.
      if (this.isWaiting && !this.#isFull) this.#feedPart();
      this.resume();
    });
  }

  #feedPart(): void {
    const { bytes, readMonoMs } = this.#waiting.shift()!;
    const end = findPartEnd(bytes);
    if (end < bytes.length) {
      this.#waiting.unshift({ bytes: bytes.subarray(end), readMonoMs });
    }
    this.waitedMs = performance.now() - readMonoMs;
    this.#parse(bytes.subarray(0, end));
  }
}

/**
 * Parses no more requests of a connection than may be open at once, and leaves the others unread. Node parses all that
 * it reads, some hundreds of small requests, so that a few callers that don't read their answers fill the heap.
 */
export class PipelineLimiter {
  constructor(server: Server) {
    server.on("connection", (socket: Socket) => this.#follow(socket));
    server.prependListener("request", (request, response) => {
      feeds.get(request.socket)?.noteRequest(request, response);
    });
  }

  /** Takes the place of the listener by which Node parses what is read. */
  #follow(socket: Socket): void {
    const [parse] = socket.listeners("data") as Parse[];
    const feed = new RequestFeed(socket, parse);
    feeds.set(socket, feed);
    socket.off("data", parse);
    socket.on("data", (bytes: Buffer) => feed.take(bytes));
    // Node resumes the connection whenever it wants more of a request's body.
    socket.resume = () => {
      feed.resume();
      return socket;
    };
    socket.once("close", () => feed.close());
  }
}
