/**
 * Forwards the body of an answer as it arrives, with backpressure.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import {
  type ByteBudget,
  ByteCollector,
  type EventIdentity,
  EventScanner,
  findEvents,
  isHeaderValue,
} from "../base/mod.ts";
import { endBodiless, type Framing, framingOf } from "./framing.ts";
import type { Reply } from "./reply.ts";
import { StreamPosition } from "./stream_position.ts";

/** Whether an answer arrived completely. */
export type PipeEnd = "whole" | "broken";

/**
 * How the transfer of an answer ended. `cut`: before the end that its framing promises. `given up`: this side stopped
 * reading it, since its caller left, its deadline passed, or it doesn't continue what was forwarded.
 */
export type TransferEnd = "inOrder" | "reset" | "cut" | "given up";

/** What arrived of an answer's body, and how it ended. */
export interface BodyReport {
  readonly framing: Framing;
  readonly end: TransferEnd;
  readonly forwardedBytes: number;
  /** Bytes of an unfinished event that were held back. */
  readonly heldBytes: number;
  /** Whole events, counted over all answers that continued the stream; `undefined` if the body is no stream. */
  readonly events: number | undefined;
  /** Whether the body ended inside an event. */
  readonly isInsideEvent: boolean;
  /** What was concluded from it. */
  readonly conclusion: PipeEnd;
}

/** Listens to a connection until it is closed. An answer without a body leaves its connection to the next one. */
interface Watch {
  close(): void;
}

/**
 * Calls `onReset` if a connection is reset and not closed in order. Node reports a reset that follows the last bytes
 * closely as an ordinary end, so that an answer without a length would pass for complete. The kernel no longer has
 * the peer's address of a reset connection, but still has that of a closed one; the first read of `remoteAddress` asks
 * the kernel.
 */
function watchReset(socket: Socket, onReset: () => void): Watch {
  const onEnd = () => {
    if (socket.remoteAddress === undefined) onReset();
  };
  socket.once("error", onReset);
  socket.prependOnceListener("end", onEnd);
  return {
    close: () => void socket.off("error", onReset).off("end", onEnd),
  };
}

/**
 * Forwards the body of one reply, from one answer or, after a break, from several. It neither ends nor aborts the
 * reply.
 */
export abstract class BodyPipe {
  readonly #reply: Reply;
  readonly #onChunk: () => void;
  /** Reads along if the body is a stream of events. */
  protected readonly scanner: EventScanner | undefined;
  #forwardedBytes = 0;
  #report: BodyReport | undefined;
  #isGivenUp = false;

  /** `onChunk` is called for each chunk that arrives, before it is forwarded. */
  constructor(
    reply: Reply,
    onChunk: () => void,
    scanner: EventScanner | undefined,
  ) {
    this.#reply = reply;
    this.#onChunk = onChunk;
    this.scanner = scanner;
  }

  /** Whether the body is a stream of events, whose content tells whether it is over. */
  get isStream(): boolean {
    return this.scanner !== undefined;
  }

  /** What arrived of the last answer; `undefined` until one has ended. */
  get report(): BodyReport | undefined {
    return this.#report;
  }

  /** Takes a chunk; returns the bytes that can be forwarded by now. */
  protected abstract takeChunk(chunk: Buffer): Buffer | undefined;

  /** Whether more events are known to be due. */
  protected get lacksEvents(): boolean {
    return false;
  }

  /** Bytes that are held back. */
  protected abstract get heldBytes(): number;

  /** Why the last answer doesn't continue what was forwarded before it; `undefined` if it does, as far as known. */
  get misfit(): string | undefined {
    return undefined;
  }

  /** Releases what is held back. */
  close(): void {}

  /** Forwards an answer's body until it ends or breaks off. */
  async run(answer: IncomingMessage): Promise<PipeEnd> {
    this.#isGivenUp = false;
    const end = await this.#forwardBody(answer);
    if (this.#isGivenUp) return "broken";
    return this.#conclude(answer, end);
  }

  /** Notes that nobody waits for the rest of an answer. */
  giveUp(answer: IncomingMessage): void {
    this.#isGivenUp = true;
    this.#conclude(answer, "given up");
  }

  #conclude(answer: IncomingMessage, end: TransferEnd): PipeEnd {
    const isInsideEvent = this.scanner?.isInside ?? false;
    // An upstream that crashes may still close its connection, or end its chunks, in order.
    const isWhole = end === "inOrder" && !isInsideEvent && !this.lacksEvents;
    const conclusion: PipeEnd = isWhole ? "whole" : "broken";
    this.#report = {
      framing: framingOf(answer),
      end,
      forwardedBytes: this.#forwardedBytes,
      heldBytes: this.heldBytes,
      events: this.scanner?.events,
      isInsideEvent,
      conclusion,
    };
    return conclusion;
  }

  #forwardBody(
    answer: IncomingMessage,
  ): TransferEnd | Promise<TransferEnd> {
    if (framingOf(answer) !== "none") return this.#forward(answer);
    endBodiless(answer);
    return "inOrder";
  }

  #forward(answer: IncomingMessage): Promise<TransferEnd> {
    return new Promise((resolve) => {
      let isOver = false;
      let watch: Watch | undefined;
      const finish = (end: TransferEnd) => {
        isOver = true;
        watch?.close();
        resolve(end);
      };
      answer.on("data", (chunk: Buffer) => {
        if (isOver) return;
        this.#onChunk();
        const bytes = this.takeChunk(chunk);
        if (this.misfit !== undefined) return finish("given up");
        this.#write(answer, bytes);
      });
      if (framingOf(answer) === "connection") {
        watch = watchReset(answer.socket, () => finish("reset"));
      }
      // An answer that was cut off also emits `end`; only `complete` tells that its last byte arrived.
      const finishByComplete = () =>
        finish(answer.complete ? "inOrder" : "cut");
      answer.on("end", finishByComplete);
      answer.on("error", () => finish("cut"));
      answer.on("close", finishByComplete);
    });
  }

  #write(answer: IncomingMessage, bytes: Buffer | undefined): void {
    if (bytes === undefined || bytes.length === 0) return;
    this.#forwardedBytes += bytes.length;
    if (this.#reply.write(bytes)) return;
    answer.pause();
    this.#reply.onDrain(() => answer.resume());
  }
}

/** Forwards bytes as they arrive. */
export class RawPipe extends BodyPipe {
  protected readonly heldBytes = 0;

  protected takeChunk(chunk: Buffer): Buffer {
    this.scanner?.scan(chunk);
    return chunk;
  }
}

/**
 * Bytes of an unfinished event that are held back at most. A longer event is passed on as it comes, so that one stream
 * can't use up the memory of a VM.
 */
const MAX_HELD_BYTES = 1_048_576;

/**
 * Forwards complete events and remembers the last one. An upstream may stop in the middle of an event; the
 * partial event is dropped, so that another upstream can resume after the last complete one.
 */
export class EventPipe extends BodyPipe {
  readonly #scanner: EventScanner;
  /** The unfinished event, as far as it was read and not passed on. */
  readonly #partial: ByteCollector;
  #lastEvent: EventIdentity | undefined;
  /** Events after which the stream can be whole: one that broke off inside an event lacks at least that one. */
  #leastEvents = 0;
  /** Whether part of the unfinished event has been passed on, so that nobody can begin it again. */
  #isPassingEvent = false;
  readonly #position: StreamPosition;
  /** Whether the next event is the first one of an answer that has to continue the stream. */
  #isJoining: boolean;
  /** Events that were forwarded of earlier answers. */
  #joinedEvents = 0;
  #misfit: string | undefined;

  /** `resumesAfter` is the id of the last event that the caller has from an earlier try. */
  constructor(
    reply: Reply,
    onChunk: () => void,
    scanner: EventScanner,
    { heldMemory, resumesAfter }: PipeOptions,
  ) {
    super(reply, onChunk, scanner);
    this.#scanner = scanner;
    this.#partial = new ByteCollector(MAX_HELD_BYTES, heldMemory);
    this.#position = new StreamPosition(resumesAfter);
    this.#isJoining = resumesAfter !== undefined;
  }

  /** Complete events that were forwarded. */
  get events(): number {
    return this.#scanner.events;
  }

  /** The id of the last event that was forwarded. */
  get lastEventId(): string | undefined {
    return this.#lastEvent?.id;
  }

  /** Whether another upstream can be told where to continue; after an event without an id it would repeat that. */
  get canContinue(): boolean {
    if (this.#isPassingEvent || !this.#position.isGrowing) return false;
    if (this.#lastEvent === undefined) return true;
    const { id } = this.#lastEvent;
    return id !== undefined && isHeaderValue(id);
  }

  override get misfit(): string | undefined {
    return this.#misfit;
  }

  /** Drops a partial event before another answer continues. */
  dropPartial(): void {
    if (this.#scanner.hasOpenEvent) this.#leastEvents = this.events + 1;
    this.#partial.close();
    this.#scanner.reset();
    this.#misfit = undefined;
    this.#isJoining = true;
    this.#joinedEvents = this.events;
  }

  /** Forgets an answer of which nothing was forwarded. */
  #dropAnswer(): void {
    this.#partial.close();
    this.#scanner.reset();
    this.#scanner.events = this.#joinedEvents;
  }

  protected override get lacksEvents(): boolean {
    return this.events < this.#leastEvents;
  }

  protected get heldBytes(): number {
    return this.#partial.bytes;
  }

  protected takeChunk(chunk: Buffer): Buffer | undefined {
    const end = this.#scanner.scan(chunk);
    if (end === 0) return this.#takeUnfinished(chunk);
    const whole = this.#joinHeld(chunk.subarray(0, end));
    const text = whole.toString("latin1");
    // What remains of an event that was passed on in part may begin within a line, and look like a field there.
    const events = findEvents(this.#isPassingEvent ? `-${text}` : text);
    if (!this.#joins(events)) return undefined;
    for (const event of events) this.#position.note(event);
    // The id of an event whose beginning was passed on before isn't known here.
    const lastAfterLong = this.#isPassingEvent ? { id: undefined } : undefined;
    this.#lastEvent = events.at(-1) ?? lastAfterLong ?? this.#lastEvent;
    this.#isPassingEvent = false;
    if (end === chunk.length) return whole;
    const rest = this.#takeUnfinished(chunk.subarray(end));
    return rest === undefined ? whole : Buffer.concat([whole, rest]);
  }

  /** Checks the first event of an answer that has to continue the stream. */
  #joins(events: readonly EventIdentity[]): boolean {
    if (!this.#isJoining || events.length === 0) return true;
    this.#isJoining = false;
    this.#misfit = this.#position.whyNotNext(events[0]);
    if (this.#misfit === undefined) return true;
    this.#dropAnswer();
    return false;
  }

  /** Holds one more chunk of the unfinished event, unless the event, or all streams' events together, get too large. */
  #takeUnfinished(chunk: Buffer): Buffer | undefined {
    const isHeld = !this.#isPassingEvent &&
      this.#partial.append(chunk) === "taken";
    if (isHeld) return undefined;
    this.#isPassingEvent = true;
    return this.#joinHeld(chunk);
  }

  /** Returns what is held, with `bytes` behind it, and holds it no longer. */
  #joinHeld(bytes: Buffer): Buffer {
    if (this.#partial.bytes === 0) return bytes;
    const joined = Buffer.concat([this.#partial.held, bytes]);
    this.#partial.clear();
    return joined;
  }

  override close(): void {
    this.#partial.close();
  }
}

/** Whether the body of an answer is a stream of events. */
export function isEventStream(
  { headers, statusCode }: IncomingMessage,
  isStreamRoute: boolean,
): boolean {
  // The lines of a compressed body can't be read.
  if (headers["content-encoding"] !== undefined) return false;
  const type = headers["content-type"];
  if (type === undefined) return isStreamRoute && statusCode === 200;
  return type.toLowerCase().startsWith("text/event-stream");
}

/** The route's properties that decide how an answer is forwarded. */
export interface PipeOptions {
  /** Whether the route's answers are streams of events, if they don't say what they are. */
  readonly isStreamRoute: boolean;
  /** Whether another upstream may continue the answer after a break. */
  readonly isResumable: boolean;
  /** The last event that the caller has from an earlier try; `undefined` if the answer begins the stream. */
  readonly resumesAfter: string | undefined;
  /** Memory for unfinished events of all streams. */
  readonly heldMemory: ByteBudget;
}

/** Creates the pipe of a reply, by the first answer that is forwarded to it. */
export function createPipe(
  reply: Reply,
  answer: IncomingMessage,
  options: PipeOptions,
  onChunk: () => void,
): BodyPipe {
  const scanner = isEventStream(answer, options.isStreamRoute)
    ? new EventScanner()
    : undefined;
  return options.isResumable && scanner && answer.statusCode === 200
    ? new EventPipe(reply, onChunk, scanner, options)
    : new RawPipe(reply, onChunk, scanner);
}
