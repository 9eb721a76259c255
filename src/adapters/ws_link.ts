/**
 * The client end of a link to another VM. It connects on demand, reconnects with backoff and matches answers to calls.
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
  PeerSocket,
  type PeerSocketContext,
  PROTOCOL,
  REGION_HEADER,
  VM_HEADER,
} from "./peer_socket.ts";

/** What a {@link WsLink} needs from its transport. */
export interface LinkContext extends PeerSocketContext {
  readonly vmId: string;
  readonly region: string;
  readonly secret: string;
  readonly random: Random;
  readonly bytes: ByteCounter;
  readonly handshakeTimeoutMs: number;
}

/** Short, because the link must reconnect within one or two heartbeats to a VM that is replaced at the same address. */
const RECONNECT_BACKOFF = { firstMs: 50, maxMs: 1000 };

/**
 * A VM that is frozen or behind a network cut keeps its connection open and answers nothing, so every call waits until
 * its deadline. The connection is ended after this many consecutive calls during which no byte was received. One such
 * call is not enough, because its handler may be slow.
 */
const MAX_SILENT_CALLS = 3;

/** These mark error answers that the link itself creates. They are compared by identity, so no peer can send them. */
const LOST = {};
const NOT_SENT = {};
const LOCAL_ERROR_CODE = -32000;

/** The client end of a link to one other VM. */
export class WsLink {
  readonly address: string;
  /** Monotonic time at which the link was last used. */
  lastUsedMonoMs: number;
  readonly #context: LinkContext;
  readonly #client: JSONRPCClient;
  readonly #pendingMethods = new Map<number, string>();
  #socket: PeerSocket | undefined;
  #connecting: Promise<Result<PeerSocket, CallError>> | undefined;
  #failureCount = 0;
  #reconnectAtMonoMs = 0;
  #silentCallCount = 0;
  #nextId = 0;
  #isClosed = false;

  constructor(address: string, context: LinkContext) {
    this.address = address;
    this.#context = context;
    this.lastUsedMonoMs = context.clock.monoMs();
    this.#client = new JSONRPCClient((request) => this.#send(request));
  }

  /** The number of calls that wait for an answer. */
  get pending(): number {
    return this.#pendingMethods.size;
  }

  async call(
    method: string,
    params: unknown,
    deadlineMs: number,
  ): Promise<Result<unknown, CallError>> {
    const connected = await this.#waitConnected(deadlineMs);
    if (connected.isErr()) return err(connected.error);
    const id = ++this.#nextId;
    const sentMonoMs = this.#context.clock.monoMs();
    this.#pendingMethods.set(id, method);
    const timer = this.#context.clock.after(
      Math.max(0, deadlineMs - this.#context.clock.nowMs()),
      () => this.#handleTimeout(id, sentMonoMs),
    );
    const response = await this.#client.requestAdvanced({
      jsonrpc: "2.0",
      id,
      method,
      params,
    });
    timer.close();
    this.#pendingMethods.delete(id);
    return toResult(response);
  }

  notify(method: string, params: unknown): void {
    const send = (socket: PeerSocket) => {
      const text = JSON.stringify({ jsonrpc: "2.0", method, params });
      socket.send(text, (bytes) => this.#context.bytes.add(method, bytes, 0));
    };
    this.lastUsedMonoMs = this.#context.clock.monoMs();
    if (this.#socket?.isOpen) send(this.#socket);
    else void this.#connect().then((connected) => connected.map(send));
  }

  close(): void {
    this.#isClosed = true;
    this.#socket?.close();
    this.#failPending("the link was closed");
  }

  /** Ends the connection at once, without a closing handshake. */
  terminate(): void {
    this.#isClosed = true;
    this.#socket?.terminate();
  }

  #send(request: { id: number; method: string }): void {
    const sendResult = this.#socket?.send(
      JSON.stringify(request),
      (bytes) => this.#context.bytes.add(request.method, bytes, 0),
    ) ?? "closed";
    if (sendResult === "sent") return;
    this.#client.receive(
      createJSONRPCErrorResponse(
        request.id,
        LOCAL_ERROR_CODE,
        sendResult,
        NOT_SENT,
      ),
    );
  }

  async #waitConnected(
    deadlineMs: number,
  ): Promise<Result<PeerSocket, CallError>> {
    this.lastUsedMonoMs = this.#context.clock.monoMs();
    if (this.#socket?.isOpen) return ok(this.#socket);
    const leftMs = deadlineMs - this.#context.clock.nowMs();
    return await new Promise((resolve) => {
      const timer = this.#context.clock.after(
        Math.max(0, leftMs),
        () => resolve(unreachableError("no connection before the deadline")),
      );
      void this.#connect().then((result) => {
        timer.close();
        resolve(result);
      });
    });
  }

  #connect(): Promise<Result<PeerSocket, CallError>> {
    if (this.#isClosed) return Promise.resolve(unreachableError("closed"));
    if (this.#connecting) return this.#connecting;
    if (this.#context.clock.monoMs() < this.#reconnectAtMonoMs) {
      return Promise.resolve(unreachableError("waiting to reconnect"));
    }
    this.#connecting = this.#dial().then((result) => {
      this.#connecting = undefined;
      if (result.isOk()) this.#failureCount = 0;
      else this.#backOff();
      return result;
    });
    return this.#connecting;
  }

  #backOff(): void {
    const waitMs = backoffMs(
      this.#failureCount++,
      RECONNECT_BACKOFF,
      this.#context.random,
    );
    this.#reconnectAtMonoMs = this.#context.clock.monoMs() + waitMs;
  }

  async #dial(): Promise<Result<PeerSocket, CallError>> {
    const { clock, faults, handshakeTimeoutMs } = this.#context;
    if (faults.blocks({ address: this.address })) {
      await clock.sleep(handshakeTimeoutMs);
      return unreachableError("the handshake timed out");
    }
    return await new Promise((resolve) => this.#openSocket(resolve));
  }

  #openSocket(resolve: (result: Result<PeerSocket, CallError>) => void): void {
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
    let peerSocket: PeerSocket | undefined;
    socket.on("upgrade", (response) => (peer = peerOf(this.address, response)));
    socket.on("error", (error) => resolve(unreachableError(error.message)));
    socket.on("open", () => {
      peerSocket = new PeerSocket(
        this.#context,
        socket,
        peer,
        true,
        (text, bytes) => this.#receive(text, bytes),
      );
      if (this.#isClosed || this.#context.faults.blocks(peer)) {
        peerSocket.terminate();
        resolve(unreachableError("the handshake timed out"));
        return;
      }
      this.#socket = peerSocket;
      this.#silentCallCount = 0;
      resolve(ok(peerSocket));
    });
    socket.on("close", () => {
      resolve(unreachableError("the connection was refused"));
      if (!peerSocket || this.#socket !== peerSocket) return;
      this.#socket = undefined;
      this.#failPending("the connection was lost");
    });
  }

  #receive(text: string, bytes: number): void {
    this.#silentCallCount = 0;
    let response: JSONRPCResponse;
    try {
      response = JSON.parse(text);
    } catch {
      this.#socket?.terminate();
      return;
    }
    const method = this.#pendingMethods.get(response.id as number);
    this.#context.bytes.add(method ?? "late", 0, bytes);
    this.#client.receive(response);
  }

  #handleTimeout(id: number, sentMonoMs: number): void {
    const socket = this.#socket;
    this.#client.receive(lostResponse(id, "no answer before the deadline"));
    if (!socket || socket.lastReceivedMonoMs > sentMonoMs) return;
    this.#silentCallCount++;
    if (this.#silentCallCount >= MAX_SILENT_CALLS) socket.terminate();
  }

  #failPending(message: string): void {
    for (const id of [...this.#pendingMethods.keys()]) {
      this.#client.receive(lostResponse(id, message));
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

function unreachableError(message: string): Result<never, CallError> {
  return err({ kind: "unreachable", message });
}

function lostResponse(id: number, message: string): JSONRPCResponse {
  return createJSONRPCErrorResponse(id, LOCAL_ERROR_CODE, message, LOST);
}

function toResult(response: JSONRPCResponse): Result<unknown, CallError> {
  if (!response.error) return ok(response.result);
  const { message, data } = response.error;
  if (data === LOST) return err({ kind: "lost", message });
  return err({ kind: data === NOT_SENT ? "unreachable" : "failed", message });
}
