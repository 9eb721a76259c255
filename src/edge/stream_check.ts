/**
 * Checks that a stream of events from an engine is one caller's whole answer: its own, in order, once, to its end.
 *
 * @module
 */

/** One server-sent event of an engine. */
export interface StreamEvent {
  /** The event's `id` field: its place in the stream, where the engine sends one. */
  readonly id?: string;
  readonly data: string;
}

/**
 * What to do with an event. `pass`: it is the caller's next one. `skip`: a repeat. `broken`: the stream cannot be
 * trusted from here on.
 */
export type StreamVerdict =
  | { readonly type: "pass" }
  | { readonly type: "skip" }
  | { readonly type: "end" }
  | { readonly type: "broken"; readonly reason: string };

const PASS: StreamVerdict = { type: "pass" };
const SKIP: StreamVerdict = { type: "skip" };
const FOREIGN_EVENT: StreamVerdict = {
  type: "broken",
  reason: "an event belongs to another answer",
};

/** The check of one stream over all its attempts. */
export class StreamCheck {
  #attemptId = "";
  #answerId: string | undefined;
  #hasAttemptId = false;
  #mustHaveAttemptId = false;
  #lastEventNumber: number | undefined;
  #hasEnded = false;

  /** Whether the engine said that the answer is whole. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }
  /** Place of the last event passed, where the engine numbers them; a resumed stream goes on after it. */
  get lastEventNumber(): number | undefined {
    return this.#lastEventNumber;
  }

  /**
   * A new attempt begins, or a resumed one. `echoed` says that the engine repeated the attempt's id in its headers: it
   * then names its answers by that id too, and one that it names otherwise is another request's.
   */
  startAttempt(attemptId: string, hasEchoedId: boolean): void {
    this.#attemptId = attemptId;
    this.#mustHaveAttemptId = hasEchoedId;
    this.#answerId = undefined;
    this.#hasAttemptId = false;
  }

  /** Decides on the attempt's next event. */
  next(event: StreamEvent): StreamVerdict {
    if (this.#hasEnded) return SKIP;
    if (event.data === "[DONE]") {
      this.#hasEnded = true;
      return { type: "end" };
    }
    const ownerVerdict = this.#checkOwner(event.data);
    return ownerVerdict ?? this.#checkOrder(event.id);
  }

  /**
   * An engine under load may put another request's tokens on this connection. The symptom is a fluent answer to someone
   * else's question. Engines name the answer in every event, after our attempt's id where they take it; a name that is
   * not the attempt's, or that changes, ends the stream before the event is passed on.
   */
  #checkOwner(data: string): StreamVerdict | undefined {
    if (this.#hasAttemptId && data.includes(this.#attemptId)) return undefined;
    const value = parse(data);
    if (!value) return { type: "broken", reason: "an event is not JSON" };
    if (value.error !== undefined) {
      return {
        type: "broken",
        reason: `the engine reported ${describeEngineError(value.error)}`,
      };
    }
    if (typeof value.id !== "string") {
      return { type: "broken", reason: "an event names no answer" };
    }
    if (this.#answerId === undefined) {
      this.#answerId = value.id;
      this.#hasAttemptId = value.id.includes(this.#attemptId);
      return this.#hasAttemptId || !this.#mustHaveAttemptId
        ? undefined
        : FOREIGN_EVENT;
    }
    return value.id === this.#answerId ? undefined : FOREIGN_EVENT;
  }

  #checkOrder(id: string | undefined): StreamVerdict {
    if (id === undefined || !/^\d+$/.test(id)) return PASS;
    const eventNumber = Number(id);
    if (
      this.#lastEventNumber !== undefined &&
      eventNumber <= this.#lastEventNumber
    ) return SKIP;
    if (
      this.#lastEventNumber !== undefined &&
      eventNumber !== this.#lastEventNumber + 1
    ) {
      return {
        type: "broken",
        reason: `event ${this.#lastEventNumber + 1} is missing`,
      };
    }
    this.#lastEventNumber = eventNumber;
    return PASS;
  }
}

function parse(data: string): { id?: unknown; error?: unknown } | undefined {
  try {
    const value = JSON.parse(data);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

function describeEngineError(error: unknown): string {
  const message = (error as { message?: unknown })?.message;
  return `an error: ${
    typeof message === "string" ? message.slice(0, 200) : "no message"
  }`;
}
