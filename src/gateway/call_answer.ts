/**
 * The answer to one request as its caller gets it, from one upstream's answer or, after a break, from several.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { ByteBudget, Clock } from "../base/mod.ts";
import type { ServiceConfig } from "../routing/mod.ts";
import { type CallInput, pipeOptionsOf } from "./call_input.ts";
import type { CallPlacement } from "./call_placement.ts";
import type { CallRecord } from "./call_record.ts";
import type { CallSuspicion } from "./call_suspicion.ts";
import {
  type BodyPipe,
  createPipe,
  EventPipe,
  isEventStream,
  type PipeEnd,
} from "./pipe.ts";
import type { Reply } from "./reply.ts";
import type { Answered, Send } from "./send.ts";

/** Options of {@link CallAnswer}. */
export interface CallAnswerOptions {
  readonly clock: Clock;
  /** Memory for unfinished events of all streams. */
  readonly heldMemory: ByteBudget;
  readonly input: CallInput;
  readonly service: ServiceConfig;
  readonly reply: Reply;
  readonly placement: CallPlacement;
  readonly record: CallRecord;
  readonly suspicion: CallSuspicion;
}

/** Forwards upstreams' answers to a reply. */
export class CallAnswer {
  readonly #options: CallAnswerOptions;
  #pipe: BodyPipe | undefined;
  #send: Send | undefined;
  /** The answer that is being forwarded. */
  #forwarded: IncomingMessage | undefined;

  constructor(options: CallAnswerOptions) {
    this.#options = options;
  }

  /** The pipe, if another upstream can continue what it has forwarded. */
  get continuable(): EventPipe | undefined {
    const pipe = this.#pipe;
    return pipe instanceof EventPipe && pipe.canContinue ? pipe : undefined;
  }

  /** Whether an answer was taken for the reply, though none of it may have been sent. */
  get hasBegun(): boolean {
    return this.#pipe !== undefined;
  }

  /** Forgets an answer of which nothing was sent, so that another one takes its place. */
  restart(): void {
    this.#pipe?.close();
    this.#pipe = undefined;
  }

  /** Why an answer can't continue what has been forwarded; `undefined` if it can, or is the first one. */
  whyNotJoined({ answer, decoded }: Answered): string | undefined {
    if (!this.hasBegun) return undefined;
    if (decoded.status !== 200) return `resumed with status ${decoded.status}`;
    return isEventStream(answer, true)
      ? undefined
      : "resumed with an answer that is no stream";
  }

  /** Why the answer that was forwarded last doesn't continue those before it; `undefined` if it does. */
  get misfit(): string | undefined {
    return this.#pipe?.misfit;
  }

  /** Forwards the body of an answer until it ends or breaks off. */
  async forward(send: Send, answered: Answered): Promise<PipeEnd> {
    const { reply, record } = this.#options;
    record.noteAnswer(send, reply.hasBody);
    this.#send = send;
    if (this.#pipe instanceof EventPipe) this.#pipe.dropPartial();
    const pipe = this.#pipe ??= this.#start(send, answered);
    this.#forwarded = answered.answer;
    const end = await pipe.run(answered.answer);
    if (this.#forwarded) record.noteBody(pipe.report);
    this.#forwarded = undefined;
    return end;
  }

  /** Notes how far an answer has come that nobody waits for any more. */
  giveUp(): void {
    if (!this.#forwarded || !this.#pipe) return;
    this.#pipe.giveUp(this.#forwarded);
    this.#forwarded = undefined;
    this.#options.record.noteBody(this.#pipe.report);
  }

  /** Releases what is held of an answer. */
  close(): void {
    this.#pipe?.close();
  }

  /** Whether nothing but the end of its connection told where the last answer ended. */
  get endedWithConnection(): boolean {
    return this.#pipe?.report?.framing === "connection";
  }

  #start(send: Send, { answer, decoded }: Answered): BodyPipe {
    const {
      clock,
      heldMemory,
      reply,
      input,
      service,
      placement,
      record,
      suspicion,
    } = this.#options;
    reply.version = send.version;
    reply.isProcessOpen = send.process !== "confirmed" &&
      send.process !== "unknown";
    // The first answer may break off before its first event; then a later one brings it.
    reply.onBody(() => placement.origin.noteBegun(this.#send ?? send));
    const options = { ...pipeOptionsOf(input, service), heldMemory };
    const pipe = createPipe(reply, answer, options, () => {
      const nowMs = clock.monoMs();
      this.#send?.noteChunk(nowMs);
      record.noteChunk(nowMs);
      suspicion.noteChunk(nowMs);
    });
    const { status, headers, bodyBytes } = decoded;
    // A stream may end sooner than its length says, or go on elsewhere beyond it.
    reply.start(status, headers, pipe.isStream ? undefined : bodyBytes);
    return pipe;
  }
}
