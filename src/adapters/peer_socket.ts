/**
 * One WebSocket connection to another VM, for either end. Link faults, size limits and byte counts are applied only
 * here.
 *
 * @module
 */

import type { RawData, WebSocket } from "ws";
import type { Clock } from "../base/mod.ts";
import type { LinkEffect, LinkFaults, Peer } from "./link_faults.ts";

/** The handshake header with the sender's VM id. */
export const VM_HEADER = "x-ibisgap-vm";
/** The handshake header with the sender's region. */
export const REGION_HEADER = "x-ibisgap-region";
/** The WebSocket subprotocol, which names the version of the messages. */
export const PROTOCOL = "ibisgap.1";

/** Counts bytes by the service that a message belongs to, which is the part of its method before the dot. */
export class ByteCounter {
  #sent = 0;
  #received = 0;
  readonly #byService = new Map<string, { sent: number; received: number }>();

  add(method: string, sent: number, received: number): void {
    this.#sent += sent;
    this.#received += received;
    const service = method.split(".", 1)[0];
    const counts = this.#byService.get(service) ?? { sent: 0, received: 0 };
    counts.sent += sent;
    counts.received += received;
    this.#byService.set(service, counts);
  }
  total(): { readonly sent: number; readonly received: number } {
    return { sent: this.#sent, received: this.#received };
  }
  byService(): Record<string, { sent: number; received: number }> {
    const copy: Record<string, { sent: number; received: number }> = {};
    for (const [service, counts] of this.#byService) {
      copy[service] = { ...counts };
    }
    return copy;
  }
}

/** What a {@link PeerSocket} needs from its transport. */
export interface PeerSocketContext {
  readonly clock: Clock;
  readonly faults: LinkFaults;
  readonly mostMessageBytes: number;
  readonly mostBufferedBytes: number;
}

/**
 * Whether a message was sent. `full`: the send buffer has no room for it. `tooLarge`: it exceeds the size limit.
 * `closed`: there is no connection.
 */
export type SendResult = "sent" | "full" | "tooLarge" | "closed";

/** A WebSocket with link faults and size limits. */
export class PeerSocket {
  peer: Peer;
  /** Monotonic time at which the last message was received. */
  lastReceivedMonoMs: number;
  readonly #context: PeerSocketContext;
  readonly #socket: WebSocket;
  /** Whether this is the client end, whose frames carry a mask of four bytes. */
  readonly #isClient: boolean;

  constructor(
    context: PeerSocketContext,
    socket: WebSocket,
    peer: Peer,
    isClient: boolean,
    onText: (text: string, bytes: number) => void,
  ) {
    this.#context = context;
    this.#socket = socket;
    this.#isClient = isClient;
    this.peer = peer;
    this.lastReceivedMonoMs = context.clock.monoMs();
    socket.on("message", (data) => this.#receive(data, onText));
  }

  get isOpen(): boolean {
    return this.#socket.readyState === 1;
  }

  /** Sends one text message and passes its frame size to `onBytes`. */
  send(text: string, onBytes: (bytes: number) => void): SendResult {
    if (!this.isOpen) return "closed";
    const payloadBytes = Buffer.byteLength(text);
    if (payloadBytes > this.#context.mostMessageBytes) return "tooLarge";
    const buffered = this.#socket.bufferedAmount + payloadBytes;
    if (buffered > this.#context.mostBufferedBytes) return "full";
    onBytes(frameBytes(payloadBytes, this.#isClient));
    const effect = this.#context.faults.effect(this.peer, "out");
    this.#applyEffect(effect, () => {
      if (this.isOpen) this.#socket.send(text);
    });
    return "sent";
  }

  terminate(): void {
    this.#socket.terminate();
  }

  close(): void {
    this.#socket.close(1000);
  }

  #receive(data: RawData, onText: (text: string, bytes: number) => void): void {
    const text = data.toString();
    const bytes = frameBytes(Buffer.byteLength(text), !this.#isClient);
    const effect = this.#context.faults.effect(this.peer, "in");
    this.#applyEffect(effect, () => {
      this.lastReceivedMonoMs = this.#context.clock.monoMs();
      onText(text, bytes);
    });
  }

  #applyEffect(effect: LinkEffect, deliver: () => void): void {
    if (effect.cut) return;
    if (effect.delayMs > 0) this.#context.clock.after(effect.delayMs, deliver);
    else deliver();
  }
}

/** Returns the size of a frame with its header. TCP and IP headers are not counted. */
function frameBytes(payloadBytes: number, isMasked: boolean): number {
  const lengthBytes = payloadBytes < 126 ? 0 : payloadBytes < 65_536 ? 2 : 8;
  return payloadBytes + 2 + lengthBytes + (isMasked ? 4 : 0);
}
