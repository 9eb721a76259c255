/**
 * Checks that an engine's stream of events is the complete answer to one request: that each event belongs to it, comes
 * in order and only once, and that the stream reaches its end.
 *
 * @module
 */

/** One server-sent event of an engine. */
export interface StreamEvent {
  /** The event's `id` field, which is its number in the stream if the engine sends one. */
  readonly id?: string;
  readonly data: string;
}

/**
 * What to do with an event. `pass`: forward it, it is the next one. `skip`: drop it, it is a repeat. `end`: the answer
 * is complete. `broken`: neither this event nor the rest of the stream can be trusted.
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

const BEGUN_ANEW: StreamVerdict = {
  type: "broken",
  reason: "the engine began the answer anew",
};

const OTHER_SOFTWARE: StreamVerdict = {
  type: "broken",
  reason: "the engine's software has changed",
};

/** Checks the events of one call's stream across all its attempts. */
export class StreamCheck {
  #attemptId = "";
  #answerId: string | undefined;
  #hasAttemptId = false;
  #mustHaveAttemptId = false;
  /** Names the software that began the stream; absent if the engine doesn't name it. */
  #fingerprint: string | undefined;
  #firstEventNumber: number | undefined;
  #lastEventNumber: number | undefined;
  /** Whether the last event that passed had a number, so that the engine can be told to go on after it. */
  #isLastNumbered = false;
  /** Whether the next event has to go on where an earlier answer broke off. */
  #isResuming = false;
  #hasEnded = false;

  /** Whether the engine marked the answer as complete. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }
  /** Number of the last event that passed, if it had one. A resumed stream continues after it. */
  get lastEventNumber(): number | undefined {
    return this.#isLastNumbered ? this.#lastEventNumber : undefined;
  }

  /**
   * Starts the check of a new or resumed attempt. `hasEchoedId` is true if the engine echoed the attempt's id in its
   * headers. Such an engine also puts it into the id of the answer, so an answer with another id is another request's.
   */
  startAttempt(attemptId: string, hasEchoedId: boolean): void {
    this.#attemptId = attemptId;
    this.#mustHaveAttemptId = hasEchoedId;
    this.#answerId = undefined;
    this.#hasAttemptId = false;
    this.#isResuming = this.#lastEventNumber !== undefined;
  }

  /** Checks the next event of the attempt. */
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
   * Checks that an event belongs to this answer. An engine under load may send another request's tokens on this
   * connection; the caller would get a well-formed answer to another caller's request. Engines put the id of the answer
   * into every event, and engines that accept the attempt's id include it there. If the id is not the attempt's, or if
   * it changes, the stream counts as broken before the event is forwarded.
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
      if (!this.#isSoftwareSame(value.system_fingerprint)) {
        return OTHER_SOFTWARE;
      }
      this.#answerId = value.id;
      this.#hasAttemptId = value.id.includes(this.#attemptId);
      return this.#hasAttemptId || !this.#mustHaveAttemptId
        ? undefined
        : FOREIGN_EVENT;
    }
    return value.id === this.#answerId ? undefined : FOREIGN_EVENT;
  }

  /**
   * Checks at the first event of an answer that the software is the one that began the stream: an engine may have come
   * back as another release, whose text doesn't go on where that of the one before ended.
   */
  #isSoftwareSame(sent: unknown): boolean {
    const fingerprint = typeof sent === "string" ? sent : undefined;
    if (this.#isResuming) return fingerprint === this.#fingerprint;
    this.#fingerprint = fingerprint;
    return true;
  }

  #checkOrder(id: string | undefined): StreamVerdict {
    const eventNumber = id !== undefined && /^\d+$/.test(id)
      ? Number(id)
      : undefined;
    if (this.#isResuming && this.#beginsAnew(eventNumber)) return BEGUN_ANEW;
    this.#isResuming = false;
    if (eventNumber === undefined) {
      this.#isLastNumbered = false;
      return PASS;
    }
    return this.#checkNumber(eventNumber);
  }

  /** Whether the first event of a resumed answer is not one of the run that broke off, as after a restart of its engine. */
  #beginsAnew(eventNumber: number | undefined): boolean {
    return eventNumber === undefined ||
      eventNumber <= (this.#firstEventNumber ?? -Infinity);
  }

  #checkNumber(eventNumber: number): StreamVerdict {
    const last = this.#lastEventNumber;
    if (last !== undefined && eventNumber <= last) return SKIP;
    if (last !== undefined && eventNumber !== last + 1) {
      return { type: "broken", reason: `event ${last + 1} is missing` };
    }
    this.#firstEventNumber ??= eventNumber;
    this.#lastEventNumber = eventNumber;
    this.#isLastNumbered = true;
    return PASS;
  }
}

/** The fields of an event that are checked. */
interface EventFields {
  readonly id?: unknown;
  readonly error?: unknown;
  readonly system_fingerprint?: unknown;
}

function parse(data: string): EventFields | undefined {
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
