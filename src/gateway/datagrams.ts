/**
 * Datagrams between VMs: JSON-RPC 2.0 notifications over UDP. The next datagram of a kind makes up for a lost one.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import { bindAt } from "../adapters/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
} from "../kernel/mod.ts";

/** Handles the parameters of one method. They come from outside and have to be checked. */
export type DatagramHandler = (params: unknown, fromIp: string) => void;

/** Sends datagrams, and passes received ones to the handler of their method. */
export class Datagrams extends Task {
  readonly name = "datagrams";
  readonly #ip: string;
  readonly #port: number;
  readonly #methodHandlers = new Map<string, DatagramHandler>();
  protected readonly handlers: Handlers<Messages> = {};
  #socket!: Socket;
  #log!: Log;
  #isOpen = true;
  #received = 0;
  #sent = 0;

  /** `port` is the same on all VMs. */
  constructor(ip: string, port: number) {
    super();
    this.#ip = ip;
    this.#port = port;
  }

  /** Sets the handler of a method; there is one per method. */
  on(method: string, handler: DatagramHandler): void {
    this.#methodHandlers.set(method, handler);
  }

  async start(kernel: Kernel): Promise<void> {
    this.#log = kernel.log;
    this.#socket = createSocket("udp4");
    this.#socket.on(
      "message",
      (datagram, { address }) => this.#receive(datagram, address),
    );
    await bindAt(this.#socket, this.#port, this.#ip);
    this.#socket.on(
      "error",
      (error) =>
        this.#log.warn("datagram socket failed", { reason: error.message }),
    );
  }

  close(_deadlineMs: number): Promise<void> {
    this.#isOpen = false;
    this.#socket.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return { sent: this.#sent, received: this.#received };
  }

  /** Sends one message to several VMs; it is encoded once. */
  send(method: string, params: unknown, ips: readonly string[]): void {
    if (!this.#isOpen || ips.length === 0) return;
    const datagram = Buffer.from(
      JSON.stringify({ jsonrpc: "2.0", method, params }),
    );
    for (const ip of ips) {
      this.#sent++;
      this.#socket.send(datagram, this.#port, ip, () => {});
    }
  }

  #receive(datagram: Buffer, fromIp: string): void {
    if (!this.#isOpen) return;
    this.#received++;
    let message: { method?: unknown; params?: unknown } | null;
    try {
      message = JSON.parse(datagram.toString("utf8"));
    } catch {
      // Anyone can send to this port: a malformed datagram is neither answered nor logged.
      return;
    }
    if (typeof message?.method !== "string") return;
    this.#handle(message.method, message.params, fromIp);
  }

  /** Calls a method's handler. Nothing else catches what it throws, and that would end the process. */
  #handle(method: string, params: unknown, fromIp: string): void {
    try {
      this.#methodHandlers.get(method)?.(params, fromIp);
    } catch (error) {
      const reason = (error as Error).stack ?? String(error);
      this.#log.error("datagram failed with an internal error", {
        method,
        from: fromIp,
        reason,
      });
    }
  }
}
