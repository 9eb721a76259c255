/**
 * A model of event streams that break off and go on: what upstreams send, and what the caller must get of it.
 *
 * @module
 */

import { createParser } from "eventsource-parser";
import fc from "fast-check";

/** How the ids of a stream's events grow. */
export type IdStyle =
  | "from 0"
  | "from 1"
  | "from 7"
  | "gaps"
  | "names"
  | "some missing";

/** One event of a stream. */
export interface EventPlan {
  readonly texts: readonly string[];
  readonly idAt: "first" | "middle" | "last";
  readonly comment: "none" | "before" | "inside";
  readonly hasVersion: boolean;
  readonly colon: ":" | ": ";
}

/** Where an answer begins that should go on after the caller's last event. */
export type Placement = "right" | "start" | "early" | "late" | "nothing";

/** How one upstream answers. */
export interface AnswerPlan {
  readonly placement: Placement;
  /** Where it is cut: a number to take the remainder of, by its bytes. `undefined` if it is not. */
  readonly cut: number | undefined;
  readonly end: "inOrder" | "broken";
  /** The sizes of the pieces in which its bytes arrive, in turn. */
  readonly pieces: readonly number[];
}

/** A stream, and how the upstreams answer that are asked for it one after the other. */
export interface StreamPlan {
  readonly lineEnd: "\n" | "\r\n" | "\r";
  readonly idStyle: IdStyle;
  readonly events: readonly EventPlan[];
  /** How many events the caller has from an earlier try; none if the stream has fewer, or no usable id there. */
  readonly had: number;
  readonly answers: readonly AnswerPlan[];
}

const eventPlan: fc.Arbitrary<EventPlan> = fc.record({
  texts: fc.array(
    fc.constantFrom("piece", "é漢🙂", "id: 9", "data: x", ": no", "", "\u00a0"),
    { minLength: 1, maxLength: 3 },
  ),
  idAt: fc.constantFrom("first", "middle", "last"),
  comment: fc.constantFrom("none", "none", "before", "inside"),
  hasVersion: fc.boolean(),
  colon: fc.constantFrom(":", ": "),
});

const answerPlan: fc.Arbitrary<AnswerPlan> = fc.record({
  placement: fc.constantFrom<Placement[]>(
    "right",
    "right",
    "right",
    "right",
    "start",
    "early",
    "late",
    "nothing",
  ),
  cut: fc.option(fc.nat(4_000), { nil: undefined, freq: 4 }),
  end: fc.constantFrom("inOrder", "broken"),
  pieces: fc.array(fc.integer({ min: 1, max: 60 }), {
    minLength: 1,
    maxLength: 4,
  }),
});

/** Any stream. */
export const streamPlan: fc.Arbitrary<StreamPlan> = fc.record({
  lineEnd: fc.constantFrom("\n", "\r\n", "\r"),
  idStyle: fc.constantFrom<IdStyle[]>(
    "from 0",
    "from 1",
    "from 7",
    "gaps",
    "names",
    "some missing",
  ),
  events: fc.array(eventPlan, { minLength: 1, maxLength: 7 }),
  had: fc.oneof(
    fc.constant(0),
    fc.constant(0),
    fc.integer({ min: 1, max: 4 }),
  ),
  answers: fc.array(answerPlan, { minLength: 1, maxLength: 6 }),
});

/** The id of the event at `index`. */
export function idOf(style: IdStyle, index: number): string | undefined {
  switch (style) {
    case "from 0":
      return String(index);
    case "from 1":
      return String(index + 1);
    case "from 7":
      return String(index + 7);
    case "gaps":
      return String(6 * index + index % 2);
    case "names":
      return `é${index}\u00a0`;
    case "some missing":
      return index % 3 === 2 ? undefined : String(index + 1);
  }
}

/** What a parser makes of the event at `index`. */
export function dataOf({ events }: StreamPlan, index: number): string {
  return events[index].texts.map((text) => `${index}|${text}`).join("\n");
}

/** Bytes of an answer, and what stands at which place in them. */
interface Encoded {
  readonly bytes: Buffer;
  /** Places where neither an event nor a comment is open. */
  readonly boundaries: ReadonlySet<number>;
  /** Where the events begin, and where each has arrived whole. */
  readonly spans: readonly { readonly start: number; readonly end: number }[];
}

function linesOf(plan: StreamPlan, index: number): string[] {
  const { texts, idAt, comment, hasVersion, colon } = plan.events[index];
  const id = idOf(plan.idStyle, index);
  const idLines = id === undefined ? [] : [`id${colon}${id}`];
  const data = texts.map((text) => `data${colon}${index}|${text}`);
  const middle = Math.ceil(data.length / 2);
  const at = { first: 0, middle, last: data.length }[idAt];
  return [
    ...(hasVersion ? ["weight-versions: 2"] : []),
    ...data.slice(0, at),
    ...idLines,
    ...data.slice(at),
    ...(comment === "inside" ? [": inside"] : []),
  ];
}

/** Encodes the events from `first` on. */
function encode(
  plan: StreamPlan,
  first: number,
  withComments: boolean,
): Encoded {
  const { lineEnd, events } = plan;
  const parts: Buffer[] = [];
  const spans: { start: number; end: number }[] = [];
  const boundaries = new Set([0]);
  let length = 0;
  const append = (text: string) => {
    const bytes = Buffer.from(text);
    parts.push(bytes);
    length += bytes.length;
  };
  const addBoundary = () => {
    boundaries.add(length);
    // The CR of a CRLF ends the line already.
    if (lineEnd === "\r\n") boundaries.add(length - 1);
  };
  for (let index = first; index < events.length; index++) {
    if (withComments && events[index].comment === "before") {
      append(`: keep${lineEnd}`);
      addBoundary();
      append(lineEnd);
      addBoundary();
    }
    const start = length;
    append(linesOf(plan, index).map((line) => line + lineEnd).join(""));
    append(lineEnd);
    addBoundary();
    spans.push({ start, end: length - (lineEnd === "\r\n" ? 1 : 0) });
  }
  return { bytes: Buffer.concat(parts), boundaries, spans };
}

/** One answer as its upstream sends it. */
export interface SentAnswer {
  readonly bytes: Buffer;
  readonly pieces: readonly Buffer[];
  readonly end: AnswerPlan["end"];
}

function splitIntoPieces(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const pieces: Buffer[] = [];
  for (let at = 0; at < bytes.length;) {
    const size = sizes[pieces.length % sizes.length];
    pieces.push(bytes.subarray(at, at + size));
    at += size;
  }
  return pieces;
}

/** What a caller must get of a stream, answer by answer. */
export class StreamModel {
  readonly #plan: StreamPlan;
  /** Events that the caller had before. */
  readonly had: number;
  /** Events that the caller has by now, from earlier tries too. */
  delivered: number;
  /** The bytes that it must have got in this try. */
  readonly #parts: Buffer[] = [];
  /** Events that must have come before the stream can be whole, as their first bytes were seen. */
  #begun: number;
  state: "open" | "whole" | "broken" = "open";

  constructor(plan: StreamPlan) {
    this.#plan = plan;
    const isUsable = plan.had <= plan.events.length &&
      (plan.had === 0 || idOf(plan.idStyle, plan.had - 1) !== undefined);
    this.had = isUsable ? plan.had : 0;
    this.delivered = this.had;
    this.#begun = this.had;
  }

  get output(): Buffer {
    return Buffer.concat(this.#parts);
  }

  /** The id of the last event that the caller has; `undefined` if it has none. */
  get lastId(): string | undefined {
    return this.delivered === 0
      ? undefined
      : idOf(this.#plan.idStyle, this.delivered - 1);
  }

  /** The data of the events that the caller must have got in this try. */
  get data(): string[] {
    return this.#plan.events.slice(this.had, this.delivered)
      .map((_, index) => dataOf(this.#plan, this.had + index));
  }

  /** Plays the next answer. Returns what is sent. */
  play(answer: AnswerPlan): SentAnswer {
    const placement = this.#placementOf(answer);
    const first = this.#firstOf(placement);
    const isRight = first === this.delivered || placement === "nothing";
    const all = placement === "nothing"
      ? { bytes: Buffer.alloc(0), boundaries: new Set([0]), spans: [] }
      : encode(this.#plan, first, isRight);
    const length = answer.cut === undefined
      ? all.bytes.length
      : answer.cut % (all.bytes.length + 1);
    const bytes = all.bytes.subarray(0, length);
    this.#take(all, length, isRight, answer.end);
    return {
      bytes,
      pieces: splitIntoPieces(bytes, answer.pieces),
      end: answer.end,
    };
  }

  /** Only wrong placements that the ids can show are played; with the others, no model has an answer. */
  #placementOf({ placement }: AnswerPlan): Placement {
    const { idStyle, events } = this.#plan;
    const isSure = idStyle !== "some missing" && this.delivered > 0;
    switch (placement) {
      case "start":
        if (!isSure) return "right";
        return idStyle === "names" ? "early" : "start";
      case "early":
        return isSure ? "early" : "right";
      case "late": {
        const isByOne = idStyle.startsWith("from");
        const isGrowthKnown = this.delivered - this.had +
            Math.min(this.had, 1) >= 2;
        const isLate = isSure && isByOne && isGrowthKnown &&
          this.delivered + 1 < events.length;
        return isLate ? "late" : "right";
      }
      default:
        return placement;
    }
  }

  #firstOf(placement: Placement): number {
    if (placement === "start") return 0;
    if (placement === "early") return this.delivered - 1;
    return placement === "late" ? this.delivered + 1 : this.delivered;
  }

  #take(
    { bytes, boundaries, spans }: Encoded,
    length: number,
    isRight: boolean,
    end: AnswerPlan["end"],
  ): void {
    const whole = spans.filter((span) => span.end <= length).length;
    const isMisfit = !isRight && whole > 0;
    if (isMisfit) return this.#break();
    let boundary = length;
    while (!boundaries.has(boundary)) boundary--;
    if (isRight) {
      this.#parts.push(bytes.subarray(0, boundary));
      this.delivered += whole;
    }
    const hasOpenEvent = spans.some((span) =>
      span.start < length && length < span.end
    );
    const isWhole = end === "inOrder" && boundary === length &&
      this.delivered >= this.#begun;
    if (isWhole) this.state = "whole";
    else {
      if (hasOpenEvent) {
        this.#begun = Math.max(this.#begun, this.delivered + 1);
      }
      this.#break();
    }
  }

  /** A stream goes on only after an event that can be named. */
  #break(): void {
    const isNamed = this.delivered === this.had || this.lastId !== undefined;
    if (!isNamed) this.state = "broken";
  }
}

/** Reads the data of events by a parser that the gateway doesn't use. */
export function parseData(text: string): string[] {
  const data: string[] = [];
  const parser = createParser({ onEvent: (event) => data.push(event.data) });
  // A CR at the end could be the first half of a line end.
  parser.feed(`${text}\n`);
  return data;
}
