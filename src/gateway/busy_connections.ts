/**
 * Tells operators which connections take much of the event loop's time.
 *
 * @module
 */

import { type BusyConnection, readShare } from "../adapters/mod.ts";
import type { Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Log,
  type Messages,
  Task,
  type TaskHost,
} from "../kernel/mod.ts";
import { splitAddress } from "./listen.ts";
import type { GatewayMetrics } from "./metrics.ts";
import type { GatewaySettings } from "./settings.ts";

/** Who is at the other end of a connection. */
type PeerKind = "caller" | "vm" | "upstream";

/** Logs and counts each connection that takes much of the event loop's time, once. */
export class BusyConnections extends Task {
  readonly name = "busyConnections";
  protected readonly handlers: Handlers<Messages> = {};
  readonly #listen: GatewaySettings["listen"];
  readonly #metrics: GatewayMetrics;
  #log!: Log;
  #subscription: Timer | undefined;
  #count = 0;

  constructor(listen: GatewaySettings["listen"], metrics: GatewayMetrics) {
    super();
    this.#listen = listen;
    this.#metrics = metrics;
  }

  start({ log }: TaskHost): Promise<void> {
    this.#log = log;
    this.#subscription = readShare.onBusy((busy) => this.#note(busy));
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#subscription?.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return { count: this.#count };
  }

  #note(busy: BusyConnection): void {
    this.#count++;
    const of = this.#kindOf(busy);
    this.#metrics.count("busy_connections", `of="${of}"`);
    this.#log.warn("connection keeps the event loop busy", { of, ...busy });
  }

  #kindOf({ local, peer }: BusyConnection): PeerKind {
    const { callers, peers } = this.#listen;
    if (local === callers) return "caller";
    const { port } = splitAddress(peers);
    const isVm = local === peers || splitAddress(peer).port === port;
    return isVm ? "vm" : "upstream";
  }
}
