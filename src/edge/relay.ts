/**
 * Forwards an engine's event stream to the caller, with end-to-end back-pressure.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { createParser } from "eventsource-parser";
import type { Clock } from "../base/mod.ts";
import { breakOffResponse, hasEnded } from "./answer.ts";
import { LineFeeds } from "./line_feeds.ts";
import type { StreamCheck, StreamEvent } from "./stream_check.ts";

/** How the relay of one attempt's stream ended. `broken` is caused by the upstream, `gone` by the caller. */
export type RelayResult =
  | { readonly type: "whole" }
  | { readonly type: "broken"; readonly reason: string }
  | { readonly type: "gone" };

/** Options of {@link relayStream}. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly check: StreamCheck;
  readonly upstreamStallMs: number;
  readonly stalledCallerMs: number;
  /** Called for each event before it is written to the caller. */
  onEvent(atMs: number): void;
}

/** Longest event of an engine, in characters. One without end would fill the heap. */
const MAX_EVENT_CHARS = 1_048_576;

/** Reads `body` until its end or its first fault, and writes the events that pass the check to the caller. */
export async function relayStream(
  body: Readable,
  response: ServerResponse,
  options: RelayOptions,
): Promise<RelayResult> {
  const events: StreamEvent[] = [];
  let isTooLong = false;
  const parser = createParser({
    onEvent: (event) => events.push({ id: event.id, data: event.data }),
    onError: ({ type }) => isTooLong ||= type === "max-buffer-size-exceeded",
    maxBufferSize: MAX_EVENT_CHARS,
  });
  const decoder = new TextDecoder();
  const lineFeeds = new LineFeeds();
  const stallTimer = startStallTimer(body, options);
  try {
    for await (const chunk of body) {
      const text = decoder.decode(chunk as Uint8Array, { stream: true });
      parser.feed(lineFeeds.convert(text));
      // While the caller is slow, this loop does not read. The engine's connection fills up and the engine waits too,
      // which must not count as a stall of the engine.
      stallTimer.pause();
      const result = await forwardEvents(events.splice(0), response, options);
      if (result) return result;
      if (isTooLong) return { type: "broken", reason: "an event is too long" };
      stallTimer.resume();
    }
  } catch (error) {
    if (hasEnded(response)) return { type: "gone" };
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
  // An engine that crashes may close its connection cleanly. Only the end mark shows that the answer is complete.
  return hasEnded(response)
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
    if (hasEnded(response)) return { type: "gone" };
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

/** Writes and waits until the caller's connection accepts more; false if the caller has disconnected or stalls. */
function writeWithBackpressure(
  response: ServerResponse,
  text: string,
  options: RelayOptions,
): Promise<boolean> {
  if (hasEnded(response)) return Promise.resolve(false);
  if (response.write(text)) return Promise.resolve(true);
  return new Promise((resolve) => {
    const timer = options.clock.after(
      options.stalledCallerMs,
      () => settle(false),
    );
    const settle = (isAlive: boolean) => {
      timer.close();
      response.off("drain", onDrain);
      response.off("close", onClose);
      if (!isAlive) breakOffResponse(response);
      resolve(isAlive);
    };
    const onDrain = () => settle(true);
    const onClose = () => settle(false);
    response.once("drain", onDrain);
    response.once("close", onClose);
  });
}

/** Number of timer ticks that may pass without data. At the next tick, the upstream counts as stalled. */
const STALL_TICKS = 4;

/**
 * Destroys the body when the upstream sends nothing for too long. It counts ticks instead of time: after this VM was
 * paused or its event loop was busy, a clock would show a long wait while the engine's events are still unread in the
 * socket, and all healthy streams would be broken at once. A late timer ticks only once, and the events are read before
 * its next tick.
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
