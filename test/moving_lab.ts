/**
 * A lab in which a long prompt makes the gateway move a stream from one engine to another.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { GatewaySettings } from "../src/gateway/mod.ts";
import { formatStream, makeRoute } from "../src/standins/mod.ts";
import { type CallerAnswer, GatewayLab, waitUntil } from "./gateway_lab.ts";
import {
  addScripted,
  formatHead,
  type Script,
  type ScriptedFraming,
  type ScriptedUpstream,
  streamScript,
} from "./scripted_upstream.ts";

/** Number of events in a stream that lasts long enough to be moved. */
export const MOVED_STREAM_EVENTS = 160;
const EVENT_GAP_MS = 25;
const TOKENS_PER_EVENT = 8;
const STREAM_TYPE = "Content-Type: text/event-stream";

/** How much of its answer to the move an engine sends. */
export type MoveAnswer = "whole" | "cut" | "never";

/**
 * An engine that streams to its first request, never answers the next one, and ends the stream in order, after a whole
 * event, when it is told to move it.
 */
function movingEngine(framing: ScriptedFraming, move: MoveAnswer): Script {
  let stream: Socket | undefined;
  let events: NodeJS.Timeout | undefined;
  const isChunked = framing === "chunks";
  return (request, socket) => {
    if (request.target === "/api/kv-move") {
      clearInterval(events);
      const body = JSON.stringify({ handle: "moved", created: 0 });
      const head = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`;
      const answerMove = () => {
        if (move === "whole") socket.write(head + body);
        else if (move === "cut") socket.end(head + body.slice(0, 5));
      };
      if (isChunked) stream?.write("0\r\n\r\n", answerMove);
      else stream?.end(answerMove);
      return;
    }
    if (stream) return;
    stream = socket;
    const more = isChunked ? ["Transfer-Encoding: chunked"] : [];
    socket.write(formatHead(request, "200 OK", [STREAM_TYPE, ...more]));
    let sent = 0;
    events = setInterval(() => {
      const text = formatStream(sent, sent + 1);
      const length = text.length.toString(16);
      socket.write(isChunked ? `${length}\r\n${text}\r\n` : text);
      sent++;
      if (sent === MOVED_STREAM_EVENTS) clearInterval(events);
    }, EVENT_GAP_MS);
    socket.once("close", () => clearInterval(events));
  };
}

/** What may differ between plays. */
export interface MoveConditions {
  readonly bounds?: Partial<GatewaySettings["bounds"]>;
  readonly deadlineMs?: number;
  /** How many events too late the engine goes on that the stream moves to; negative if it repeats some. */
  readonly skippedEvents?: number;
}

/** Plays a stream whose engine is told to move it. Returns the caller's answer and the engine that it was to move to. */
export async function playMove(
  t: { teardown(run: () => Promise<void>): void },
  framing: ScriptedFraming,
  move: MoveAnswer,
  { bounds, deadlineMs = 30_000, skippedEvents = 0 }: MoveConditions = {},
): Promise<{
  readonly answer: CallerAnswer;
  readonly idle: ScriptedUpstream;
}> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(
    [makeRoute({
      path_prefix: "/streamonce/",
      kind: "streaming",
      sticky: true,
      gap_target_ms: 200,
      timeout_ms: 30_000,
    })],
    {
      engine: {
        slots: 128,
        kv_capacity: 300_000,
        stride: TOKENS_PER_EVENT,
        moves: true,
      },
    },
  );
  const vm = await lab.addVm("north", bounds);
  await lab.waitUntilReady(vm);
  const engine = await addScripted(t, lab, vm, movingEngine(framing, move));
  const outputTokens = TOKENS_PER_EVENT * MOVED_STREAM_EVENTS;
  const send = (promptTokens: number) =>
    lab.call(vm, {
      path: "/streamonce/",
      method: "POST",
      headers: {
        "token-counts": `${promptTokens},${outputTokens}`,
        "prompt-prefix": `own${promptTokens}:${promptTokens}`,
        "deadline-ms": String(deadlineMs),
      },
    });
  const answer = send(600);
  await waitUntil(() => engine.requests.length === 1);
  void send(100_000).catch(() => {});
  await waitUntil(() => engine.requests.length === 2);
  const idle = await addScripted(t, lab, vm, (request, socket) =>
    streamScript(
      formatStream(
        Number(request.lastEventId) + skippedEvents,
        MOVED_STREAM_EVENTS,
      ),
    )(request, socket));
  return { answer: await answer, idle };
}
