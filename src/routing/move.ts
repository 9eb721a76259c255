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
const MIN_EVENTS_LEFT = 4;
/** Share of the allowed pause above which a stream is better off elsewhere; the move itself takes part of the rest. */
const MIN_MOVE_GAP_SHARE = 0.5;
/** Share of the allowed pause below which an engine is calm enough to take a stream. */
const MAX_TARGET_GAP_SHARE = 0.3;
/** Share of its slots up to which an engine takes streams of others. */
const MAX_TARGET_SLOT_SHARE = 0.75;

/** Whether a stream's next event may come late where it runs, and enough is left of it to leave. */
export function shouldMove(
  { waitingTokens, eventsLeft, eventGapMs }: RunningStream,
  pace: EnginePace,
): boolean {
  return pace.canExceedGap(eventGapMs) && eventsLeft >= MIN_EVENTS_LEFT &&
    pace.maxGapMs(waitingTokens) >= eventGapMs * MIN_MOVE_GAP_SHARE;
}

/**
 * The engine that a stream should go on at; `undefined` to stay. Made for long prompts that arrive where streams run:
 * an engine that reads without a break makes each event of each of its streams wait, and all of them end late. The
 * memory of a run is copied in some ten ms, so the stream pauses less than it would beside one long prompt. `draw` in
 * [0, 1) spreads the streams over the calmer half of the engines.
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
  // All streams of an engine leave it at once, and VMs do not know yet where the others' go.
  return targets[Math.floor(draw * Math.ceil(targets.length / 2))];
}
