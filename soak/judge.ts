/**
 * Which promises a run broke, from what callers and upstreams saw.
 *
 * @module
 */

import { formatStream } from "../src/standins/mod.ts";
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
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Most upstreams that an attempt may reach, by the routes of the world. */
const MAX_UPSTREAMS = { safe: 2, once: 2, stream: 2, streamonce: 1, south: 2 };
const REPEATABLE_KINDS = new Set(["safe", "stream"]);
/** How long a trouble excuses a VM: the platform's `contact` bound. */
const CONTACT_BOUND_MS = 6_000;
/** A final answer, and the end of work for a caller that left, may be this late; the machine is shared. */
const ANSWER_SLACK_MS = 1_000;
const CANCEL_SLACK_MS = 1_000;
/** Bounds of the platform, half as long again: processes here share cores with the driver. */
const CONFIG_BOUND_MS = 6_000;
const DRAIN_BOUND_MS = 6_000;
/** Upstreams that a request may end before all know of it, and later. */
const MAX_EARLY_CRASHES = 3;
const MAX_LATE_CRASHES = 3;
/** Share of requests that must be served when all is mended. */
const MIN_SERVED_SHARE = 0.95;

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
        this.#addBreach("UNASKED", attempt, `${runner} got what nobody sent`);
      }
    }
    for (const attempt of this.#evidence.attempts) {
      const arrivals = this.#arrivals.get(attempt.id) ?? [];
      this.#checkAnswer(attempt, arrivals);
      this.#checkRuns(attempt, arrivals);
      this.#checkTimes(attempt, arrivals);
    }
    for (const what of this.#evidence.processFaults) {
      this.#addBreach("PROCESS", "", what);
    }
    this.#checkCrashes();
    this.#checkRecovery();
    return this.#breaches;
  }

  #addBreach(rule: Rule, attempt: string, what: string): void {
    this.#breaches.push({ rule, attempt, what });
  }

  #checkAnswer(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, status, stamp, echo, text, whole } = attempt;
    if (status === 404) {
      this.#addBreach("DENIED", id, "404 on a route that is there");
    }
    if (stamp === undefined) {
      if (status >= 200 && status < 300) {
        this.#addBreach("MIXED", id, "success that no upstream signed");
      }
      return;
    }
    const stamped = arrivals.find(({ runner }) => stamp === `stamp-${runner}`);
    if (!stamped) {
      this.#addBreach("MIXED", id, `signed by ${stamp}, which did not run it`);
    }
    if (echo !== id) this.#addBreach("MIXED", id, `answer of ${echo}`);
    if (status !== 200 || !stamped) return;
    const isStream = attempt.kind === "stream" || attempt.kind === "streamonce";
    const expected = isStream ? formatStream() : `served by ${stamped.runner}`;
    const isExpected = whole ? text === expected : expected.startsWith(text);
    if (!isExpected) {
      const rule = isStream ? "ORDER" : "MIXED";
      this.#addBreach(
        rule,
        id,
        `${whole ? "whole" : "cut"} body ${text.slice(0, 80)}`,
      );
    }
  }

  #checkRuns(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, kind, status } = attempt;
    const runners = new Set(arrivals.map(({ runner }) => runner));
    if (!REPEATABLE_KINDS.has(kind)) {
      if (arrivals.length > 1) {
        this.#addBreach("TWICE", id, `ran at ${[...runners].join(", ")}`);
      }
      if (NOT_RUN_STATUSES.has(status) && arrivals.length > 0) {
        this.#addBreach("REFUSED", id, `answered ${status} and ran`);
      }
    }
    if (runners.size > MAX_UPSTREAMS[kind]) {
      this.#addBreach("BUDGET", id, `ran at ${[...runners].join(", ")}`);
    }
    for (const arrival of arrivals) {
      const isSame = arrival.method === attempt.method &&
        arrival.target === attempt.target && arrival.body === attempt.body;
      if (!isSame) {
        this.#addBreach(
          "UNASKED",
          id,
          `changed on its way to ${arrival.runner}`,
        );
      }
      if (kind === "south" && arrival.region !== "south") {
        this.#addBreach("HOME", id, `ran in ${arrival.region}`);
      }
      if (kind !== "safe" && arrival.service !== "s") {
        this.#addBreach("ROUTE", id, `ran by ${arrival.service}`);
      }
    }
  }

  #checkTimes(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, kind, sentMs, endMs, leftMs, status, vm } = attempt;
    const isTroubleFree = this.#isTroubleFree(
      `vm:${vm}`,
      sentMs - CONTACT_BOUND_MS,
      endMs,
    );
    const isWorldTroubleFree = this.#isWorldTroubleFree(
      sentMs - CONTACT_BOUND_MS,
      endMs,
    );
    const plainService = this.#plainServiceAt(sentMs);
    if (
      isTroubleFree && leftMs === undefined &&
      endMs - sentMs > DEADLINE_MS + ANSWER_SLACK_MS
    ) {
      this.#addBreach(
        "LATE",
        id,
        `no final answer for ${Math.round(endMs - sentMs)} ms`,
      );
    }
    for (
      const { arrivedMs, runner, leftMs: runnerLeftMs, service } of arrivals
    ) {
      if (
        isWorldTroubleFree && arrivedMs > (leftMs ?? Infinity) + CANCEL_SLACK_MS
      ) {
        this.#addBreach(
          "GONE",
          id,
          `reached ${runner} after its caller had left`,
        );
      }
      if (isWorldTroubleFree && arrivedMs > runnerLeftMs + DRAIN_BOUND_MS) {
        this.#addBreach("DRAIN", id, `reached ${runner}, which leaves`);
      }
      const isOldService = plainService !== undefined &&
        service !== plainService;
      if (kind === "safe" && isTroubleFree && isOldService) {
        this.#addBreach(
          "CONFIG",
          id,
          `ran by ${service} of an older configuration`,
        );
      }
    }
    const isLost = status === 0 && leftMs === undefined && arrivals.length > 0;
    if (isLost && isWorldTroubleFree) {
      this.#addBreach(
        "LOST",
        id,
        "passed on, and its connection ended with no answer",
      );
    }
  }

  /** The only service that plain requests sent then may go to; `undefined` while two versions may be in force. */
  #plainServiceAt(sentMs: number): string | undefined {
    const { configs } = this.#evidence;
    const newest = configs.filter(({ sinceMs }) => sinceMs <= sentMs).at(-1);
    const isSettled = newest && sentMs - newest.sinceMs > CONFIG_BOUND_MS &&
      !configs.some(({ sinceMs }) =>
        sinceMs > sentMs && sinceMs < sentMs + DEADLINE_MS + ANSWER_SLACK_MS
      );
    return isSettled ? newest.plainService : undefined;
  }

  #isTroubleFree(who: string, fromMs: number, toMs: number): boolean {
    return !this.#evidence.troubles.some((trouble) =>
      (trouble.who === who || trouble.who === "store") &&
      trouble.fromMs <= toMs && trouble.toMs >= fromMs
    );
  }

  #isWorldTroubleFree(fromMs: number, toMs: number): boolean {
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
      const boundMs = (timesMs.at(MAX_EARLY_CRASHES - 1) ?? Infinity) +
        CONTACT_BOUND_MS;
      const late = timesMs.filter((ms) => ms > boundMs).length;
      const isTroubleFree = !this.#evidence.troubles.some((
        { who, fromMs, toMs },
      ) =>
        (who === "store" || who.startsWith("vm:")) &&
        fromMs <= timesMs.at(-1)! && toMs >= timesMs[0]
      );
      const maxCrashes = isTroubleFree
        ? MAX_EARLY_CRASHES + MAX_LATE_CRASHES
        : Infinity;
      if (late > MAX_LATE_CRASHES || timesMs.length > maxCrashes) {
        const what = `ended ${timesMs.length} upstreams, ${late} of them late`;
        this.#addBreach("CRASH", body, what);
      }
    }
  }

  #checkRecovery(): void {
    const recent = this.#evidence.attempts.filter(({ sentMs, leftMs }) =>
      sentMs >= this.#evidence.recoveredMs && leftMs === undefined
    );
    const served = recent.filter(({ status, whole }) =>
      status === 200 && whole
    );
    if (
      served.length < recent.length * MIN_SERVED_SHARE || recent.length === 0
    ) {
      this.#addBreach(
        "RECOVER",
        "",
        `${served.length} of ${recent.length} served`,
      );
    }
  }
}
