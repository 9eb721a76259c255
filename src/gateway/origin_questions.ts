/**
 * The questions of this VM to others about which version began a stream.
 *
 * @module
 */

import { randomInt } from "node:crypto";
import type { Clock, Timer } from "../base/mod.ts";
import type {
  AskedVms,
  FoundOrigin,
  OriginQuery,
  OriginReply,
} from "../region/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import { waitForNextPoll } from "./next_poll.ts";

/** How long the VMs of the own region are waited for, and those of others, which are up to 80 ms away each way. */
const OWN_TIMEOUT_MS = 50;
const ELSEWHERE_TIMEOUT_MS = 250;

const MAX_FIRST_QUESTION = 2 ** 47;

/** The result of a question to VMs that don't know. */
export interface UnknownResult {
  readonly type: "unknown";
  /** The versions that the VMs which answered saw. */
  readonly seen: readonly string[];
  /** The targets of the route that they saw. */
  readonly seenTargets: readonly string[];
  /** Number of VMs that answered. */
  readonly replies: number;
  /** Number of those that know all versions which served lately. */
  readonly sureReplies: number;
}

/** The result of a question. */
export type QuestionResult = FoundOrigin | UnknownResult;

/** What VMs that don't know have told. */
class Heard {
  readonly #seen = new Set<string>();
  readonly #seenTargets = new Set<string>();
  #replies = 0;
  #sureReplies = 0;

  /** Notes a VM's reply. */
  note({ seen, seenTargets = [], knowsAll = true }: OriginReply): void {
    this.add({
      seen,
      seenTargets,
      replies: 1,
      sureReplies: knowsAll ? 1 : 0,
    });
  }

  /** Adds what other VMs have told. */
  add(heard: Omit<UnknownResult, "type">): void {
    for (const version of heard.seen) this.#seen.add(version);
    for (const targets of heard.seenTargets) this.#seenTargets.add(targets);
    this.#replies += heard.replies;
    this.#sureReplies += heard.sureReplies;
  }

  get result(): UnknownResult {
    return {
      type: "unknown",
      seen: [...this.#seen],
      seenTargets: [...this.#seenTargets],
      replies: this.#replies,
      sureReplies: this.#sureReplies,
    };
  }
}

interface OpenQuestion {
  /** VMs that have not answered. */
  readonly waitingFor: Set<string>;
  readonly heard: Heard;
  readonly resolve: (result: QuestionResult) => void;
}

/** Asks other VMs; the first one that knows decides. */
export class OriginQuestions {
  readonly #datagrams: Pick<Datagrams, "send">;
  readonly #clock: Clock;
  readonly #open = new Map<number, OpenQuestion>();
  /** Begins anywhere: a reply to the process before, at the same address, must not fit a question of this one. */
  #lastQuestion = randomInt(MAX_FIRST_QUESTION);

  constructor(datagrams: Pick<Datagrams, "send">, clock: Clock) {
    this.#datagrams = datagrams;
    this.#clock = clock;
  }

  /** Number of questions without a result. */
  get size(): number {
    return this.#open.size;
  }

  /** Asks VMs, those of each stage only if none of the stage before knows. */
  async askInTurn(
    query: Omit<OriginQuery, "question">,
    stages: readonly AskedVms[],
  ): Promise<QuestionResult> {
    const heard = new Heard();
    for (const stage of stages) {
      const result = await this.#ask(query, stage);
      if (result.type !== "unknown") return result;
      heard.add(result);
    }
    return heard.result;
  }

  /** Asks VMs; resolves when one knows, or when all have answered or are late. */
  async #ask(
    query: Omit<OriginQuery, "question">,
    { own, elsewhere }: AskedVms,
  ): Promise<QuestionResult> {
    const ips = [...own, ...elsewhere];
    const heard = new Heard();
    if (ips.length === 0) return heard.result;
    const question = ++this.#lastQuestion;
    const timers: Timer[] = [
      this.#giveUpAfter(OWN_TIMEOUT_MS, question, own),
      this.#giveUpAfter(ELSEWHERE_TIMEOUT_MS, question, elsewhere),
    ];
    const result = await new Promise<QuestionResult>((resolve) => {
      const waitingFor = new Set(ips);
      this.#open.set(question, { waitingFor, heard, resolve });
      this.#datagrams.send("whoBegan", { question, ...query }, ips);
    });
    this.#open.delete(question);
    for (const timer of timers) timer.close();
    return result;
  }

  /** Takes a VM's reply. */
  onReply(reply: OriginReply, fromIp: string): void {
    const open = this.#open.get(reply.question);
    if (!open?.waitingFor.has(fromIp)) return;
    const { version, service, ageMs = 0 } = reply;
    open.heard.note(reply);
    if (reply.isAmbiguous) return open.resolve({ type: "ambiguous" });
    if (version === undefined) return this.#giveUp(reply.question, [fromIp]);
    open.resolve({ type: "known", version, service, source: "asked", ageMs });
  }

  /** Gives VMs up after a time; replies that this process was too late to read count. */
  #giveUpAfter(ms: number, question: number, ips: readonly string[]): Timer {
    return this.#clock.after(
      ms,
      () => void waitForNextPoll().then(() => this.#giveUp(question, ips)),
    );
  }

  #giveUp(question: number, ips: readonly string[]): void {
    const open = this.#open.get(question);
    if (!open) return;
    for (const ip of ips) open.waitingFor.delete(ip);
    if (open.waitingFor.size > 0) return;
    open.resolve(open.heard.result);
  }
}
