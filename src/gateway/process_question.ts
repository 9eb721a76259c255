/**
 * Asks an upstream which of its processes answers at its address: the one that its entry describes, or another one that
 * was started there since, possibly with another version of the software.
 *
 * @module
 */

import { Agent } from "node:http";
import {
  MAX_UPSTREAM_TEXT_BYTES,
  readParsed,
  upstreamTexts,
} from "../adapters/mod.ts";
import type { Clock } from "../base/mod.ts";
import {
  decodeReportedBorn,
  REPORT_PATH,
  tellsBorn,
  upstreamKey,
} from "../platform/mod.ts";
import type { KnownUpstream } from "../routing/mod.ts";
import { Exchange, type ExchangeFailure } from "./exchange.ts";
import type { ProcessAnswer, ProcessVerdict } from "./process_proof.ts";

/** A report needs no place in the upstream's queue; processes that are late need some turns for it. */
const REPORT_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 250;

/** One question to an upstream. */
export class ProcessQuestion {
  readonly verdict: Promise<ProcessVerdict>;
  readonly #upstream: KnownUpstream;
  readonly #exchange: Exchange | undefined;
  #failure: ExchangeFailure | undefined;

  /** Asks over a connection of `agent`. */
  constructor(agent: Agent, upstream: KnownUpstream, clock: Clock) {
    this.#upstream = upstream;
    if (!tellsBorn(upstream)) {
      this.verdict = Promise.resolve("unknown");
      return;
    }
    const { host, port } = upstream;
    this.#exchange = new Exchange({
      agent,
      host,
      port,
      method: "GET",
      target: REPORT_PATH,
      headers: ["Host", `${host}:${port}`],
      body: Buffer.alloc(0),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const timer = clock.after(
      REPORT_TIMEOUT_MS,
      () => this.cancel("no report in time"),
    );
    this.verdict = this.#read(this.#exchange).finally(() => timer.close());
  }

  /** Why the question could not be asked, if its connection failed. */
  get failure(): ExchangeFailure | undefined {
    return this.#failure;
  }

  /** See {@link ProcessAnswer.lastBefore}. */
  get lastBefore(): number {
    return this.#exchange?.lastBefore ?? 0;
  }

  cancel(reason: string): void {
    this.#exchange?.cancel(reason);
  }

  async #read(exchange: Exchange): Promise<ProcessVerdict> {
    const head = await exchange.head;
    if (head.isErr()) {
      this.#failure = head.error;
      return "unproven";
    }
    try {
      const status = head.value.statusCode ?? 0;
      const born = await readParsed(
        head.value,
        (text) => decodeReportedBorn(status, text),
        { maxBytes: MAX_UPSTREAM_TEXT_BYTES, budget: upstreamTexts },
      );
      return this.#judge(born);
    } catch {
      return "unproven";
    }
  }

  #judge(born: number | "untold" | undefined): ProcessVerdict {
    if (born === undefined) return "unproven";
    if (born === "untold") return "unknown";
    const { id, key } = this.#upstream;
    return upstreamKey(id, born) === key ? "confirmed" : "replaced";
  }
}

/** Asks the process that listens at an upstream's address now, over a connection of its own. */
export async function askProcess(
  upstream: KnownUpstream,
  clock: Clock,
): Promise<ProcessAnswer> {
  const question = new ProcessQuestion(new Agent(), upstream, clock);
  const verdict = await question.verdict;
  return { verdict, lastBefore: question.lastBefore };
}
