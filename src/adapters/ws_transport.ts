/**
 * Messages between VMs: `json-rpc-2.0` over persistent WebSockets by `ws`. It opens a listener of its own, apart from
 * the callers' one, so that no caller can reach a method of the VMs.
 *
 * A connection carries the calls of the VM that opened it and their answers; two VMs that call each other hold two.
 * Both ends hold the same secret; it is checked in the handshake and never logged.
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

/** Who this VM is and where it listens. */
export interface WsTransportOptions {
  readonly vmId: string;
  readonly region: string;
  /** The VMs' shared credential. */
  readonly secret: string;
  /** Another credential that others may show, so that it can be changed VM by VM. */
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

/** The links of one VM. */
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
  #closed = false;

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

  /** Opens the listener; rejects if the port is taken. */
  static async open(options: WsTransportOptions): Promise<WsTransport> {
    const transport = new WsTransport(options);
    await new Promise<void>((resolve, reject) => {
      transport.#httpServer.once("error", reject);
      transport.#httpServer.listen(options.port, options.host, resolve);
    });
    return transport;
  }

  /** `host:port` it listens on. */
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
    if (this.#closed) return err({ kind: "unreachable", message: "closed" });
    return await this.#getLink(address).call(method, params, deadlineMs);
  }

  notify(address: string, method: string, params: unknown): void {
    if (!this.#closed) this.#getLink(address).notify(method, params);
  }

  bytes(): { readonly sent: number; readonly received: number } {
    return this.#context.bytes.total();
  }

  /** Bytes by service: the part of a method before its dot. */
  bytesByService(): Record<string, { sent: number; received: number }> {
    return this.#context.bytes.byService();
  }

  /** Open links and accepted connections, for a dump. */
  dump(): unknown {
    return {
      address: this.#closed ? undefined : this.address,
      links: [...this.#links.keys()],
      accepted: this.#wsServer.clients.size,
      bytes: this.bytesByService(),
      faults: this.faults.list(),
    };
  }

  /** Ends every connection at once, as a crash would; for tests. */
  terminate(): Promise<void> {
    for (const link of this.#links.values()) link.terminate();
    return this.close();
  }

  async close(): Promise<void> {
    if (this.#closed) return;
    this.#closed = true;
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

  /** A link per VM ever seen would grow with the fleet; only those in use stay. */
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

  /** The status a handshake is answered with; 101 admits it. */
  #checkHandshake(request: IncomingMessage): 101 | 400 | 401 | 426 {
    const given = request.headers.authorization ?? "";
    const secret = given.startsWith("Bearer ") ? given.slice(7) : "";
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
   * After a pause the accepted connections hold requests whose senders have long been served elsewhere. A frozen lead
   * that woke granted them slots that nobody used, and its own callers waited 30 s behind them until their deadline.
   * Peers connect anew; what they still want they ask again.
   */
  #closeAccepted(): void {
    this.#options.log?.warn("paused; links dropped", {
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
    const sent = peerSocket.send(
      JSON.stringify(response),
      (size) => counter.add(request.method, size, 0),
    );
    if (sent !== "tooLarge") return;
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
