/**
 * The link that this VM opens to one other: connects on demand, reconnects with backoff, matches answers to calls.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { WebSocket } from "ws";
import { backoffMs, type Random } from "../base/mod.ts";
import type { Peer } from "./link_faults.ts";
import type { CallError } from "./transport.ts";
import {
  type ByteCounter,
  PROTOCOL,
  REGION_HEADER,
  VM_HEADER,
  Wire,
  type WireContext,
} from "./ws_wire.ts";

/** What a {@link WsLink} needs of its transport. */
export interface LinkContext extends WireContext {
  readonly vmId: string;
  readonly region: string;
  readonly secret: string;
  readonly random: Random;
  readonly bytes: ByteCounter;
  readonly handshakeTimeoutMs: number;
}

/** Short: a VM replaced under the same address must be found again within a heartbeat or two. */
const RECONNECT = { firstMs: 50, maxMs: 1000 };

/**
 * A VM that is frozen, or behind a cut, keeps its connection open and answers nothing; every call then waits for its
 * whole deadline. After this many calls in a row without a byte received the connection is given up. One quiet call
 * proves nothing: a handler may be slow.
 */
const MOST_SILENT_CALLS = 3;

/** Mark answers that were made here because none came. Compared by identity, so that no peer can send them. */
const LOST = {};
const UNSENT = {};
const LOCAL_CODE = -32000;

/** The client's end of a link. */
export class WsLink {
  readonly address: string;
  /** Monotonic time of the last use. */
  lastUsedMonoMs: number;
  readonly #context: LinkContext;
  readonly #client: JSONRPCClient;
  readonly #methods = new Map<number, string>();
  #wire: Wire | undefined;
  #connecting: Promise<Result<Wire, CallError>> | undefined;
  #failures = 0;
  #notBeforeMonoMs = 0;
  #silentCalls = 0;
  #nextId = 0;
  #closed = false;

  constructor(address: string, context: LinkContext) {
    this.address = address;
    this.#context = context;
    this.lastUsedMonoMs = context.clock.monoMs();
    this.#client = new JSONRPCClient((request) => this.#send(request));
  }

  /** The number of calls that wait for an answer. */
  get pending(): number {
    return this.#methods.size;
  }

  async call(
    method: string,
    params: unknown,
    deadlineMs: number,
  ): Promise<Result<unknown, CallError>> {
    const wire = await this.#ready(deadlineMs);
    if (wire.isErr()) return err(wire.error);
    const id = ++this.#nextId;
    const sentMonoMs = this.#context.clock.monoMs();
    this.#methods.set(id, method);
    const timer = this.#context.clock.after(
      Math.max(0, deadlineMs - this.#context.clock.nowMs()),
      () => this.#timeOut(id, sentMonoMs),
    );
    const response = await this.#client.requestAdvanced({
      jsonrpc: "2.0",
      id,
      method,
      params,
    });
    timer.close();
    this.#methods.delete(id);
    return toResult(response);
  }

  notify(method: string, params: unknown): void {
    const send = (wire: Wire) => {
      const text = JSON.stringify({ jsonrpc: "2.0", method, params });
      wire.send(text, (bytes) => this.#context.bytes.add(method, bytes, 0));
    };
    this.lastUsedMonoMs = this.#context.clock.monoMs();
    if (this.#wire?.open) send(this.#wire);
    else void this.#connect().then((wire) => wire.map(send));
  }

  close(): void {
    this.#closed = true;
    this.#wire?.close();
    this.#loseAll("the link was closed");
  }

  /** Ends the connection at once. */
  terminate(): void {
    this.#closed = true;
    this.#wire?.terminate();
  }

  #send(request: { id: number; method: string }): void {
    const sent = this.#wire?.send(
      JSON.stringify(request),
      (bytes) => this.#context.bytes.add(request.method, bytes, 0),
    ) ?? "closed";
    if (sent === "sent") return;
    this.#client.receive(
      createJSONRPCErrorResponse(request.id, LOCAL_CODE, sent, UNSENT),
    );
  }

  async #ready(deadlineMs: number): Promise<Result<Wire, CallError>> {
    this.lastUsedMonoMs = this.#context.clock.monoMs();
    if (this.#wire?.open) return ok(this.#wire);
    const leftMs = deadlineMs - this.#context.clock.nowMs();
    return await new Promise((resolve) => {
      const timer = this.#context.clock.after(
        Math.max(0, leftMs),
        () => resolve(unreachable("no connection before the deadline")),
      );
      void this.#connect().then((result) => {
        timer.close();
        resolve(result);
      });
    });
  }

  #connect(): Promise<Result<Wire, CallError>> {
    if (this.#closed) return Promise.resolve(unreachable("closed"));
    if (this.#connecting) return this.#connecting;
    if (this.#context.clock.monoMs() < this.#notBeforeMonoMs) {
      return Promise.resolve(unreachable("waiting to reconnect"));
    }
    this.#connecting = this.#dial().then((result) => {
      this.#connecting = undefined;
      if (result.isOk()) this.#failures = 0;
      else this.#backOff();
      return result;
    });
    return this.#connecting;
  }

  #backOff(): void {
    const waitMs = backoffMs(
      this.#failures++,
      RECONNECT,
      this.#context.random,
    );
    this.#notBeforeMonoMs = this.#context.clock.monoMs() + waitMs;
  }

  async #dial(): Promise<Result<Wire, CallError>> {
    const { clock, faults, handshakeTimeoutMs } = this.#context;
    if (faults.blocks({ address: this.address })) {
      await clock.sleep(handshakeTimeoutMs);
      return unreachable("the handshake timed out");
    }
    return await new Promise((resolve) => this.#open(resolve));
  }

  #open(resolve: (result: Result<Wire, CallError>) => void): void {
    const { vmId, region, secret, mostMessageBytes, handshakeTimeoutMs } =
      this.#context;
    const socket = new WebSocket(`ws://${this.address}/`, PROTOCOL, {
      headers: {
        authorization: `Bearer ${secret}`,
        [VM_HEADER]: vmId,
        [REGION_HEADER]: region,
      },
      handshakeTimeout: handshakeTimeoutMs,
      maxPayload: mostMessageBytes,
      perMessageDeflate: false,
    });
    let peer: Peer = { address: this.address };
    let wire: Wire | undefined;
    socket.on("upgrade", (response) => (peer = peerOf(this.address, response)));
    socket.on("error", (error) => resolve(unreachable(error.message)));
    socket.on("open", () => {
      wire = new Wire(
        this.#context,
        socket,
        peer,
        true,
        (text, bytes) => this.#receive(text, bytes),
      );
      if (this.#closed || this.#context.faults.blocks(peer)) {
        wire.terminate();
        resolve(unreachable("the handshake timed out"));
        return;
      }
      this.#wire = wire;
      this.#silentCalls = 0;
      resolve(ok(wire));
    });
    socket.on("close", () => {
      resolve(unreachable("the connection was refused"));
      if (!wire || this.#wire !== wire) return;
      this.#wire = undefined;
      this.#loseAll("the connection was lost");
    });
  }

  #receive(text: string, bytes: number): void {
    this.#silentCalls = 0;
    let response: JSONRPCResponse;
    try {
      response = JSON.parse(text);
    } catch {
      this.#wire?.terminate();
      return;
    }
    const method = this.#methods.get(response.id as number);
    this.#context.bytes.add(method ?? "late", 0, bytes);
    this.#client.receive(response);
  }

  #timeOut(id: number, sentMonoMs: number): void {
    const wire = this.#wire;
    this.#client.receive(lost(id, "no answer before the deadline"));
    if (!wire || wire.lastReceivedMonoMs > sentMonoMs) return;
    this.#silentCalls++;
    if (this.#silentCalls >= MOST_SILENT_CALLS) wire.terminate();
  }

  #loseAll(message: string): void {
    for (const id of [...this.#methods.keys()]) {
      this.#client.receive(lost(id, message));
    }
  }
}

function peerOf(address: string, response: IncomingMessage) {
  return {
    address,
    vmId: response.headers[VM_HEADER] as string | undefined,
    region: response.headers[REGION_HEADER] as string | undefined,
  };
}

function unreachable(message: string): Result<never, CallError> {
  return err({ kind: "unreachable", message });
}

function lost(id: number, message: string): JSONRPCResponse {
  return createJSONRPCErrorResponse(id, LOCAL_CODE, message, LOST);
}

function toResult(response: JSONRPCResponse): Result<unknown, CallError> {
  if (!response.error) return ok(response.result);
  const { message, data } = response.error;
  if (data === LOST) return err({ kind: "lost", message });
  return err({ kind: data === UNSENT ? "unreachable" : "failed", message });
}
