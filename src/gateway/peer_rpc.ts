/**
 * Questions between VMs, as JSON-RPC 2.0 over HTTP: what is known of the store's matters, for a VM that is behind.
 *
 * @module
 */

import {
  type IncomingMessage,
  request as httpRequest,
  type ServerResponse,
} from "node:http";
import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import { readText } from "../adapters/mod.ts";
import { type Clock, Random, type Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  type Port,
  Task,
} from "../kernel/mod.ts";
import type { BeliefMessages, Beliefs, Matter } from "./beliefs.ts";
import type { Teller } from "../region/mod.ts";
import type { News } from "./replica.ts";
import type { PeerQuestions } from "./front.ts";
import type { Members } from "./members.ts";
import type { Relays } from "./relays.ts";

/** Path of the questions on the peers' listener; no route of a caller is asked for there. */
export const RPC_PATH = "/ibisgap/rpc";
/** How often a VM looks whether another knows more, besides when it is told so. */
const PULL_MS = 500;
/**
 * How long a lead is behind another region before it asks there. Its own readers bring the same news sooner, unless the
 * store turns them all away; upstreams are read with a pause.
 */
const FAR_BEHIND_MS: Readonly<Record<Matter, number>> = {
  operators: 600,
  upstreams: 2_000,
};
/** A question unanswered by then is asked elsewhere next time. */
const ANSWER_WAIT_MS = 1_000;
type NewsQuestion = BeliefMessages["news"]["in"];

const MATTERS: readonly Matter[] = ["operators", "upstreams"];

/** See the module. */
export class PeerRpc extends Task implements PeerQuestions {
  readonly name = "peerRpc";
  readonly path = RPC_PATH;
  readonly #server = new JSONRPCServer();
  readonly #beliefs: Beliefs;
  readonly #members: Members;
  readonly #relays: Relays;
  readonly #region: string;
  readonly #random = new Random(process.pid);
  protected readonly handlers: Handlers<Messages> = {};
  #port!: Port<BeliefMessages>;
  #log!: Log;
  #clock!: Clock;
  #timer: Timer | undefined;
  #asking = false;
  /** Since when a VM of another region knows more. */
  readonly #behindSinceMs = new Map<Matter, number>();

  constructor(
    beliefs: Beliefs,
    members: Members,
    relays: Relays,
    region: string,
  ) {
    super();
    this.#region = region;
    this.#beliefs = beliefs;
    this.#members = members;
    this.#relays = relays;
  }

  start(kernel: Kernel): Promise<void> {
    this.#log = kernel.log;
    this.#clock = kernel.clock;
    this.#port = kernel.get<BeliefMessages>("beliefs");
    this.#server.addMethod(
      "news",
      (question: NewsQuestion) => this.#port.ask("news", question),
    );
    this.#server.addMethod("dump", () => kernel.dump());
    this.#timer = this.#clock.every(PULL_MS, () => void this.#pull());
    this.#members.onNews(() => void this.#pull());
    return Promise.resolve();
  }

  close(_deadlineMs: number): Promise<void> {
    this.#timer?.close();
    return Promise.resolve();
  }

  dump(): unknown {
    return { asking: this.#asking };
  }

  answer(request: IncomingMessage, response: ServerResponse): void {
    void readText(request).then(async (text) => {
      const answer = await this.#server.receiveJSON(text);
      response.setHeader("content-type", "application/json");
      response.end(answer === null ? "" : JSON.stringify(answer));
    }).catch((error) => {
      this.#log.warn("question failed", { reason: String(error) });
      response.destroy();
    });
  }

  /** Asks a VM that is ahead, for each matter on which there is one. */
  async #pull(): Promise<void> {
    if (this.#asking) return;
    this.#asking = true;
    try {
      for (const matter of MATTERS) {
        const ahead = this.#pickAhead(matter);
        if (ahead) await this.#ask(ahead, matter);
      }
    } finally {
      this.#asking = false;
    }
  }

  /**
   * Some VM that knows more: one of this region, so that the news crosses to each region once; one of another only if
   * nobody here could have read it.
   */
  #pickAhead(matter: Matter): Teller | undefined {
    const ownRev = this.#beliefs.newsRev(matter);
    const ahead = this.#members.tellers()
      .filter(({ revisions }) => revisions[matter] > ownRev);
    const near = ahead.filter(({ region }) => region === this.#region);
    if (near.length > 0) return this.#random.pick(near);
    if (ahead.length === 0 || !this.#members.isLead) {
      this.#behindSinceMs.delete(matter);
      return undefined;
    }
    const nowMs = this.#clock.monoMs();
    const sinceMs = this.#behindSinceMs.get(matter) ?? nowMs;
    this.#behindSinceMs.set(matter, sinceMs);
    return nowMs - sinceMs >= FAR_BEHIND_MS[matter]
      ? this.#random.pick(ahead)
      : undefined;
  }

  async #ask(member: Teller, matter: Matter): Promise<void> {
    const client = new JSONRPCClient(async (payload) => {
      client.receive(
        JSON.parse(await this.#post(member.ip, JSON.stringify(payload))),
      );
    });
    try {
      const since = this.#beliefs.newsRev(matter);
      const question: NewsQuestion = { matter, since };
      const news = await client.request("news", question) as News;
      await this.#port.ask("adopt", { matter, news, from: member.id });
    } catch (error) {
      this.#log.warn("peer did not answer", {
        peer: member.id,
        matter,
        reason: String(error),
      });
    }
  }

  #post(ip: string, payload: string): Promise<string> {
    return new Promise((resolve, reject) => {
      const call = httpRequest({
        agent: this.#relays.agent(ip),
        host: ip,
        port: this.#relays.port,
        method: "POST",
        path: RPC_PATH,
        headers: {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(payload),
        },
      });
      const timer = this.#clock.after(
        ANSWER_WAIT_MS,
        () => call.destroy(new Error("no answer in time")),
      );
      call.on("response", (answer) => {
        readText(answer).then(resolve, reject).finally(() => timer.close());
      });
      call.on("error", (error) => {
        timer.close();
        reject(error);
      });
      call.end(payload);
    });
  }
}
