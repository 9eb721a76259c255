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
import { callerOf, type KnownCaller } from "../workspaces/mod.ts";
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
const CONFIG_LOOK_MS = 20;
/** When to return to a VM without a configuration: it asks the store and other VMs several times a second. */
const NO_CONFIG_RETURN_MS = 500;
/** When to return if this VM holds too much: as long as a usual answer takes. */
const FULL_RETURN_MS = 400;
/** A request that waits longer for its turn is late elsewhere too by then; callers give up unread ones after a second. */
const MOST_TURN_WAIT_MS = 400;
/** When to return after meeting a VM that is about to stop: at once, elsewhere. */
const LEAVING_RETURN_MS = 20;
/** Largest head that is parsed at all; the configured limit, usually lower, is applied to what was parsed. */
const MOST_HEAD_BYTES = 65_536;
/** Descriptors kept free for files, listeners, the store and other VMs. */
const SPARE_DESCRIPTORS = 600;
/** An open request holds up to three connections: the caller's, the upstream's, one that is being replaced. */
const DESCRIPTORS_PER_REQUEST = 3;
/** Links between VMs are kept longer than the other side uses them idle. */
const PEER_IDLE_MS = 60_000;
/** How often timeouts of the listener are looked at. */
const CHECK_MS = 500;

function headBytes(request: IncomingMessage): number {
  return request.rawHeaders.reduce(
    (sum, text) => sum + text.length + 2,
    request.url?.length ?? 0,
  );
}

/** Answers questions of other VMs that are not requests of callers; see `peer_rpc.ts`. */
export interface PeerQuestions {
  readonly path: string;
  answer(request: IncomingMessage, response: ServerResponse): void;
}

/** See the module. */
export class Front extends Task {
  readonly name = "front";
  readonly #context: GatewayContext;
  readonly #questions: PeerQuestions;
  protected readonly handlers: Handlers<Messages> = {};
  /** Connections on which a request was read before. */
  readonly #used = new WeakSet<Socket>();
  #callers!: Server;
  #peers!: Server;

  constructor(context: GatewayContext, questions: PeerQuestions) {
    super();
    this.#context = context;
    this.#questions = questions;
  }

  async start(_kernel: Kernel): Promise<void> {
    const { listen: addresses } = this.#context.settings;
    this.#callers = await listen(addresses.callers, {
      maxHeaderSize: MOST_HEAD_BYTES,
      connectionsCheckingInterval: CHECK_MS,
      requestTimeout: 0,
    }, (request, response) => this.#fromCaller(request, response));
    this.#peers = await listen(addresses.peers, {
      keepAliveTimeout: PEER_IDLE_MS,
      maxHeaderSize: 2 * MOST_HEAD_BYTES,
      requestTimeout: 0,
    }, (request, response) => this.#fromPeer(request, response));
  }

  async close(_deadlineMs: number): Promise<void> {
    await Promise.all([closeServer(this.#callers), closeServer(this.#peers)]);
  }

  dump(): unknown {
    return { open: this.#context.open, leaving: this.#context.isLeaving };
  }

  /** Closes connections on which nothing is under way. */
  closeIdle(): void {
    this.#callers.closeIdleConnections();
  }

  /** Connections of callers. */
  connections(): Promise<number> {
    return new Promise((resolve) =>
      this.#callers.getConnections((_, count) => resolve(count ?? 0))
    );
  }

  #fromCaller(request: IncomingMessage, response: ServerResponse): void {
    const { clock, beliefs } = this.#context;
    const arrivedMs = clock.monoMs();
    if (beliefs.config) return this.#route(request, response, arrivedMs);
    const look = clock.every(CONFIG_LOOK_MS, () => {
      const isOver = clock.monoMs() - arrivedMs >= CONFIG_WAIT_MS;
      if (!beliefs.config && !isOver && !response.closed) return;
      look.close();
      if (!response.closed) this.#route(request, response, arrivedMs);
    });
  }

  #route(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ): void {
    const { beliefs, settings } = this.#context;
    const head = decodeHead(request);
    const reply = new CallerReply(response, () => this.#context.isLeaving);
    const { config } = beliefs;
    if (!config) {
      return this.#refuse(
        head,
        request,
        reply,
        failure("noTable"),
        NO_CONFIG_RETURN_MS,
      );
    }
    this.#applyLimits(config);
    if (headBytes(request) > config.limits.headerBytes) {
      return this.#refuse(head, request, reply, failure("headersTooLarge"), 0);
    }
    const route = config.match(head.host, head.target);
    if (!route) {
      return this.#refuse(head, request, reply, failure("notFound"), 0);
    }
    const caller = this.#identify(config, route, head, request, reply);
    if (!caller) return;
    const most = (settings.vm.mostDescriptors - SPARE_DESCRIPTORS) /
      DESCRIPTORS_PER_REQUEST;
    const isFull = this.#context.open >= most ||
      this.#context.turns.waitMs > MOST_TURN_WAIT_MS;
    if (isFull) {
      return this.#refuse(
        head,
        request,
        reply,
        failure("queueFull"),
        FULL_RETURN_MS,
      );
    }
    const { leavingMonoMs, endMonoMs } = this.#context;
    const times = {
      sinceMs: arrivedMs - leavingMonoMs,
      leftMs: endMonoMs - arrivedMs,
    };
    if (!canFinish(route, head.outputTokens, times)) {
      return this.#refuse(
        head,
        request,
        reply,
        failure("draining"),
        LEAVING_RETURN_MS,
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
    this.#open({
      ...input,
      relayed: false,
      isOnTrial: false,
      mostUpstreams: route.mostUpstreams,
    }, reply);
  }

  #fromPeer(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === this.#questions.path) {
      return this.#questions.answer(request, response);
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
        NO_CONFIG_RETURN_MS,
      );
    }
    const caller = this.#identify(config, route, head, request, reply);
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
    this.#open({ ...input, relayed: true, isOnTrial, mostUpstreams }, reply);
  }

  /** Finds out who calls, or refuses. */
  #identify(
    config: GatewayConfig,
    route: Route,
    head: CallerHead,
    request: IncomingMessage,
    reply: Reply,
  ): KnownCaller | undefined {
    const caller = callerOf(config.workspaces, route, head.keyDigest);
    if (caller.type === "known") {
      if (!caller.workspace || this.#knowsKeys()) return caller;
      const cause = failure("noTable", {
        message: "whether the key was taken away can't be known here",
      });
      this.#refuse(head, request, reply, cause, NO_CONFIG_RETURN_MS);
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
  #knowsKeys(): boolean {
    const { settings, beliefs, members } = this.#context;
    const { strictRevokeMs } = settings.bounds;
    if (strictRevokeMs === undefined) return true;
    return beliefs.configAgeMs < strictRevokeMs ||
      members.configAgeMs(beliefs.revisions.operators) < strictRevokeMs;
  }

  #open(read: Omit<CallInput, "isFirst">, reply: Reply): void {
    const { socket } = read.request;
    const input = { ...read, isFirst: !this.#used.has(socket) };
    this.#used.add(socket);
    const call = new Call(this.#context, input, reply);
    reply.onGone(() => call.cancel());
    void call.run();
  }

  #refuse(
    head: CallerHead,
    request: IncomingMessage,
    reply: Reply,
    cause: Failure,
    comeBackMs: number,
  ): void {
    request.resume();
    this.#context.metrics.count("refused", `code="${cause.code}"`);
    this.#context.log.warn("request", {
      attempt: head.attemptId,
      host: head.host,
      target: head.target,
      outcome: cause.code,
      reason: cause.message,
      comeBackMs,
      configVersion: this.#context.beliefs.config?.version,
    });
    reply.fail(cause, comeBackMs);
  }

  /** The configuration may change what callers are allowed; new connections and requests follow it. */
  #applyLimits({ limits }: GatewayConfig): void {
    this.#callers.keepAliveTimeout = limits.idleMs;
    this.#callers.headersTimeout = limits.headerWaitMs;
  }
}
