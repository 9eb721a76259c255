/**
 * Keep-alive connections to one upstream or VM.
 *
 * @module
 */

import { Agent, type AgentOptions } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";

/**
 * An idle connection is closed this long before the other side's own timeout: a request that crosses the other side's
 * close is lost.
 */
const IDLE_MARGIN_MS = 1_200;
/** Idle timeout if the other side announces none. */
const DEFAULT_IDLE_MS = 4_000;

/** Longest idle timeout that is believed: a timer takes no number of any size. */
const MAX_IDLE_MS = 600_000;

interface SocketWithMessage {
  readonly _httpMessage?: {
    readonly res?: { readonly headers: Record<string, string | undefined> };
  };
}

/** How long the other side keeps an idle connection, as its last response announced. */
function advertisedIdleMs(socket: Duplex): number | undefined {
  const text = (socket as unknown as SocketWithMessage)._httpMessage?.res
    ?.headers["keep-alive"];
  const seconds = /timeout=(\d+)/.exec(text ?? "")?.[1];
  if (seconds === undefined) return undefined;
  return Math.min(Number(seconds) * 1_000, MAX_IDLE_MS);
}

/**
 * Closes an idle connection on which bytes arrive. They belong to no request: they are a second response, or more of
 * the last one, and must never be read as the response to the next request.
 */
function closeOnUnexpectedData(this: Socket): void {
  this.destroy();
}

/** An agent that closes idle connections before the other side does, and those on which unexpected bytes arrive. */
export class KeepAliveAgent extends Agent {
  readonly #defaultIdleMs: number;

  constructor(options: AgentOptions & { readonly defaultIdleMs?: number }) {
    super({ keepAlive: true, noDelay: true, scheduling: "lifo", ...options });
    this.#defaultIdleMs = options.defaultIdleMs ?? DEFAULT_IDLE_MS;
  }

  /** Number of idle connections that are kept for further requests. */
  get idleCount(): number {
    return Object.values(this.freeSockets)
      .reduce((sum, sockets) => sum + (sockets?.length ?? 0), 0);
  }

  /** Called by Node when a request ends; `false` closes the connection. */
  override keepSocketAlive(socket: Duplex): void {
    const idleMs =
      (advertisedIdleMs(socket) ?? this.#defaultIdleMs + IDLE_MARGIN_MS) -
      IDLE_MARGIN_MS;
    const kept = idleMs > 0 && socket.readableLength === 0 &&
      (super.keepSocketAlive(socket) as unknown as boolean);
    if (kept) {
      (socket as Socket).setTimeout(idleMs);
      socket.on("data", closeOnUnexpectedData);
    }
    return kept as unknown as void;
  }

  /** Called by Node when an idle connection is taken for a request. */
  override reuseSocket(
    socket: Duplex,
    request: Parameters<Agent["reuseSocket"]>[1],
  ): void {
    socket.off("data", closeOnUnexpectedData);
    (socket as Socket).setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
