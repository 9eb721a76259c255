/**
 * A caller that floods VMs, or asks them for answers without end: one connection at a time, at one VM until that VM's
 * process is gone, then at the next one.
 *
 * @module
 */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import {
  type Flood,
  isAnswerFlood,
  isUnframed,
  repeatRequest,
} from "./floods.ts";
import { writeWithoutEnd } from "./flood_writer.ts";
import type { Endpoint } from "./proxy.ts";

/** Pause between a connection's end and the next one. */
const RECONNECT_MS = 200;
const DEADLINE_MS = 8_000;
/** Who reads nothing doesn't see that its VM is gone, and connects again after so long. */
const UNREAD_MS = 2_000;
/** Whole requests that are sent with one write. */
const PIPELINED_AT_ONCE = 100;
/** The status line of an answer that no flood follows. */
const REFUSAL = /^HTTP\/1\.1 [45]/;
const STATUS_LINE_BYTES = 16;
/** What upstreams send to callers that read nothing. */
const UNREAD_ANSWER = "body";
/** What upstreams answer in order. */
const SOUND_ANSWER = "sound";

/** Who a flooding caller is, and where it floods. */
export interface FloodCallerOptions {
  readonly flood: Flood;
  /** Begins the ids of its requests. */
  readonly name: string;
  /** The VMs that it uses one after the other. */
  readonly vms: readonly Endpoint[];
}

/** One connection of a flood, which is opened again and again. */
export class FloodCaller {
  /** Number of connections that a VM accepted. */
  connections = 0;
  sentBytes = 0;
  readBytes = 0;
  readonly #options: FloodCallerOptions;
  #requests = 0;
  #vm = 0;
  #socket: Socket | undefined;
  #isClosed = false;

  constructor(options: FloodCallerOptions) {
    this.#options = options;
  }

  /** Floods until it is closed. */
  async run(): Promise<void> {
    const { vms } = this.#options;
    while (!this.#isClosed) {
      const wasAccepted = await this.#connectOnce(vms[this.#vm]);
      if (!wasAccepted) this.#vm = (this.#vm + 1) % vms.length;
      if (!this.#isClosed) await sleep(RECONNECT_MS);
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#socket?.destroy();
  }

  /** Floods one connection until it ends; returns whether the VM accepted it. */
  async #connectOnce(vm: Endpoint): Promise<boolean> {
    const socket = connect({ ...vm, noDelay: isUnframed(this.#how) });
    this.#socket = socket;
    socket.on("error", () => {});
    const closed = new Promise<void>((resolve) =>
      socket.once("close", () => resolve())
    );
    const isOpen = await Promise.race([
      once(socket, "connect").then(() => true, () => false),
      closed.then(() => false),
    ]);
    if (isOpen) {
      this.connections++;
      this.#flood(socket);
    }
    await closed;
    this.sentBytes += socket.bytesWritten;
    this.readBytes += socket.bytesRead;
    return isOpen;
  }

  get #how(): Flood["how"] {
    return this.#options.flood.how;
  }

  #flood(socket: Socket): void {
    const { how, pieceBytes } = this.#options.flood;
    if (isAnswerFlood(how)) {
      // A VM keeps a connection open after a refusal.
      socket.on("data", (chunk) => {
        if (REFUSAL.test(chunk.toString("latin1", 0, STATUS_LINE_BYTES))) {
          socket.destroy();
        }
      });
      socket.write(this.#formatHead(how) + "\r\n");
      return;
    }
    if (how === "unread") {
      socket.write(this.#formatHead(UNREAD_ANSWER) + "\r\n");
      const timer = setTimeout(() => socket.destroy(), UNREAD_MS);
      socket.once("close", () => clearTimeout(timer));
      return;
    }
    if (how === "pipelined") {
      void writeWithoutEnd(socket, () => this.#formatRequests());
      return;
    }
    socket.resume();
    socket.write(this.#formatHead(SOUND_ANSWER) + formatFloodOpening(how));
    const repeated = Buffer.from(repeatRequest(how, pieceBytes));
    void writeWithoutEnd(socket, () => repeated);
  }

  /** The head of a request without its last line; the path tells the upstream how to answer. */
  #formatHead(answer: string): string {
    const { name, flood } = this.#options;
    const method = methodOf(this.#how);
    const id = `${name}-${this.#requests++}`;
    return [
      `${method} /${flood.route}/${answer}/${flood.pieceBytes}/${id} HTTP/1.1`,
      `Host: ${ROUTE_HOST}`,
      `Attempt-Id: ${id}`,
      `Deadline-Ms: ${DEADLINE_MS}`,
      "",
    ].join("\r\n");
  }

  #formatRequests(): string {
    const { pieceBytes } = this.#options.flood;
    const body = "x".repeat(pieceBytes);
    const count = Math.max(
      1,
      Math.min(PIPELINED_AT_ONCE, PIPELINED_AT_ONCE * 1_000 / pieceBytes),
    );
    return Array.from({ length: count }, () => {
      const head = this.#formatHead(SOUND_ANSWER);
      return `${head}Content-Length: ${pieceBytes}\r\n\r\n${body}`;
    }).join("");
  }
}

function methodOf(how: Flood["how"]): string {
  return isAnswerFlood(how) || how === "unread" ? "GET" : "POST";
}

/** What follows the head of a request that has no end. */
function formatFloodOpening(
  how: "requestLine" | "requestBody" | "requestExtension",
): string {
  if (how === "requestLine") return "X-Filler: ";
  const opening = "Transfer-Encoding: chunked\r\n\r\n";
  return how === "requestExtension" ? `${opening}1;` : opening;
}
