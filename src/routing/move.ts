/**
 * Decides whether a running stream moves to another engine.
 *
 * @module
 */

import type { EnginePace } from "./engine_pace.ts";
import type { StepCandidate } from "./step.ts";

/** A running stream. */
export interface RunningStream {
  /** Prompt tokens that wait at the stream's engine. */
  readonly waitingTokens: number;
  /** Number of events still to come, as far as the request says. */
  readonly eventsLeft: number;
  /** The longest allowed gap between events; 0 means no limit. */
  readonly eventGapMs: number;
}

/** A stream with fewer events left ends before a move pays off. */
const MIN_EVENTS_LEFT = 4;
/**
 * A stream is better served elsewhere if its gap reaches this share of the allowed gap. The move itself takes part of
 * the rest.
 */
const MIN_MOVE_GAP_SHARE = 0.5;
/** An engine takes a stream from another one only if its own gap is below this share of the allowed gap. */
const MAX_TARGET_GAP_SHARE = 0.3;
/** An engine takes streams from others only up to this share of its slots. */
const MAX_TARGET_SLOT_SHARE = 0.75;

/** Whether the next event of a stream may come late while `waitingTokens` of prompts wait at its engine. */
export function isGapAtRisk(
  waitingTokens: number,
  eventGapMs: number,
  pace: EnginePace,
): boolean {
  return pace.canExceedGap(eventGapMs) &&
    pace.maxGapMs(waitingTokens) >= eventGapMs * MIN_MOVE_GAP_SHARE;
}

/** Whether a stream's next event may come late at its engine, and enough of the stream is left for a move. */
export function shouldMove(
  { waitingTokens, eventsLeft, eventGapMs }: RunningStream,
  pace: EnginePace,
): boolean {
  return eventsLeft >= MIN_EVENTS_LEFT &&
    isGapAtRisk(waitingTokens, eventGapMs, pace);
}

/**
 * Selects the engine that a stream should move to; `undefined` means that it stays. The reason for a move is a long
 * prompt that arrives at an engine with running streams: while the engine reads it without a break, each event of each
 * stream waits, and all of the streams end late. The memory of a running request is copied in some ten ms, so a move
 * delays the stream less than one long prompt does. `draw` in [0, 1) spreads the streams over the less loaded half of
 * the engines.
 */
export function selectMoveTarget<C extends StepCandidate>(
  stream: RunningStream,
  others: readonly C[],
  pace: EnginePace,
  draw: number,
): C | undefined {
  if (!shouldMove(stream, pace)) return undefined;
  const targets = others.filter((other) =>
    !other.isAside && !other.isDoubtful && other.isWithinColdRate &&
    other.running < other.slots * MAX_TARGET_SLOT_SHARE &&
    pace.maxGapMs(other.waitingTokens) <
      stream.eventGapMs * MAX_TARGET_GAP_SHARE
  );
  targets.sort((a, b) =>
    a.running + pace.maxGapMs(a.waitingTokens) -
    b.running - pace.maxGapMs(b.waitingTokens)
  );
  // All streams of an engine move at once, and VMs do not know yet where the streams of other VMs go.
  return targets[Math.floor(draw * Math.ceil(targets.length / 2))];
}
