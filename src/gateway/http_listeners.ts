/**
 * The callers' listener, and the one on which other VMs hand requests over.
 *
 * @module
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type Failure, failure } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Messages,
  Task,
} from "../kernel/mod.ts";
import { type CallerHead, decodeHead } from "../platform/mod.ts";
import { canFinish, type GatewayConfig, type Route } from "../routing/mod.ts";
import { identifyCaller, type KnownCaller } from "../workspaces/mod.ts";
import { Call } from "./call.ts";
import type { CallInput } from "./call_input.ts";
import type { GatewayContext } from "./context.ts";
import { closeServer, listen } from "./listen.ts";
import { CallerReply, PeerReply, RELAY_HEADERS, type Reply } from "./reply.ts";

/**
 * How long a request waits at a VM that has just started and has no configuration yet. Callers still hold its address; the
 * store answers in two ways of 80 ms each from the furthest region, and the shortest objective is 0.4 s.
 */
const CONFIG_WAIT_MS = 250;
const CONFIG_CHECK_MS = 20;
/** When to return to a VM without a configuration: it asks the store and other VMs several times a second. */
const NO_CONFIG_RETRY_MS = 500;
/** When to return if this VM holds too much: as long as a usual answer takes. */
const OVERLOAD_RETRY_MS = 400;
/** A request that waits longer for its turn is late elsewhere too by then; callers give up unread ones after a second. */
const MAX_TURN_WAIT_MS = 400;
/** When to return after meeting a VM that is about to stop: at once, elsewhere. */
const DRAINING_RETRY_MS = 20;
/** Largest head that is parsed at all; the configured limit, usually lower, is applied to what was parsed. */
const MAX_HEADER_BYTES = 65_536;
/** Descriptors kept free for files, listeners, the store and other VMs. */
const RESERVED_DESCRIPTORS = 600;
/** An open request holds up to three connections: the caller's, the upstream's, one that is being replaced. */
const DESCRIPTORS_PER_REQUEST = 3;
/** Links between VMs are kept longer than the other side uses them idle. */
const PEER_IDLE_MS = 60_000;
/** How often timeouts of the listener are looked at. */
const TIMEOUT_CHECK_MS = 500;

function countHeaderBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    request.url?.length ?? 0,
  );
}

/** Answers questions of other VMs that are not requests of callers; see `peer_rpc.ts`. */
export interface PeerRpcHandler {
  readonly path: string;
  handle(request: IncomingMessage, response: ServerResponse): void;
}

/** See the module. */
export class HttpListeners extends Task {
  readonly name = "front";
  readonly #context: GatewayContext;
  readonly #peerRpc: PeerRpcHandler;
  protected readonly handlers: Handlers<Messages> = {};
  /** Connections on which a request was read before. */
  readonly #usedSockets = new WeakSet<Socket>();
  #callerServer!: Server;
  #peerServer!: Server;

  constructor(context: GatewayContext, peerRpc: PeerRpcHandler) {
    super();
    this.#context = context;
    this.#peerRpc = peerRpc;
  }

  async start(_kernel: Kernel): Promise<void> {
    const { listen: addresses } = this.#context.settings;
    this.#callerServer = await listen(addresses.callers, {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      requestTimeout: 0,
    }, (request, response) => this.#onCallerRequest(request, response));
    this.#peerServer = await listen(addresses.peers, {
      keepAliveTimeout: PEER_IDLE_MS,
      maxHeaderSize: 2 * MAX_HEADER_BYTES,
      requestTimeout: 0,
    }, (request, response) => this.#onPeerRequest(request, response));
  }

  async close(_deadlineMs: number): Promise<void> {
    await Promise.all([
      closeServer(this.#callerServer),
      closeServer(this.#peerServer),
    ]);
  }

  dump(): unknown {
    return {
      open: this.#context.openRequests,
      leaving: this.#context.isDraining,
    };
  }

  /** Closes connections on which nothing is under way. */
  closeIdleConnections(): void {
    this.#callerServer.closeIdleConnections();
  }

  /** Connections of callers. */
  countConnections(): Promise<number> {
    return new Promise((resolve) =>
      this.#callerServer.getConnections((_, count) => resolve(count ?? 0))
    );
  }

  #onCallerRequest(request: IncomingMessage, response: ServerResponse): void {
    const { clock, beliefs } = this.#context;
    const arrivedMs = clock.monoMs();
    if (beliefs.config) return this.#routeRequest(request, response, arrivedMs);
    const poll = clock.every(CONFIG_CHECK_MS, () => {
      const isTimedOut = clock.monoMs() - arrivedMs >= CONFIG_WAIT_MS;
      if (!beliefs.config && !isTimedOut && !response.closed) return;
      poll.close();
      if (!response.closed) this.#routeRequest(request, response, arrivedMs);
    });
  }

  #routeRequest(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ): void {
    const { beliefs, settings } = this.#context;
    const head = decodeHead(request);
    const reply = new CallerReply(response, () => this.#context.isDraining);
    const { config } = beliefs;
    if (!config) {
      return this.#refuse(
        head,
        request,
        reply,
        failure("noTable"),
        NO_CONFIG_RETRY_MS,
      );
    }
    this.#applyLimits(config);
    if (countHeaderBytes(request) > config.limits.headerBytes) {
      return this.#refuse(head, request, reply, failure("headersTooLarge"), 0);
    }
    const route = config.match(head.host, head.target);
    if (!route) {
      return this.#refuse(head, request, reply, failure("notFound"), 0);
    }
    const caller = this.#authenticate(config, route, head, request, reply);
    if (!caller) return;
    const maxOpen = (settings.vm.mostDescriptors - RESERVED_DESCRIPTORS) /
      DESCRIPTORS_PER_REQUEST;
    const isFull = this.#context.openRequests >= maxOpen ||
      this.#context.turns.waitMs > MAX_TURN_WAIT_MS;
    if (isFull) {
      return this.#refuse(
        head,
        request,
        reply,
        failure("queueFull"),
        OVERLOAD_RETRY_MS,
      );
    }
    const { drainStartMonoMs, endMonoMs } = this.#context;
    const times = {
      sinceMs: arrivedMs - drainStartMonoMs,
      leftMs: endMonoMs - arrivedMs,
    };
    if (!canFinish(route, head.outputTokens, times)) {
      return this.#refuse(
        head,
        request,
        reply,
        failure("draining"),
        DRAINING_RETRY_MS,
      );
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
    this.#startCall({
      ...input,
      relayed: false,
      isTrialRun: false,
      mostUpstreams: route.mostUpstreams,
    }, reply);
  }

  #onPeerRequest(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === this.#peerRpc.path) {
      return this.#peerRpc.handle(request, response);
    }
    const { clock, beliefs } = this.#context;
    const keyDigest = request.headers[RELAY_HEADERS.keyDigest];
    const head = {
      ...decodeHead(request),
      keyDigest: typeof keyDigest === "string" ? keyDigest : undefined,
    };
    const reply = new PeerReply(response);
    const { config } = beliefs;
    const route = config?.match(head.host, head.target);
    // A VM that does not know the sender's configuration yet must not decide on an older one.
    const isBehind = Number(request.headers[RELAY_HEADERS.configVersion]) >
      (config?.version ?? 0);
    if (!config || !route || isBehind) {
      return this.#refuse(
        head,
        request,
        reply,
        failure("noTable"),
        NO_CONFIG_RETRY_MS,
      );
    }
    const caller = this.#authenticate(config, route, head, request, reply);
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
    const mostUpstreams =
      Number(request.headers[RELAY_HEADERS.mostUpstreams]) || 1;
    const isOnTrial = request.headers[RELAY_HEADERS.onTrial] !== undefined;
    this.#startCall({
      ...input,
      relayed: true,
      isTrialRun: isOnTrial,
      mostUpstreams,
    }, reply);
  }

  /** Finds out who calls, or refuses. */
  #authenticate(
    config: GatewayConfig,
    route: Route,
    head: CallerHead,
    request: IncomingMessage,
    reply: Reply,
  ): KnownCaller | undefined {
    const caller = identifyCaller(config.workspaces, route, head.keyDigest);
    if (caller.type === "known") {
      if (!caller.workspace || this.#hasRecentKeys()) return caller;
      const cause = failure("noTable", {
        message: "whether the key was taken away can't be known here",
      });
      this.#refuse(head, request, reply, cause, NO_CONFIG_RETRY_MS);
      return undefined;
    }
    const cause = caller.type === "unknown"
      ? failure("unauthenticated")
      : failure("forbidden", {
        message: "workspace and route share no home region",
      });
    this.#refuse(head, request, reply, cause, 0);
    return undefined;
  }

  /** Whether operators would rather have a caller refused than one served whose key was taken away, and it may have been. */
  #hasRecentKeys(): boolean {
    const { settings, beliefs, members } = this.#context;
    const { strictRevokeMs } = settings.bounds;
    if (strictRevokeMs === undefined) return true;
    return beliefs.configAgeMs < strictRevokeMs ||
      members.configAgeMs(beliefs.revisions.operators) < strictRevokeMs;
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
    head: CallerHead,
    request: IncomingMessage,
    reply: Reply,
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
      configVersion: this.#context.beliefs.config?.version,
    });
    reply.fail(cause, retryAfterMs);
  }

  /** The configuration may change what callers are allowed; new connections and requests follow it. */
  #applyLimits({ limits }: GatewayConfig): void {
    this.#callerServer.keepAliveTimeout = limits.idleMs;
    this.#callerServer.headersTimeout = limits.headerWaitMs;
  }
}
