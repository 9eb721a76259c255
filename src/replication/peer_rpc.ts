/**
 * Calls between VMs, as JSON-RPC 2.0 over HTTP: a VM that is behind gets news of the store's entries from one that is
 * ahead.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  JSONRPCClient,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import {
  type ByteBudget,
  type Clock,
  Random,
  type Timer,
} from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  Task,
  type TaskPort,
} from "../kernel/mod.ts";
import type { StoreView } from "./store_view.ts";
import type { NewsTopic, StoreViewMessages } from "./store_view_messages.ts";
import type { NewsSource } from "../region/mod.ts";
import type { ConfigNews } from "./config_in_force.ts";
import {
  NewsPacker,
  type ReaderAbility,
  type SentConfigNews,
  type SentNews,
  unpack,
  unpackNews,
} from "./news_wire.ts";
import { callPeer, type PeerCallProgress } from "./peer_call.ts";
import { type CallOrigin, RpcAnswers } from "./rpc_answers.ts";

/** Path of the calls on the peers' listener. A relayed request may name it too; it is told apart by its headers. */
export const RPC_PATH = "/ibisgap/rpc";
/** How often a VM checks whether another one is ahead, besides the check after each roster. */
const PULL_INTERVAL_MS = 500;
/** What a VM asks others for: changes of its copies, or the configuration in force. */
type PulledTopic = NewsTopic | "config";

/**
 * How long a lead has to be behind another region before it asks there. The readers of its own region bring the same
 * news sooner unless the store refuses all of them; for upstreams the delay is longer since readers pause between
 * polls.
 */
const OTHER_REGION_DELAY_MS: Readonly<Record<PulledTopic, number>> = {
  config: 600,
  operators: 600,
  upstreams: 2_000,
};
/** Size of an answer from which on its time is logged, in bytes. */
const LOGGED_ANSWER_BYTES = 20_000;
/** Questions to one VM in a row: for recent changes, and for all differences if those do not suffice. */
const MAX_REQUESTS = 2;

/** What this program tells the VMs that it asks. */
const ABILITY: ReaderAbility = { unpacks: true };

const NEWS_TOPICS: readonly NewsTopic[] = ["operators", "upstreams"];

/** What calls between VMs need of the membership. */
export interface KnownPeers {
  /** Whether this VM leads its region. */
  readonly isLead: boolean;
  /** VMs that may have newer store data than this one. */
  newsSources(): readonly NewsSource[];
  /** Calls `run` after each roster of a lead. */
  onRosterReceived(run: () => void): void;
}

/** Where the times of transfers are recorded. */
export interface TransferMetrics {
  recordTime(name: "peer_answer", labels: string, ms: number): void;
}

/** A call that other VMs and operators may make; its parameters are whatever they send. */
export type PeerMethod = (params: never) => unknown;

/** Calls that VMs make of each other all the time. */
const VM_METHODS: ReadonlySet<string> = new Set(["news", "config"]);

/** Options of {@link PeerRpc}. */
export interface PeerRpcOptions {
  readonly storeView: StoreView;
  readonly members: KnownPeers;
  /** The port on which VMs answer each other's calls. */
  readonly port: number;
  readonly metrics: TransferMetrics;
  /** Memory for calls that are being read. */
  readonly callBudget: ByteBudget;
  /** Region of this VM. */
  readonly region: string;
  /** Calls that are answered besides those for news, by name. */
  readonly methods?: Readonly<Record<string, PeerMethod>>;
}

/** Answers calls of other VMs, and pulls news from VMs that are ahead. */
export class PeerRpc extends Task {
  readonly name = "peerRpc";
  readonly path = RPC_PATH;
  readonly #server = new JSONRPCServer<CallOrigin>();
  readonly #storeView: StoreView;
  readonly #members: KnownPeers;
  readonly #port: number;
  readonly #metrics: TransferMetrics;
  readonly #callBudget: ByteBudget;
  readonly #region: string;
  readonly #random = new Random(process.pid);
  readonly #packer = new NewsPacker();
  protected readonly handlers: Handlers<Messages> = {};
  #answers!: RpcAnswers;
  #storeViewPort!: TaskPort<StoreViewMessages>;
  #log!: Log;
  #clock!: Clock;
  #timer: Timer | undefined;
  /** Topics that are being pulled. */
  readonly #pulling = new Set<PulledTopic>();
  /** Since when a VM of another region is ahead, by topic. */
  readonly #behindSinceMs = new Map<PulledTopic, number>();

  constructor(
    { storeView, members, port, metrics, callBudget, region, methods }:
      PeerRpcOptions,
  ) {
    super();
    this.#region = region;
    this.#storeView = storeView;
    this.#members = members;
    this.#port = port;
    this.#metrics = metrics;
    this.#callBudget = callBudget;
    for (const [name, method] of Object.entries(methods ?? {})) {
      this.#server.addMethod(name, (params) => method(params as never));
    }
  }

  start(kernel: Kernel): Promise<void> {
    this.#log = kernel.log;
    this.#clock = kernel.clock;
    this.#storeViewPort = kernel.get<StoreViewMessages>("beliefs");
    this.#answers = new RpcAnswers({
      server: this.#server,
      callBudget: this.#callBudget,
      clock: this.#clock,
      onFailure: (error) =>
        this.#log.warn("answering a peer failed", { reason: String(error) }),
    });
    this.#server.addMethod(
      "news",
      async (request: StoreViewMessages["news"]["in"] & ReaderAbility) =>
        this.#packer.packNews(
          await this.#storeViewPort.ask("news", request),
          request,
        ),
    );
    this.#server.addMethod("config", async (request: ReaderAbility) => {
      const news = await this.#storeViewPort.ask("config", {});
      return news && this.#packer.pack(news, request);
    });
    this.#server.addMethod("dump", () => kernel.dump());
    this.#server.applyMiddleware((next, call, origin) => {
      this.#noteCall(call.method, origin);
      return next(call, origin);
    });
    this.#timer = this.#clock.every(PULL_INTERVAL_MS, () => void this.#pull());
    this.#members.onRosterReceived(() => void this.#pull());
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return { asking: [...this.#pulling] };
  }

  handle(request: IncomingMessage, response: ServerResponse): void {
    this.#answers.handle(request, response);
  }

  /** Notes a call. Those of operators show or change what this VM knows, so that each has a line. */
  #noteCall(method: string, { from }: CallOrigin): void {
    if (VM_METHODS.has(method)) return;
    this.#log.info("operator's call", { method, from });
  }

  /** Pulls each topic, and a newer configuration in force, from a VM that is ahead, if there is one. */
  async #pull(): Promise<void> {
    const sources = this.#members.newsSources();
    this.#noteLeavingUpstreams(sources);
    for (const { restoredAgoMs } of sources) {
      if (restoredAgoMs !== undefined) {
        this.#storeView.restores.noteHeard(restoredAgoMs);
      }
    }
    await Promise.all([
      ...NEWS_TOPICS.map((topic) => this.#pullTopic(topic, sources)),
      this.#pullConfig(sources),
    ]);
  }

  async #pullTopic(
    topic: NewsTopic,
    sources: readonly NewsSource[],
  ): Promise<void> {
    const ahead = sources.filter(({ copies, isServed }) =>
      this.#storeView.notePeer(topic, copies[topic], isServed)
    );
    await this.#pullOnce(
      topic,
      ahead,
      (source) => this.#pullFrom(source, topic),
    );
  }

  async #pullConfig(sources: readonly NewsSource[]): Promise<void> {
    const ahead = sources.filter(({ configVersion }) =>
      this.#storeView.isNewerConfig(configVersion)
    );
    await this.#pullOnce(
      "config",
      ahead,
      (source) => this.#pullConfigFrom(source),
    );
  }

  /** Pulls a topic unless that is under way: a slow transfer of one topic must not delay another topic. */
  async #pullOnce(
    topic: PulledTopic,
    ahead: readonly NewsSource[],
    pullFrom: (source: NewsSource) => Promise<void>,
  ): Promise<void> {
    if (this.#pulling.has(topic)) return;
    const source = this.#pickSource(topic, ahead);
    if (!source) return;
    this.#pulling.add(topic);
    try {
      await pullFrom(source);
    } finally {
      this.#pulling.delete(topic);
    }
  }

  /** Notes which upstreams other VMs know to leave. */
  #noteLeavingUpstreams(sources: readonly NewsSource[]): void {
    for (const { id, leavingUpstreams } of sources) {
      if (!Array.isArray(leavingUpstreams)) continue;
      for (const key of leavingUpstreams) {
        this.#storeView.noteLeaving(String(key), { from: id });
      }
    }
  }

  /**
   * Picks one of the VMs that are ahead: one of this region, so that news crosses to each region only once; one of another
   * region only if no VM here could have read the news from the store.
   */
  #pickSource(
    topic: PulledTopic,
    sources: readonly NewsSource[],
  ): NewsSource | undefined {
    const nearSources = sources.filter(({ region }) => region === this.#region);
    if (nearSources.length > 0) return this.#random.pick(nearSources);
    if (sources.length === 0 || !this.#members.isLead) {
      this.#behindSinceMs.delete(topic);
      return undefined;
    }
    const nowMs = this.#clock.monoMs();
    const sinceMs = this.#behindSinceMs.get(topic) ?? nowMs;
    this.#behindSinceMs.set(topic, sinceMs);
    return nowMs - sinceMs >= OTHER_REGION_DELAY_MS[topic]
      ? this.#random.pick(sources)
      : undefined;
  }

  async #pullFrom(source: NewsSource, topic: NewsTopic): Promise<void> {
    const progress: PeerCallProgress = { bytes: 0, tookMs: 0 };
    try {
      for (let i = 0; i < MAX_REQUESTS; i++) {
        const request = {
          matter: topic,
          ...this.#storeView.newsRequest(topic),
          ...ABILITY,
        };
        const news: SentNews = await this.#ask(
          source.ip,
          "news",
          request,
          progress,
        );
        this.#noteTransfer(topic, progress);
        const outcome = await this.#storeViewPort.ask("adopt", {
          matter: topic,
          news: unpackNews(news),
          from: source.id,
        });
        if (outcome !== "differs") return;
      }
    } catch (error) {
      this.#noteUnanswered(source, topic, progress, error);
    }
  }

  async #pullConfigFrom({ id, ip, configVersion }: NewsSource): Promise<void> {
    const progress: PeerCallProgress = { bytes: 0, tookMs: 0 };
    try {
      const news: SentConfigNews | null = await this.#ask(
        ip,
        "config",
        ABILITY,
        progress,
      );
      this.#noteTransfer("config", progress);
      const version = configVersion!;
      if (news) {
        await this.#storeViewPort.ask("adoptConfig", {
          news: unpack<ConfigNews>(news),
          version,
          from: id,
        });
      }
    } catch (error) {
      this.#noteUnanswered({ id }, "config", progress, error);
    }
  }

  #noteUnanswered(
    { id }: Pick<NewsSource, "id">,
    topic: PulledTopic,
    { bytes, tookMs }: PeerCallProgress,
    error: unknown,
  ): void {
    this.#log.warn("peer did not answer", {
      peer: id,
      matter: topic,
      reason: String(error),
      bytes,
      tookMs,
    });
  }

  /** Records how long an answer took; a few bytes tell nothing of the links. */
  #noteTransfer(topic: PulledTopic, { bytes, tookMs }: PeerCallProgress): void {
    this.#metrics.recordTime("peer_answer", `matter="${topic}"`, tookMs);
    if (bytes < LOGGED_ANSWER_BYTES) return;
    this.#log.info("peer answered", { matter: topic, bytes, tookMs });
  }

  async #ask<Answer>(
    ip: string,
    method: "news" | "config",
    params: object,
    progress: PeerCallProgress,
  ): Promise<Answer> {
    const client = new JSONRPCClient(async (payload) => {
      const answer = await callPeer({
        host: ip,
        port: this.#port,
        path: RPC_PATH,
        payload: JSON.stringify(payload),
        clock: this.#clock,
      }, progress);
      client.receive(answer as JSONRPCResponse);
      // An answer that belongs to no question would otherwise keep this VM from ever asking again.
      client.rejectAllPendingRequests("the answer is to no question");
    });
    return await client.request(method, params);
  }
}
