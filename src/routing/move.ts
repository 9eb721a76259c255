/**
 * Whether a stream that runs goes on at another engine.
 *
 * @module
 */

import type { EnginePace } from "./engine_pace.ts";
import type { StepCandidate } from "./step.ts";

/** A stream that runs. */
export interface RunningStream {
  /** Prompt tokens that wait at its engine. */
  readonly waitingTokens: number;
  /** Events still to come, as far as the request says. */
  readonly eventsLeft: number;
  /** The longest pause between events that is on time; 0 if none is asked for. */
  readonly eventGapMs: number;
}

/** Fewer events than this are over before a move has paid. */
const LEAST_EVENTS_LEFT = 4;
/** Share of the allowed pause above which a stream is better off elsewhere; the move itself takes part of the rest. */
const PRESSED_SHARE = 0.5;
/** Share of the allowed pause below which an engine is calm enough to take a stream. */
const CALM_SHARE = 0.3;
/** Share of its slots up to which an engine takes streams of others. */
const TAKING_SHARE = 0.75;

/** Whether a stream's next event may come late where it runs, and enough is left of it to leave. */
export function isPressed(
  { waitingTokens, eventsLeft, eventGapMs }: RunningStream,
  pace: EnginePace,
): boolean {
  return pace.canExceed(eventGapMs) && eventsLeft >= LEAST_EVENTS_LEFT &&
    pace.pauseMs(waitingTokens) >= eventGapMs * PRESSED_SHARE;
}

/**
 * The engine that a stream should go on at; `undefined` to stay. Made for long prompts that arrive where streams run:
 * an engine that reads without a break makes each event of each of its streams wait, and all of them end late. The
 * memory of a run is copied in some ten ms, so the stream pauses less than it would beside one long prompt. `draw` in
 * [0, 1) spreads the streams over the calmer half of the engines.
 */
export function moveTarget<C extends StepCandidate>(
  stream: RunningStream,
  others: readonly C[],
  pace: EnginePace,
  draw: number,
): C | undefined {
  if (!isPressed(stream, pace)) return undefined;
  const calm = others.filter((other) =>
    !other.aside && !other.doubtful && other.paced &&
    other.running < other.slots * TAKING_SHARE &&
    pace.pauseMs(other.waitingTokens) < stream.eventGapMs * CALM_SHARE
  );
  calm.sort((a, b) =>
    a.running + pace.pauseMs(a.waitingTokens) -
    b.running - pace.pauseMs(b.waitingTokens)
  );
  // All streams of an engine leave it at once, and VMs do not know yet where the others' go.
  return calm[Math.floor(draw * Math.ceil(calm.length / 2))];
}
