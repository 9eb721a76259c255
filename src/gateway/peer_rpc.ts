/**
 * Questions between VMs, as JSON-RPC 2.0 over HTTP: what is known of the store's matters, for a VM that it does not serve.
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
import type { Clock, Timer } from "../base/mod.ts";
import {
  type Handlers,
  type Kernel,
  type Log,
  type Messages,
  type Port,
  Task,
} from "../kernel/mod.ts";
import type { BeliefMessages, Beliefs, Matter } from "./beliefs.ts";
import type { Snapshot } from "./follower.ts";
import type { PeerQuestions } from "./front.ts";
import type { Member, Members } from "./members.ts";
import type { Relays } from "./relays.ts";

/** Path of the questions on the peers' listener; no route of a caller is asked for there. */
export const RPC_PATH = "/ibisgap/rpc";
/** How often a VM that the store does not serve looks whether another knows more. */
const PULL_MS = 300;
/** A question unanswered by then is asked elsewhere next time. */
const ANSWER_WAIT_MS = 1_000;
const MATTERS: readonly Matter[] = ["operators", "upstreams"];

/** See the module. */
export class PeerRpc extends Task implements PeerQuestions {
  readonly name = "peerRpc";
  readonly path = RPC_PATH;
  readonly #server = new JSONRPCServer();
  readonly #beliefs: Beliefs;
  readonly #members: Members;
  readonly #relays: Relays;
  protected readonly handlers: Handlers<Messages> = {};
  #port!: Port<BeliefMessages>;
  #log!: Log;
  #clock!: Clock;
  #timer: Timer | undefined;
  #asking = false;

  constructor(beliefs: Beliefs, members: Members, relays: Relays) {
    super();
    this.#beliefs = beliefs;
    this.#members = members;
    this.#relays = relays;
  }

  start(kernel: Kernel): Promise<void> {
    this.#log = kernel.log;
    this.#clock = kernel.clock;
    this.#port = kernel.get<BeliefMessages>("beliefs");
    this.#server.addMethod(
      "snapshot",
      ({ matter }: { matter: Matter }) => this.#port.ask("snapshot", matter),
    );
    this.#server.addMethod("dump", () => kernel.dump());
    this.#timer = this.#clock.every(PULL_MS, () => void this.#pull());
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

  /** Asks the VM that is furthest ahead, for each matter on which the store does not serve this VM. */
  async #pull(): Promise<void> {
    if (this.#asking) return;
    this.#asking = true;
    try {
      for (const matter of MATTERS) {
        if (!this.#beliefs.isCutOff(matter)) continue;
        const ahead = this.#furthestAhead(matter);
        if (ahead) await this.#ask(ahead, matter);
      }
    } finally {
      this.#asking = false;
    }
  }

  #furthestAhead(matter: Matter): Member | undefined {
    let best: Member | undefined;
    for (const member of this.#members.alive()) {
      if (
        member.beat.revisions[matter] >
          (best?.beat.revisions[matter] ?? this.#beliefs.revisions[matter])
      ) {
        best = member;
      }
    }
    return best;
  }

  async #ask(member: Member, matter: Matter): Promise<void> {
    const client = new JSONRPCClient(async (payload) => {
      client.receive(
        JSON.parse(await this.#post(member.ip, JSON.stringify(payload))),
      );
    });
    try {
      const snapshot = await client.request("snapshot", { matter }) as Snapshot;
      await this.#port.ask("adopt", { matter, snapshot, from: member.id });
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
