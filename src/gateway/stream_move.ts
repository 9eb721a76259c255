/**
 * Moves a running stream from one engine to another, together with its memory; see {@link shouldMove} for when.
 *
 * @module
 */

import {
  MAX_UPSTREAM_TEXT_BYTES,
  readParsed,
  upstreamTexts,
} from "../adapters/mod.ts";
import {
  decodeMove,
  encodeMove,
  MOVE_PATH,
  type StoppedRun,
} from "../platform/mod.ts";
import {
  type EngineSpec,
  selectMoveTarget,
  type ServiceConfig,
  shouldMove,
} from "../routing/mod.ts";
import type { CallInput } from "./call_input.ts";
import type { GatewayContext } from "./context.ts";
import { Exchange } from "./exchange.ts";
import { askProcess } from "./process_question.ts";
import type { Send } from "./send.ts";
import type { LinkedCandidate } from "./upstream_link.ts";

/** A move that takes longer has failed: the copy takes some ten ms, and may queue behind a few others. */
const MOVE_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 250;

/** How a move ended: it is not known whether the stream was stopped if the engine's answer didn't arrive whole. */
export type MoveOutcome = MoveResult | "not moved" | "unknown";

/** Where a moved stream continues. */
export interface MoveResult {
  readonly candidate: LinkedCandidate;
  /** `IP:PORT/HANDLE` of the memory that it continues from. */
  readonly goesOnFrom: string;
}

/**
 * Maximum moves of one stream. Each costs it a pause, and a stream that left this many engines would leave the next one
 * too.
 */
const MAX_MOVES = 4;

/** Moves the stream of one request. */
export class StreamMover {
  readonly #context: GatewayContext;
  readonly #input: CallInput;
  readonly #engine: EngineSpec | undefined;
  #pendingMove: Promise<MoveOutcome> | undefined;
  #moves = 0;

  constructor(
    context: GatewayContext,
    input: CallInput,
    { engine }: ServiceConfig,
  ) {
    this.#context = context;
    this.#input = input;
    this.#engine = engine;
  }

  /**
   * Checks whether a stream that has sent `events` so far is better off at one of `others`, and starts the move if so and
   * if `takeRetry` allows it: the stream's request arrives at one more engine.
   */
  considerMove(
    candidate: LinkedCandidate,
    events: number,
    others: () => readonly LinkedCandidate[],
    takeRetry: () => boolean,
    send: Pick<Send, "findProcess">,
  ): void {
    const { pace, key } = candidate;
    if (!this.#engine?.moves || this.#pendingMove || this.#moves >= MAX_MOVES) {
      return;
    }
    if (this.#context.upstreams.rests(candidate)) return;
    const { head, route } = this.#input;
    const stream = {
      waitingTokens: this.#context.upstreams.waitingTokens(key),
      eventsLeft: head.expectedOutputTokens / this.#engine.tokensPerEvent -
        events,
      eventGapMs: route.eventGapMs,
    };
    if (!shouldMove(stream, pace)) return;
    const target = selectMoveTarget(
      stream,
      others(),
      pace,
      this.#context.random.next(),
    );
    if (!target || !takeRetry()) return;
    this.#context.log.info("stream moves", {
      attempt: this.#input.head.attemptId,
      from: key,
      to: target.key,
      fromTokens: stream.waitingTokens,
      toTokens: target.waitingTokens,
      toRunning: target.running,
      eventsLeft: Math.round(stream.eventsLeft),
    });
    this.#moves++;
    this.#pendingMove = this.#moveIfProven(candidate, target, send);
  }

  /** Waits for a move that was started, if any. */
  async waitForMove(): Promise<MoveOutcome> {
    const outcome = await this.#pendingMove;
    this.#pendingMove = undefined;
    return outcome ?? "not moved";
  }

  /**
   * Requests a move between processes that their entries describe. Others may have other versions, and a stream that was
   * stopped for such a one is lost.
   */
  async #moveIfProven(
    from: LinkedCandidate,
    to: LinkedCandidate,
    send: Pick<Send, "findProcess">,
  ): Promise<MoveOutcome> {
    const target = askProcess(to.upstream, this.#context.clock);
    const verdicts = [await send.findProcess(), (await target).verdict];
    const isProven = verdicts.every((verdict) =>
      verdict === "confirmed" || verdict === "unknown"
    );
    return isProven ? await this.#requestMove(from, to) : "not moved";
  }

  async #requestMove(
    from: LinkedCandidate,
    to: LinkedCandidate,
  ): Promise<MoveOutcome> {
    const { attemptId } = this.#input.head;
    const { clock, metrics, log } = this.#context;
    const exchange = new Exchange({
      agent: from.link.agent,
      host: from.upstream.host,
      port: from.upstream.port,
      method: "POST",
      target: MOVE_PATH,
      headers: ["Host", addressOf(from), "Content-Type", "application/json"],
      body: Buffer.from(encodeMove(attemptId, addressOf(to))),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const startedMs = clock.monoMs();
    const timer = clock.after(
      MOVE_TIMEOUT_MS,
      () => exchange.cancel("timed out"),
    );
    const moved = await readMove(exchange);
    timer.close();
    const outcome = typeof moved === "object" ? "stopped" : "failed";
    metrics.count("moves", `outcome="${outcome}"`);
    log.info("stream moved", {
      attempt: attemptId,
      to: to.key,
      tookMs: Math.round(clock.monoMs() - startedMs),
      outcome,
    });
    if (typeof moved === "string") return moved;
    return {
      candidate: moved.isAtTarget ? to : from,
      goesOnFrom: `${addressOf(from)}/${moved.handle}`,
    };
  }
}

function addressOf({ upstream }: LinkedCandidate): string {
  return `${upstream.host}:${upstream.port}`;
}

/** Statuses of an engine that may have stopped the run. */
const STOPPED_STATUSES = new Set([200, 503]);

async function readMove(
  exchange: Exchange,
): Promise<StoppedRun | "not moved" | "unknown"> {
  const head = await exchange.head;
  if (head.isErr()) return head.error.sent ? "unknown" : "not moved";
  const status = head.value.statusCode ?? 0;
  try {
    const unread = STOPPED_STATUSES.has(status) ? "unknown" : "not moved";
    const decode = (text: string) => decodeMove(status, text) ?? unread;
    return await readParsed(head.value, decode, {
      maxBytes: MAX_UPSTREAM_TEXT_BYTES,
      budget: upstreamTexts,
    });
  } catch {
    return "unknown";
  }
}
