/**
 * A TCP proxy on loopback that harms the connections through it.
 *
 * @module
 */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { LinkMode } from "./plan.ts";

/** How late a chunk comes on a link with `delay`: about the way to another region and back. */
const DELAY_MS = 120;

/** `IP:PORT` in parts. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Both ends of a connection through the proxy. */
interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
}

/** One direction of a connection: what comes later never overtakes, also when the delay ends in between. */
class DelayQueue {
  readonly #waiting: { readonly dueMs: number; readonly run: () => void }[] =
    [];

  add(delayMs: number, run: () => void): void {
    if (delayMs === 0 && this.#waiting.length === 0) return run();
    this.#waiting.push({ dueMs: performance.now() + delayMs, run });
    if (this.#waiting.length === 1) setTimeout(this.#deliver, delayMs);
  }

  readonly #deliver = (): void => {
    const nowMs = performance.now();
    while (this.#waiting.length > 0 && this.#waiting[0].dueMs <= nowMs) {
      this.#waiting.shift()!.run();
    }
    if (this.#waiting.length === 0) return;
    setTimeout(this.#deliver, Math.max(1, this.#waiting[0].dueMs - nowMs));
  };
}

/** See the module. Ends of half-open connections and resets are passed on as such. */
export class FaultProxy {
  /** Where connections go to; a change holds for new ones. */
  target: Endpoint;
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  readonly #host: string;
  #lastPort = 0;
  #mode: LinkMode = "pass";

  private constructor(host: string, target: Endpoint) {
    this.#host = host;
    this.target = target;
    this.#server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (near) => this.#accept(near),
    );
  }

  /** Listens at `listen`; port 0 takes any. */
  static async open(listen: Endpoint, target: Endpoint): Promise<FaultProxy> {
    const proxy = new FaultProxy(listen.host, target);
    proxy.#server.listen(listen.port, listen.host);
    await once(proxy.#server, "listening");
    return proxy;
  }

  /** The port it listens at. */
  get port(): number {
    const address = this.#server.address() as { port: number } | null;
    return address?.port ?? this.#lastPort;
  }

  /** Treats open and new connections this way from now on. */
  setMode(mode: LinkMode): void {
    this.#mode = mode;
    for (const pair of this.#connections) {
      if (mode === "reset") resetConnection(pair);
      else this.#applyMode(pair);
    }
  }

  /** Refuses connections, as the address of a program that has ended. */
  refuseAll(): void {
    if (!this.#server.listening) return;
    this.#lastPort = this.port;
    this.#server.close();
    for (const pair of this.#connections) resetConnection(pair);
  }

  /** Takes connections again. */
  async reopen(): Promise<void> {
    if (this.#server.listening) return;
    this.#server.listen(this.#lastPort, this.#host);
    await once(this.#server, "listening");
  }

  async close(): Promise<void> {
    for (const pair of this.#connections) resetConnection(pair);
    if (!this.#server.listening) return;
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(near: Socket): void {
    if (this.#mode === "reset") return void near.resetAndDestroy();
    const far = connect({ ...this.target, allowHalfOpen: true, noDelay: true });
    const pair = { near, far };
    this.#connections.add(pair);
    this.#forward(pair, near, far);
    this.#forward(pair, far, near);
    this.#applyMode(pair);
  }

  #forward(pair: ProxiedConnection, from: Socket, to: Socket): void {
    const line = new DelayQueue();
    const later = (run: () => void) =>
      line.add(this.#mode === "delay" ? DELAY_MS : 0, run);
    from.on(
      "data",
      (chunk: Buffer) => later(() => void (to.destroyed || to.write(chunk))),
    );
    from.on("end", () => later(() => void (to.destroyed || to.end())));
    from.on("error", () => resetConnection(pair));
    from.on("close", () => {
      if (to.destroyed) this.#connections.delete(pair);
      // A side that is gone altogether takes the other with it, once what it sent has left.
      else to.destroySoon();
    });
  }

  /** A silent direction is not read: its bytes wait, as behind a cut cable, and go on when it is mended. */
  #applyMode({ near, far }: ProxiedConnection): void {
    if (this.#mode === "silentIn") near.pause();
    else near.resume();
    if (this.#mode === "silentOut") far.pause();
    else far.resume();
  }
}

function resetConnection(pair: ProxiedConnection): void {
  for (const socket of [pair.near, pair.far]) {
    if (socket.destroyed) continue;
    // A socket that is reset while it still connects never closes its handle.
    if (socket.connecting) socket.destroy();
    else socket.resetAndDestroy();
  }
}
