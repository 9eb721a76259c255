/**
 * Carries an engine's stream of events to the caller, with back-pressure from end to end.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { createParser } from "eventsource-parser";
import type { Clock } from "../base/mod.ts";
import type { StreamCheck, StreamEvent } from "./stream_check.ts";

/** How the carrying of one attempt's stream ended. `broken` is the upstream's doing, `gone` the caller's. */
export type RelayResult =
  | { readonly type: "whole" }
  | { readonly type: "broken"; readonly reason: string }
  | { readonly type: "gone" };

/** What a relay needs to know besides the streams. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly check: StreamCheck;
  readonly upstreamStallMs: number;
  readonly stalledCallerMs: number;
  /** Called before the first event is written, and for each one. */
  onEvent(atMs: number): void;
}

/** Reads `body` to its end or first fault and writes what passes the check to the caller. */
export async function relayStream(
  body: Readable,
  response: ServerResponse,
  options: RelayOptions,
): Promise<RelayResult> {
  const events: StreamEvent[] = [];
  const parser = createParser({
    onEvent: (event) => events.push({ id: event.id, data: event.data }),
  });
  const decoder = new TextDecoder();
  const stallTimer = startStallTimer(body, options);
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
      // While the caller is slow this loop does not read, so the engine's connection fills and the engine waits too;
      // that wait is not the engine's stall.
      stallTimer.pause();
      const result = await forwardEvents(events.splice(0), response, options);
      if (result) return result;
      stallTimer.resume();
    }
  } catch (error) {
    if (response.destroyed) return { type: "gone" };
    return {
      type: "broken",
      reason: stallTimer.hasFired
        ? "the engine stalled"
        : (error as Error).message,
    };
  } finally {
    stallTimer.close();
    body.destroy();
  }
  // An engine that dies may close its connection in good order; only its own end mark says that the answer is whole.
  return response.destroyed
    ? { type: "gone" }
    : { type: "broken", reason: "the stream ended before its end mark" };
}

async function forwardEvents(
  events: readonly StreamEvent[],
  response: ServerResponse,
  options: RelayOptions,
): Promise<RelayResult | undefined> {
  let text = "";
  let result: RelayResult | undefined;
  for (const event of events) {
    const verdict = options.check.next(event);
    if (verdict.type === "skip") continue;
    if (verdict.type === "broken") {
      result = verdict;
      break;
    }
    options.onEvent(options.clock.nowMs());
    text += `data: ${event.data}\n\n`;
    if (verdict.type === "end") {
      result = { type: "whole" };
      break;
    }
  }
  if (text && !await writeWithBackpressure(response, text, options)) {
    return { type: "gone" };
  }
  return result;
}

/** Writes and waits until the caller's connection takes more; false when the caller is gone or takes nothing. */
function writeWithBackpressure(
  response: ServerResponse,
  text: string,
  options: RelayOptions,
): Promise<boolean> {
  if (response.destroyed) return Promise.resolve(false);
  if (response.write(text)) return Promise.resolve(true);
  return new Promise((resolve) => {
    const timer = options.clock.after(
      options.stalledCallerMs,
      () => done(false),
    );
    const done = (isAlive: boolean) => {
      timer.close();
      response.off("drain", onDrain);
      response.off("close", onClose);
      if (!isAlive) response.destroy();
      resolve(isAlive);
    };
    const onDrain = () => done(true);
    const onClose = () => done(false);
    response.once("drain", onDrain);
    response.once("close", onClose);
  });
}

/** A stall is told after this many ticks of its timer without an event. */
const STALL_TICKS = 4;

/**
 * Destroys the body when the upstream sends nothing for too long. Ticks are counted, not time: after this VM itself was
 * paused, or its loop was busy, a clock would show a long wait while the engine's events lie unread in the socket, and
 * healthy streams would break all at once. A late timer ticks once, and the events are read before its next tick.
 */
function startStallTimer(body: Readable, options: RelayOptions) {
  let ticks = 0;
  let isPaused = false;
  const handle = {
    hasFired: false,
    pause: () => void (isPaused = true),
    resume: () => {
      isPaused = false;
      ticks = 0;
    },
    close: () => timer.close(),
  };
  const timer = options.clock.every(
    Math.max(5, options.upstreamStallMs / STALL_TICKS),
    () => {
      if (isPaused || ++ticks <= STALL_TICKS) return;
      handle.hasFired = true;
      body.destroy(new Error("stalled"));
    },
  );
  return handle;
}
