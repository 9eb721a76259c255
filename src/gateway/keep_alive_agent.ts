/**
 * Kept connections to one upstream or VM.
 *
 * @module
 */

import { Agent, type AgentOptions } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";

/** Idle connections are used no longer than this before the other side's own limit: a request that crosses its close is lost. */
const IDLE_MARGIN_MS = 1_200;
/** Idle time where the other side names no limit. */
const DEFAULT_IDLE_MS = 4_000;

interface SocketWithMessage {
  readonly _httpMessage?: {
    readonly res?: { readonly headers: Record<string, string | undefined> };
  };
}

/** How long the other side keeps an idle connection, as its last answer says. */
function advertisedIdleMs(socket: Duplex): number | undefined {
  const text = (socket as unknown as SocketWithMessage)._httpMessage?.res
    ?.headers["keep-alive"];
  const seconds = /timeout=(\d+)/.exec(text ?? "")?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/**
 * Bytes that arrive on an idle connection belong to no request: a second answer, or more of the last. The connection is
 * closed at once, so that they are never read as the answer to the next request.
 */
function closeOnUnexpectedData(this: Socket): void {
  this.destroy();
}

/** An agent that keeps connections with the safeguards above. */
export class KeepAliveAgent extends Agent {
  readonly #defaultIdleMs: number;

  constructor(options: AgentOptions & { readonly defaultIdleMs?: number }) {
    super({ keepAlive: true, noDelay: true, scheduling: "lifo", ...options });
    this.#defaultIdleMs = options.defaultIdleMs ?? DEFAULT_IDLE_MS;
  }

  /** Connections that are kept for a next request. */
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
