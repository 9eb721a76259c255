/**
 * A TCP proxy on loopback that injects faults into its connections.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { listenAt } from "../src/adapters/mod.ts";
import type { LinkMode } from "./plan.ts";

/** Delay of each chunk on a link with `delay`: about the round trip to another region. */
const DELAY_MS = 120;

/** Bytes of one direction that are held before its sender is no longer read. */
const MAX_HELD_BYTES = 1_000_000;

/** Host and port of an address. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** The two sockets of a connection through the proxy, and what waits for each. */
interface ProxiedConnection {
  readonly client: Socket;
  readonly server: Socket;
  readonly toClient: DelayQueue;
  readonly toServer: DelayQueue;
}

/** What waits in a {@link DelayQueue}. */
interface DelayedStep {
  readonly dueMs: number;
  readonly bytes: number;
  readonly run: () => void;
}

/** Delays one direction of a connection and keeps the order of its data, even if the delay ends in between. */
class DelayQueue {
  /** Bytes of the data that waits. */
  heldBytes = 0;
  readonly #waiting: DelayedStep[] = [];

  add(delayMs: number, bytes: number, run: () => void): void {
    if (delayMs === 0 && this.#waiting.length === 0) return run();
    this.#waiting.push({ dueMs: performance.now() + delayMs, bytes, run });
    this.heldBytes += bytes;
    if (this.#waiting.length === 1) setTimeout(this.#deliver, delayMs);
  }

  readonly #deliver = (): void => {
    const nowMs = performance.now();
    while (this.#waiting.length > 0 && this.#waiting[0].dueMs <= nowMs) {
      const { bytes, run } = this.#waiting.shift()!;
      this.heldBytes -= bytes;
      run();
    }
    if (this.#waiting.length === 0) return;
    setTimeout(this.#deliver, Math.max(1, this.#waiting[0].dueMs - nowMs));
  };
}

/** A proxy with one fault mode. It forwards half-closes and resets of a connection to the other side. */
export class FaultProxy {
  /** Address to which connections are forwarded. */
  readonly target: Endpoint;
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #host: string;
  readonly #maxHeldBytes: number;
  #lastPort = 0;
  #mode: LinkMode = "pass";

  private constructor(host: string, target: Endpoint, maxHeldBytes: number) {
    this.#host = host;
    this.#maxHeldBytes = maxHeldBytes;
    this.target = target;
    this.#server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (client) => this.#accept(client),
    );
  }

  /** Listens at `listen`; port 0 takes any free port. `maxHeldBytes` bounds what waits in one direction of a connection. */
  static async open(
    listen: Endpoint,
    target: Endpoint,
    maxHeldBytes = MAX_HELD_BYTES,
  ): Promise<FaultProxy> {
    const proxy = new FaultProxy(listen.host, target, maxHeldBytes);
    await listenAt(proxy.#server, { ...listen });
    return proxy;
  }

  /** The port that it listens at, or listened at before `refuseAll`. */
  get port(): number {
    const address = this.#server.address() as { port: number } | null;
    return address?.port ?? this.#lastPort;
  }

  /** Sets the mode of open and new connections. */
  setMode(mode: LinkMode): void {
    this.#mode = mode;
    for (const connection of this.#connections) {
      if (mode === "reset") resetConnection(connection);
      else this.#applyMode(connection);
    }
  }

  /** Resets all connections and refuses new ones, like the address of a program that has exited. */
  refuseAll(): void {
    if (!this.#server.listening) return;
    this.refuseNew();
    for (const connection of this.#connections) resetConnection(connection);
  }

  /** Refuses new connections; open ones end as their two sides end them. */
  refuseNew(): void {
    if (!this.#server.listening) return;
    this.#lastPort = this.port;
    this.#server.close();
  }

  /** Accepts connections again. */
  async reopen(): Promise<void> {
    if (this.#server.listening) return;
    await listenAt(this.#server, { host: this.#host, port: this.#lastPort });
  }

  async close(): Promise<void> {
    for (const connection of this.#connections) resetConnection(connection);
    if (!this.#server.listening) return;
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(client: Socket): void {
    if (this.#mode === "reset") return void client.resetAndDestroy();
    const server = connect({
      ...this.target,
      allowHalfOpen: true,
      noDelay: true,
    });
    const connection = {
      client,
      server,
      toClient: new DelayQueue(),
      toServer: new DelayQueue(),
    };
    this.#connections.add(connection);
    this.#forward(connection, client, server, connection.toServer);
    this.#forward(connection, server, client, connection.toClient);
    this.#applyMode(connection);
  }

  #forward(
    connection: ProxiedConnection,
    from: Socket,
    to: Socket,
    line: DelayQueue,
  ): void {
    const later = (bytes: number, run: () => void) =>
      line.add(this.#mode === "delay" ? DELAY_MS : 0, bytes, run);
    from.on("data", (chunk: Buffer) => {
      later(chunk.length, () => {
        if (!to.destroyed) to.write(chunk);
        this.#applyMode(connection);
      });
      this.#applyMode(connection);
    });
    to.on("drain", () => this.#applyMode(connection));
    from.on("end", () => {
      if (wasReset(from)) return resetConnection(connection);
      later(0, () => void (to.destroyed || to.end()));
    });
    from.on("error", () => resetConnection(connection));
    from.on("close", () => {
      if (to.destroyed) this.#connections.delete(connection);
      // When one side has closed completely, the other is closed once the data from the first has been sent.
      else to.destroySoon();
    });
  }

  /**
   * Pauses a silent direction: its data waits, as behind a cut cable, and is forwarded when the mode ends. A direction whose
   * receiver is slow is paused, too, or what waits would fill the memory of the soak.
   */
  #applyMode({ client, server, toClient, toServer }: ProxiedConnection): void {
    const isSilent = this.#mode === "silentBoth";
    const isClientSilent = isSilent || this.#mode === "silentIn";
    const isServerSilent = isSilent || this.#mode === "silentOut";
    setReading(client, !isClientSilent && !this.#isFull(toServer, server));
    setReading(server, !isServerSilent && !this.#isFull(toClient, client));
  }

  #isFull({ heldBytes }: DelayQueue, to: Socket): boolean {
    return heldBytes + to.writableLength > this.#maxHeldBytes;
  }
}

function setReading(socket: Socket, isReading: boolean): void {
  if (isReading === !socket.isPaused()) return;
  if (isReading) socket.resume();
  else socket.pause();
}

/**
 * Whether a connection that has ended was reset. Node reports a reset right after the last bytes as an ordinary end; the
 * kernel no longer has the peer's address then.
 */
function wasReset(ended: Socket): boolean {
  return !ended.destroyed && ended.remoteAddress === undefined;
}

function resetConnection(connection: ProxiedConnection): void {
  for (const socket of [connection.client, connection.server]) {
    if (socket.destroyed) continue;
    // A socket that is reset while it is still connecting never closes its handle.
    if (socket.connecting) socket.destroy();
    else socket.resetAndDestroy();
  }
}
