/**
 * Messages between VMs: `json-rpc-2.0` over persistent WebSockets of the `ws` package. The transport has its own
 * listener, separate from the one for callers, so that no caller can reach a method for VMs.
 *
 * A connection carries the calls of the VM that opened it and their answers, so two VMs that call each other have two
 * connections. Both ends have the same secret, which is checked in the handshake and never logged.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { JSONRPCServer } from "json-rpc-2.0";
import { err, type Result } from "neverthrow";
import type { Log } from "../kernel/mod.ts";
import { type WebSocket, WebSocketServer } from "ws";
import {
  type Clock,
  hash32,
  PauseDetector,
  Random,
  secretDigest,
  secretMatches,
  systemClock,
  type Timer,
} from "../base/mod.ts";
import { listenAt } from "./address_in_use.ts";
import { LinkFaults } from "./link_faults.ts";
import {
  type CallError,
  type Handler,
  type Sender,
  Transport,
} from "./transport.ts";
import { type LinkContext, WsLink } from "./ws_link.ts";
import {
  ByteCounter,
  PeerSocket,
  PROTOCOL,
  REGION_HEADER,
  VM_HEADER,
} from "./peer_socket.ts";

/** Options of a {@link WsTransport}: the VM's identity, credentials, listener and limits. */
export interface WsTransportOptions {
  readonly vmId: string;
  readonly region: string;
  /** The VMs' shared credential. */
  readonly secret: string;
  /** A second credential that other VMs may present, so that the credential can be changed VM by VM. */
  readonly alsoAccepted?: string;
  readonly host: string;
  /** 0 takes any free port; see {@link WsTransport.address}. */
  readonly port: number;
  readonly faults?: LinkFaults;
  readonly clock?: Clock;
  readonly log?: Log;
  readonly mostMessageBytes?: number;
  readonly mostBufferedBytes?: number;
  readonly handshakeTimeoutMs?: number;
}

const IDLE_TIMEOUT_MS = 60_000;
const SWEEP_INTERVAL_MS = 15_000;
const MIB = 1024 * 1024;

/** The {@link Transport} over WebSockets: the links that this VM opens and the connections that it accepts. */
export class WsTransport extends Transport {
  readonly faults: LinkFaults;
  readonly #options: WsTransportOptions;
  readonly #context: LinkContext;
  readonly #secretDigests: readonly string[];
  readonly #httpServer: Server;
  readonly #wsServer: WebSocketServer;
  readonly #rpcServer: JSONRPCServer<Sender>;
  readonly #links = new Map<string, WsLink>();
  readonly #sweepTimer: Timer;
  readonly #pauseDetector: PauseDetector;
  #isClosed = false;

  private constructor(options: WsTransportOptions) {
    super();
    this.#options = options;
    this.faults = options.faults ?? new LinkFaults();
    this.#context = createLinkContext(options, this.faults);
    const secrets = [options.secret, options.alsoAccepted ?? options.secret];
    this.#secretDigests = secrets.map(secretDigest);
    this.#rpcServer = new JSONRPCServer({
      errorListener: (message) =>
        options.log?.warn("peer call failed", { error: message }),
    });
    this.#httpServer = createServer((_request, response) => {
      response.writeHead(426, { connection: "close" }).end();
    });
    this.#wsServer = this.#createWsServer();
    this.#pauseDetector = new PauseDetector(this.#context.clock);
    this.#sweepTimer = this.#context.clock.every(
      SWEEP_INTERVAL_MS,
      () => this.#closeIdleLinks(),
    );
  }

  /** Opens the listener. The promise rejects if the port is in use. */
  static async open(options: WsTransportOptions): Promise<WsTransport> {
    const transport = new WsTransport(options);
    const { host, port } = options;
    await listenAt(transport.#httpServer, { host, port });
    return transport;
  }

  /** `host:port` that the transport listens on. */
  get address(): string {
    const { port } = this.#httpServer.address() as AddressInfo;
    return `${this.#options.host}:${port}`;
  }

  handle(method: string, handler: Handler): void {
    this.#rpcServer.addMethod(method, (params, from) => handler(params, from));
  }

  async call(
    address: string,
    method: string,
    params: unknown,
    deadlineMs: number,
  ): Promise<Result<unknown, CallError>> {
    if (this.#isClosed) return err({ kind: "unreachable", message: "closed" });
    return await this.#getLink(address).call(method, params, deadlineMs);
  }

  notify(address: string, method: string, params: unknown): void {
    if (!this.#isClosed) this.#getLink(address).notify(method, params);
  }

  bytes(): { readonly sent: number; readonly received: number } {
    return this.#context.bytes.total();
  }

  /** Returns the bytes by service, which is the part of a method before its dot. */
  bytesByService(): Record<string, { sent: number; received: number }> {
    return this.#context.bytes.byService();
  }

  /** Returns the open links and the number of accepted connections for a dump. */
  dump(): unknown {
    return {
      address: this.#isClosed ? undefined : this.address,
      links: [...this.#links.keys()],
      accepted: this.#wsServer.clients.size,
      bytes: this.bytesByService(),
      faults: this.faults.list(),
    };
  }

  /** Ends every connection at once, as a crash would. Only tests use it. */
  terminate(): Promise<void> {
    for (const link of this.#links.values()) link.terminate();
    return this.close();
  }

  async close(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#sweepTimer.close();
    this.#pauseDetector.close();
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
    const closed = new Promise<void>((resolve) =>
      this.#httpServer.close(() => resolve())
    );
    for (const socket of this.#wsServer.clients) socket.terminate();
    this.#wsServer.close();
    this.#httpServer.closeAllConnections();
    await closed;
  }

  #getLink(address: string): WsLink {
    let link = this.#links.get(address);
    if (!link) {
      link = new WsLink(address, this.#context);
      this.#links.set(address, link);
    }
    return link;
  }

  /** Closes unused links. Otherwise the VM would keep a link to every VM that it ever called. */
  #closeIdleLinks(): void {
    const idleSinceMs = this.#context.clock.monoMs() - IDLE_TIMEOUT_MS;
    for (const [address, link] of this.#links) {
      if (link.pending > 0 || link.lastUsedMonoMs > idleSinceMs) continue;
      link.close();
      this.#links.delete(address);
    }
  }

  #createWsServer(): WebSocketServer {
    const wsServer = new WebSocketServer({
      server: this.#httpServer,
      maxPayload: this.#context.mostMessageBytes,
      perMessageDeflate: false,
      clientTracking: true,
      handleProtocols: () => PROTOCOL,
      verifyClient: ({ req }, answer) => {
        const status = this.#checkHandshake(req);
        answer(status === 101, status === 101 ? undefined : status);
      },
    });
    wsServer.on("headers", (headers) => {
      headers.push(`${VM_HEADER}: ${this.#options.vmId}`);
      headers.push(`${REGION_HEADER}: ${this.#options.region}`);
    });
    wsServer.on("connection", (socket, request) => {
      this.#accept(socket, request);
    });
    return wsServer;
  }

  /** Returns the HTTP status with which a handshake is answered; 101 accepts it. */
  #checkHandshake(request: IncomingMessage): 101 | 400 | 401 | 426 {
    const authorization = request.headers.authorization ?? "";
    const secret = authorization.startsWith("Bearer ")
      ? authorization.slice(7)
      : "";
    const isKnown = this.#secretDigests.some((digest) =>
      secretMatches(secret, digest)
    );
    if (!isKnown) return 401;
    const offered = request.headers["sec-websocket-protocol"]?.split(/,\s*/);
    if (!offered?.includes(PROTOCOL)) return 426;
    return senderOf(request) ? 101 : 400;
  }

  #accept(socket: WebSocket, request: IncomingMessage): void {
    const from = senderOf(request)!;
    socket.on("error", (error) => {
      this.#options.log?.debug("peer connection failed", {
        peer: from.vmId,
        error: error.message,
      });
    });
    const peerSocket = new PeerSocket(
      this.#context,
      socket,
      from,
      false,
      (text, bytes) => {
        void this.#handleMessage(peerSocket, from, text, bytes);
      },
    );
    if (this.faults.blocks(from)) peerSocket.terminate();
  }

  /**
   * Closes the accepted connections after this process was paused. They hold requests whose senders have been served
   * elsewhere in the meantime. If a lead that was frozen granted slots to these requests, nobody would use the slots, and
   * the lead's own callers would wait behind them for 30 s until their deadline. Peers connect again and repeat the
   * requests that they still need.
   */
  #closeAccepted(): void {
    this.#options.log?.warn("closed accepted connections after a pause", {
      accepted: this.#wsServer.clients.size,
    });
    for (const socket of this.#wsServer.clients) socket.terminate();
  }

  async #handleMessage(
    peerSocket: PeerSocket,
    from: Sender,
    text: string,
    bytes: number,
  ): Promise<void> {
    if (this.#pauseDetector.consumePause()) this.#closeAccepted();
    if (!peerSocket.isOpen) return;
    const request = parseRequest(text);
    if (!request) {
      peerSocket.terminate();
      return;
    }
    const counter = this.#context.bytes;
    counter.add(request.method, 0, bytes);
    const response = await this.#rpcServer.receive(request, from);
    if (!response) return;
    const sendResult = peerSocket.send(
      JSON.stringify(response),
      (size) => counter.add(request.method, size, 0),
    );
    if (sendResult !== "tooLarge") return;
    const error = { code: -32001, message: "the answer is too large" };
    peerSocket.send(
      JSON.stringify({ jsonrpc: "2.0", id: request.id, error }),
      (size) => counter.add(request.method, size, 0),
    );
  }
}

function createLinkContext(
  options: WsTransportOptions,
  faults: LinkFaults,
): LinkContext {
  return {
    vmId: options.vmId,
    region: options.region,
    secret: options.secret,
    clock: options.clock ?? systemClock,
    faults,
    mostMessageBytes: options.mostMessageBytes ?? MIB,
    mostBufferedBytes: options.mostBufferedBytes ?? 4 * MIB,
    handshakeTimeoutMs: options.handshakeTimeoutMs ?? 2000,
    random: new Random(hash32(options.vmId)),
    bytes: new ByteCounter(),
  };
}

function senderOf(request: IncomingMessage): Sender | undefined {
  const vmId = request.headers[VM_HEADER];
  const region = request.headers[REGION_HEADER];
  if (typeof vmId !== "string" || typeof region !== "string") return undefined;
  return vmId && region ? { vmId, region } : undefined;
}

type RpcRequest = { jsonrpc: "2.0"; id?: number; method: string };

function parseRequest(text: string): RpcRequest | undefined {
  try {
    const value = JSON.parse(text);
    return typeof value?.method === "string" ? value : undefined;
  } catch {
    return undefined;
  }
}
