/**
 * Which promises a run broke, from what callers and upstreams saw.
 *
 * @module
 */

import { streamText } from "../src/standins/mod.ts";
import { type Attempt, DEADLINE_MS } from "./callers.ts";

/** A request at an upstream. Times are on the world's clock. */
export interface Arrival {
  readonly attempt: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly arrivedMs: number;
  readonly runner: string;
  readonly region: string;
  readonly service: string;
  /** When the store took the news that the upstream leaves. */
  readonly leftMs: number;
}

/** What a run left behind. */
export interface Evidence {
  readonly attempts: readonly Attempt[];
  readonly arrivals: readonly Arrival[];
  /** Requests that end every upstream that runs them; the body names each. */
  readonly fatalArrivals: readonly Arrival[];
  readonly troubles: readonly {
    readonly who: string;
    readonly fromMs: number;
    readonly toMs: number;
  }[];
  readonly configs: readonly {
    readonly sinceMs: number;
    readonly plainService: string;
  }[];
  readonly processFaults: readonly string[];
  /** Since when everything is mended for long enough. */
  readonly recoveredMs: number;
}

/** What the gateway promises, whatever fails. */
export type Rule =
  | "MIXED"
  | "ORDER"
  | "UNASKED"
  | "TWICE"
  | "REFUSED"
  | "HOME"
  | "BUDGET"
  | "ROUTE"
  | "DENIED"
  | "LATE"
  | "GONE"
  | "LOST"
  | "CONFIG"
  | "DRAIN"
  | "CRASH"
  | "PROCESS"
  | "RECOVER";

/** A broken promise. */
export interface Breach {
  readonly rule: Rule;
  readonly attempt: string;
  readonly what: string;
}

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** Most upstreams that an attempt may reach, by the routes of the world. */
const MOST_UPSTREAMS = { safe: 2, once: 2, stream: 2, streamonce: 1, south: 2 };
const REPEATABLE = new Set(["safe", "stream"]);
/** How long a trouble excuses a VM: the platform's `contact` bound. */
const CONTACT_MS = 6_000;
/** A final answer, and the end of work for a caller that left, may be this late; the machine is shared. */
const ANSWER_SLACK_MS = 1_000;
const LEAVE_SLACK_MS = 1_000;
/** Bounds of the platform, half as long again: processes here share cores with the driver. */
const CONFIG_MS = 6_000;
const DRAIN_MS = 6_000;
/** Upstreams that a request may end before all know of it, and later. */
const ENDS_AT_ONCE = 3;
const ENDS_LATER = 3;
/** Share of requests that must be served when all is mended. */
const RECOVERED_SHARE = 0.95;

/** See the module. */
export class Judge {
  readonly #evidence: Evidence;
  readonly #arrivals = new Map<string, Arrival[]>();
  readonly #breaches: Breach[] = [];

  constructor(evidence: Evidence) {
    this.#evidence = evidence;
    for (const arrival of evidence.arrivals) {
      const list = this.#arrivals.get(arrival.attempt) ?? [];
      list.push(arrival);
      this.#arrivals.set(arrival.attempt, list);
    }
  }

  /** All broken promises. */
  breaches(): readonly Breach[] {
    const known = new Set(this.#evidence.attempts.map(({ id }) => id));
    for (const { attempt, runner } of this.#evidence.arrivals) {
      if (!known.has(attempt)) {
        this.#note("UNASKED", attempt, `${runner} got what nobody sent`);
      }
    }
    for (const attempt of this.#evidence.attempts) {
      const arrivals = this.#arrivals.get(attempt.id) ?? [];
      this.#checkAnswer(attempt, arrivals);
      this.#checkRuns(attempt, arrivals);
      this.#checkTimes(attempt, arrivals);
    }
    for (const what of this.#evidence.processFaults) {
      this.#note("PROCESS", "", what);
    }
    this.#checkCrashes();
    this.#checkRecovery();
    return this.#breaches;
  }

  #note(rule: Rule, attempt: string, what: string): void {
    this.#breaches.push({ rule, attempt, what });
  }

  #checkAnswer(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, status, stamp, echo, text, whole } = attempt;
    if (status === 404) {
      this.#note("DENIED", id, "404 on a route that is there");
    }
    if (stamp === undefined) {
      if (status >= 200 && status < 300) {
        this.#note("MIXED", id, "success that no upstream signed");
      }
      return;
    }
    const signer = arrivals.find(({ runner }) => stamp === `stamp-${runner}`);
    if (!signer) {
      this.#note("MIXED", id, `signed by ${stamp}, which did not run it`);
    }
    if (echo !== id) this.#note("MIXED", id, `answer of ${echo}`);
    if (status !== 200 || !signer) return;
    const isStream = attempt.kind === "stream" || attempt.kind === "streamonce";
    const wanted = isStream ? streamText() : `served by ${signer.runner}`;
    const isRight = whole ? text === wanted : wanted.startsWith(text);
    if (!isRight) {
      const rule = isStream ? "ORDER" : "MIXED";
      this.#note(
        rule,
        id,
        `${whole ? "whole" : "cut"} body ${text.slice(0, 80)}`,
      );
    }
  }

  #checkRuns(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, kind, status } = attempt;
    const runners = new Set(arrivals.map(({ runner }) => runner));
    if (!REPEATABLE.has(kind)) {
      if (arrivals.length > 1) {
        this.#note("TWICE", id, `ran at ${[...runners].join(", ")}`);
      }
      if (NOT_RUN.has(status) && arrivals.length > 0) {
        this.#note("REFUSED", id, `answered ${status} and ran`);
      }
    }
    if (runners.size > MOST_UPSTREAMS[kind]) {
      this.#note("BUDGET", id, `ran at ${[...runners].join(", ")}`);
    }
    for (const arrival of arrivals) {
      const isSame = arrival.method === attempt.method &&
        arrival.target === attempt.target && arrival.body === attempt.body;
      if (!isSame) {
        this.#note("UNASKED", id, `changed on its way to ${arrival.runner}`);
      }
      if (kind === "south" && arrival.region !== "south") {
        this.#note("HOME", id, `ran in ${arrival.region}`);
      }
      if (kind !== "safe" && arrival.service !== "s") {
        this.#note("ROUTE", id, `ran by ${arrival.service}`);
      }
    }
  }

  #checkTimes(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, kind, sentMs, endMs, leftMs, status, vm } = attempt;
    const isCalm = this.#isCalm(`vm:${vm}`, sentMs - CONTACT_MS, endMs);
    const isCalmWorld = this.#isCalmWorld(sentMs - CONTACT_MS, endMs);
    const plainService = this.#plainService(sentMs);
    if (
      isCalm && leftMs === undefined &&
      endMs - sentMs > DEADLINE_MS + ANSWER_SLACK_MS
    ) {
      this.#note(
        "LATE",
        id,
        `no final answer for ${Math.round(endMs - sentMs)} ms`,
      );
    }
    for (
      const { arrivedMs, runner, leftMs: runnerLeftMs, service } of arrivals
    ) {
      if (isCalmWorld && arrivedMs > (leftMs ?? Infinity) + LEAVE_SLACK_MS) {
        this.#note("GONE", id, `reached ${runner} after its caller had left`);
      }
      if (isCalmWorld && arrivedMs > runnerLeftMs + DRAIN_MS) {
        this.#note("DRAIN", id, `reached ${runner}, which leaves`);
      }
      const isOld = plainService !== undefined && service !== plainService;
      if (kind === "safe" && isCalm && isOld) {
        this.#note("CONFIG", id, `ran by ${service} of an older configuration`);
      }
    }
    const isLost = status === 0 && leftMs === undefined && arrivals.length > 0;
    if (isLost && isCalmWorld) {
      this.#note(
        "LOST",
        id,
        "passed on, and its connection ended with no answer",
      );
    }
  }

  /** The only service that plain requests sent then may go to; `undefined` while two versions may be in force. */
  #plainService(sentMs: number): string | undefined {
    const { configs } = this.#evidence;
    const newest = configs.filter(({ sinceMs }) => sinceMs <= sentMs).at(-1);
    const isSettled = newest && sentMs - newest.sinceMs > CONFIG_MS &&
      !configs.some(({ sinceMs }) =>
        sinceMs > sentMs && sinceMs < sentMs + DEADLINE_MS + ANSWER_SLACK_MS
      );
    return isSettled ? newest.plainService : undefined;
  }

  #isCalm(who: string, fromMs: number, toMs: number): boolean {
    return !this.#evidence.troubles.some((trouble) =>
      (trouble.who === who || trouble.who === "store") &&
      trouble.fromMs <= toMs && trouble.toMs >= fromMs
    );
  }

  #isCalmWorld(fromMs: number, toMs: number): boolean {
    return !this.#evidence.troubles.some((trouble) =>
      trouble.fromMs <= toMs && trouble.toMs >= fromMs
    );
  }

  /**
   * A request that ends upstreams may end three, and three more later than the contact bound after that. Where VMs and
   * store are well all the while, all of it is known within a second and six are the most.
   */
  #checkCrashes(): void {
    const byRequest = new Map<string, number[]>();
    for (const { body, arrivedMs } of this.#evidence.fatalArrivals) {
      const timesMs = byRequest.get(body) ?? [];
      timesMs.push(arrivedMs);
      byRequest.set(body, timesMs);
    }
    for (const [body, timesMs] of byRequest) {
      timesMs.sort((a, b) => a - b);
      const boundMs = (timesMs.at(ENDS_AT_ONCE - 1) ?? Infinity) + CONTACT_MS;
      const late = timesMs.filter((ms) => ms > boundMs).length;
      const isCalm = !this.#evidence.troubles.some(({ who, fromMs, toMs }) =>
        (who === "store" || who.startsWith("vm:")) &&
        fromMs <= timesMs.at(-1)! && toMs >= timesMs[0]
      );
      const most = isCalm ? ENDS_AT_ONCE + ENDS_LATER : Infinity;
      if (late > ENDS_LATER || timesMs.length > most) {
        const what = `ended ${timesMs.length} upstreams, ${late} of them late`;
        this.#note("CRASH", body, what);
      }
    }
  }

  #checkRecovery(): void {
    const late = this.#evidence.attempts.filter(({ sentMs, leftMs }) =>
      sentMs >= this.#evidence.recoveredMs && leftMs === undefined
    );
    const served = late.filter(({ status, whole }) => status === 200 && whole);
    if (served.length < late.length * RECOVERED_SHARE || late.length === 0) {
      this.#note("RECOVER", "", `${served.length} of ${late.length} served`);
    }
  }
}
