/**
 * The HTTP listeners: one for callers, one for relayed requests and calls of other VMs.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  CallerConnections,
  isAfterLastAnswer,
  type UnreadAnswer,
  UnreadAnswers,
  waitedMs,
} from "../adapters/mod.ts";
import { areHeaders, type Failure, failure } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import { type CallerHead, decodeHead } from "../platform/mod.ts";
import type { GatewayConfig, Route } from "../routing/mod.ts";
import { identifyCaller, type KnownCaller } from "../workspaces/mod.ts";
import { Call } from "./call.ts";
import type { CallInput } from "./call_input.ts";
import { NO_CONFIG_RETRY_MS, refusalBy } from "./config_refusal.ts";
import { BYTES_PER_MB, type GatewayContext } from "./context.ts";
import { canFinishHere } from "./drain_admission.ts";
import { closeServer, listen } from "./listen.ts";
import { decodeRelayTarget, isRelayed } from "./relay_target.ts";
import {
  CallerReply,
  decodeVersion,
  PeerReply,
  RELAY_HEADERS,
  type Reply,
} from "./reply.ts";

/**
 * How long a request waits at a VM that has just started and has no configuration yet. Callers still have its address;
 * the store answers the furthest region in a round trip of 2 x 80 ms, and the shortest objective is 0.4 s.
 */
const CONFIG_WAIT_MS = 250;
const CONFIG_CHECK_MS = 20;
/** Retry delay at a VM with too many open requests: as long as a usual answer takes. */
const OVERLOAD_RETRY_MS = 400;
/**
 * Longest wait in the start queue at which requests are still accepted. After a longer one a request would be late at
 * another VM too, and callers give up requests that are not read within a second.
 */
const MAX_START_WAIT_MS = 400;
/** Retry delay at a draining VM: the caller may go to another VM at once. */
const DRAINING_RETRY_MS = 20;
/** Most header bytes that Node parses; the configured limit, usually lower, applies to the parsed headers. */
const MAX_HEADER_BYTES = 65_536;
/** File descriptors reserved for files, listeners, the store and other VMs. */
const RESERVED_DESCRIPTORS = 600;
/** An open request has up to three connections: to the caller, to the upstream, and one that is being replaced. */
const DESCRIPTORS_PER_REQUEST = 3;
/** Idle connections between VMs stay open here longer than the other side reuses them. */
const PEER_IDLE_MS = 60_000;
/** Share of a VM's memory for answers that callers don't read, in the process and in the system. */
const UNREAD_MEMORY_SHARE = 0.2;
/** How often Node checks the listener's timeouts. */
const TIMEOUT_CHECK_MS = 500;

function countHeaderBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    request.url?.length ?? 0,
  );
}

/** A request whose head was read, and the reply to it. */
interface ArrivedRequest {
  readonly request: IncomingMessage;
  readonly head: CallerHead;
  readonly reply: Reply;
}

/** Handles calls of other VMs that are not relayed requests; see `peer_rpc.ts`. */
export interface PeerRpcHandler {
  readonly path: string;
  handle(request: IncomingMessage, response: ServerResponse): void;
}

/**
 * Accepts requests of callers and other VMs, refuses those that can't be served here, and starts a {@link Call} for
 * each of the others.
 */
export class HttpListeners extends Task {
  readonly name = "front";
  readonly #context: GatewayContext;
  readonly #peerRpc: PeerRpcHandler;
  protected readonly handlers: Handlers<Messages> = {};
  /** Connections on which an earlier request arrived. */
  readonly #usedSockets = new WeakSet<Socket>();
  #callerServer!: Server;
  #callerConnections!: CallerConnections;
  #openRelayedAnswers = 0;
  #peerServer!: Server;

  constructor(context: GatewayContext, peerRpc: PeerRpcHandler) {
    super();
    this.#context = context;
    this.#peerRpc = peerRpc;
  }

  async start(_kernel: Kernel): Promise<void> {
    const { settings, log } = this.#context;
    const { listen: addresses } = settings;
    this.#callerServer = await listen(
      addresses.callers,
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        requestTimeout: 0,
      },
      log,
      (request, response) => this.#onCallerRequest(request, response),
    );
    this.#callerConnections = new CallerConnections(this.#callerServer);
    this.#boundUnreadAnswers();
    this.#peerServer = await listen(
      addresses.peers,
      {
        keepAliveTimeout: PEER_IDLE_MS,
        maxHeaderSize: 2 * MAX_HEADER_BYTES,
        requestTimeout: 0,
      },
      log,
      (request, response) => this.#onPeerRequest(request, response),
    );
  }

  #boundUnreadAnswers(): void {
    const unread = new UnreadAnswers(this.#callerServer, {
      mostBytes: () =>
        this.#context.settings.vm.memoryMb * BYTES_PER_MB *
        UNREAD_MEMORY_SHARE,
      onReset: (answer) => this.#noteReset(answer),
    });
    this.#context.metrics.gauge("unread_bytes", "", () => unread.heldBytes);
  }

  #noteReset({ heldBytes, stalledMs }: UnreadAnswer): void {
    this.#context.metrics.count("unread_resets", "");
    this.#context.log.warn("caller that reads nothing was reset", {
      heldBytes,
      stalledMs: Math.round(stalledMs),
    });
  }

  async close(_deadlineMs: number): Promise<void> {
    await Promise.all([
      closeServer(this.#callerServer),
      closeServer(this.#peerServer),
    ]);
  }

  dump(): unknown {
    return {
      open: this.#context.openCalls.size,
      leaving: this.#context.isDraining,
      retryBudgets: this.#context.dumpRetryBudgets(),
    };
  }

  /** Closes callers' connections without a request in flight. */
  closeIdleConnections(): void {
    this.#callerConnections.closeIdle();
  }

  /** Number of requests, relayed ones among them, whose answers are not written out yet. */
  get openAnswers(): number {
    return this.#callerConnections.openAnswers + this.#openRelayedAnswers;
  }

  #onCallerRequest(request: IncomingMessage, response: ServerResponse): void {
    if (isAfterLastAnswer(request)) return void request.resume();
    const { clock, storeView } = this.#context;
    const arrivedMs = clock.monoMs() - waitedMs(request.socket);
    // A VM that stops would end before a first configuration comes, and cut off what waits for it.
    const mayWait = () => !storeView.config && !this.#context.isDraining;
    if (!mayWait()) return this.#admit(request, response, arrivedMs);
    const poll = clock.every(CONFIG_CHECK_MS, () => {
      const isTimedOut = clock.monoMs() - arrivedMs >= CONFIG_WAIT_MS;
      if (mayWait() && !isTimedOut && !response.closed) return;
      poll.close();
      if (!response.closed) this.#admit(request, response, arrivedMs);
    });
  }

  #admit(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ): void {
    const { storeView, settings } = this.#context;
    const head = decodeHead(request);
    const reply = new CallerReply(response, () => this.#context.isDraining);
    const arrived = { request, head, reply };
    if (!areHeaders(request.rawHeaders)) {
      return this.#refuse(arrived, failure("badRequest"), 0);
    }
    const { config } = storeView;
    if (!config) {
      return this.#refuse(arrived, failure("noTable"), NO_CONFIG_RETRY_MS);
    }
    this.#applyLimits(config);
    if (countHeaderBytes(request) > config.limits.headerBytes) {
      return this.#refuseByConfig(arrived, failure("headersTooLarge"));
    }
    const route = config.match(head.host, head.target);
    if (!route) {
      return this.#refuseByConfig(arrived, failure("notFound"));
    }
    const caller = this.#authenticate(config, route, arrived);
    if (!caller) return;
    const maxOpen = (settings.vm.mostDescriptors - RESERVED_DESCRIPTORS) /
      DESCRIPTORS_PER_REQUEST;
    const isFull = this.#context.openCalls.size >= maxOpen ||
      this.#context.startQueue.waitMs > MAX_START_WAIT_MS;
    if (isFull) {
      return this.#refuse(arrived, failure("queueFull"), OVERLOAD_RETRY_MS);
    }
    const waitMs = Math.min(head.waitMs ?? route.timeoutMs, route.timeoutMs);
    const input = {
      request,
      head,
      route,
      config,
      caller,
      deadlineMonoMs: arrivedMs + waitMs,
    };
    if (!canFinishHere(this.#context, input)) {
      return this.#refuse(arrived, failure("draining"), DRAINING_RETRY_MS);
    }
    this.#startCall({
      ...input,
      relayed: false,
      isTrialRun: false,
      mostUpstreams: route.mostUpstreams,
    }, reply);
  }

  #onPeerRequest(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === this.#peerRpc.path && !isRelayed(request)) {
      return this.#peerRpc.handle(request, response);
    }
    this.#openRelayedAnswers++;
    response.once("close", () => this.#openRelayedAnswers--);
    const { clock, storeView } = this.#context;
    const keyDigest = request.headers[RELAY_HEADERS.keyDigest];
    const callerHead = decodeHead(request);
    const head = {
      ...callerHead,
      target: decodeRelayTarget(callerHead.target),
      keyDigest: typeof keyDigest === "string" ? keyDigest : undefined,
    };
    const reply = new PeerReply(response, () => this.#context.isDraining);
    const arrived = { request, head, reply };
    const { config } = storeView;
    const route = config?.match(head.host, head.target);
    // A VM that doesn't have the sender's configuration yet must not decide by an older one.
    const isBehind = Number(request.headers[RELAY_HEADERS.configVersion]) >
      (config?.version ?? 0);
    if (!config || !route || isBehind) {
      return this.#refuse(arrived, failure("noTable"), NO_CONFIG_RETRY_MS);
    }
    const caller = this.#authenticate(config, route, arrived);
    if (!caller) return;
    const waitMs = Number(request.headers[RELAY_HEADERS.waitMs]) ||
      route.timeoutMs;
    const input = {
      request,
      head,
      route,
      config,
      caller,
      deadlineMonoMs: clock.monoMs() + waitMs,
    };
    if (!canFinishHere(this.#context, input)) {
      return this.#refuse(arrived, failure("draining"), DRAINING_RETRY_MS);
    }
    const mostUpstreams =
      Number(request.headers[RELAY_HEADERS.mostUpstreams]) || 1;
    const isTrialRun = request.headers[RELAY_HEADERS.onTrial] !== undefined;
    this.#startCall({
      ...input,
      relayed: true,
      isTrialRun,
      version: decodeVersion(request.headers),
      mostUpstreams,
    }, reply);
  }

  /** Identifies the caller, or refuses the request. */
  #authenticate(
    config: GatewayConfig,
    route: Route,
    arrived: ArrivedRequest,
  ): KnownCaller | undefined {
    const caller = identifyCaller(
      config.workspaces,
      route,
      arrived.head.keyDigest,
    );
    if (caller.type === "known") {
      if (!caller.workspace || this.#hasRecentKeys()) return caller;
      const cause = failure("noTable", {
        message: "whether the key was taken away can't be known here",
      });
      this.#refuse(arrived, cause, NO_CONFIG_RETRY_MS);
      return undefined;
    }
    const cause = caller.type === "unknown"
      ? failure("unauthenticated")
      : failure("forbidden", {
        message: "workspace and route share no home region",
      });
    this.#refuseByConfig(arrived, cause);
    return undefined;
  }

  /** Refuses what the configuration does not allow: for good only if it is the newest one. */
  #refuseByConfig(arrived: ArrivedRequest, cause: Failure): void {
    const { cause: given, comeBackMs } = refusalBy(
      this.#context.storeView,
      cause,
    );
    this.#refuse(arrived, given, comeBackMs);
  }

  /**
   * Whether the configuration is recent enough to rule out that a key was revoked. Operators who set `strictRevokeMs`
   * prefer a refused caller to one that is served with a revoked key.
   */
  #hasRecentKeys(): boolean {
    const { settings, storeView, members } = this.#context;
    const { strictRevokeMs } = settings.bounds;
    if (strictRevokeMs === undefined) return true;
    return storeView.configAgeMs < strictRevokeMs ||
      members.configAgeMs(storeView.copies.operators) < strictRevokeMs;
  }

  #startCall(partialInput: Omit<CallInput, "isFirst">, reply: Reply): void {
    const { socket } = partialInput.request;
    const input = { ...partialInput, isFirst: !this.#usedSockets.has(socket) };
    this.#usedSockets.add(socket);
    const call = new Call(this.#context, input, reply);
    reply.onDisconnect(() => call.cancel());
    void call.run();
  }

  #refuse(
    { request, head, reply }: ArrivedRequest,
    cause: Failure,
    retryAfterMs: number,
  ): void {
    request.resume();
    this.#context.metrics.count("refused", `code="${cause.code}"`);
    this.#context.log.warn("request", {
      attempt: head.attemptId,
      host: head.host,
      target: head.target,
      outcome: cause.code,
      reason: cause.message,
      comeBackMs: retryAfterMs,
      ...this.#context.storeView.configFields,
    });
    reply.fail(cause, retryAfterMs);
  }

  /** Applies the configured timeouts, which may change, to new connections and requests. */
  #applyLimits({ limits }: GatewayConfig): void {
    this.#callerServer.keepAliveTimeout = limits.idleMs;
    this.#callerServer.headersTimeout = limits.headerWaitMs;
  }
}
