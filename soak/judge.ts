/**
 * Checks a run against the gateway's promises, from what callers and upstreams observed.
 *
 * @module
 */

import { DEFAULT_STREAM_EVENTS, formatStream } from "../src/standins/mod.ts";
import {
  type Attempt,
  isLongKind,
  isRepeatableKind,
  isStreamKind,
  maxUpstreamsOf,
} from "./attempts.ts";
import type { PartCall } from "./part_requests.ts";
import { findBudgetBreaches } from "./judge_budget.ts";
import { findCrashBreaches, findPartBreaches } from "./judge_crashes.ts";
import {
  findFloodBreaches,
  type MemoryPeak,
  type ProcessEnd,
} from "./judge_floods.ts";
import { findNoticeBreaches } from "./judge_notices.ts";
import { findStopBreaches, isExcusedByStop, type Stop } from "./judge_stops.ts";
import { findVersionBreaches, type Upstream } from "./judge_versions.ts";
import type { Rule } from "./rules.ts";
import { ANY_VERSION, maskVersions } from "./stream_events.ts";
import { describeDifferences, type View, type VmView } from "./views.ts";

/** A request that reached an upstream. Times are on the world's clock. */
export interface Arrival {
  readonly attemptId: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly arrivedMs: number;
  readonly runnerId: string;
  readonly region: string;
  readonly service: string;
  /** When the store learned that the upstream is draining or gone. */
  readonly drainingSinceMs: number;
  /** Since when the upstream's answers say that it leaves. */
  readonly leavingSinceMs: number;
  /** When the upstream stopped working on it: its answer or its connection ended, or at once if it ignored it. */
  readonly workEndMs: number;
  /** When the upstream's process ended. */
  readonly goneMs: number;
}

/** A request that an upstream turned away. */
export interface Refusal {
  readonly attemptId: string;
  readonly refusedMs: number;
  /** The rest that it asked for; 0 if it asked for none that can be read. */
  readonly restMs: number;
  readonly runnerId: string;
  readonly region: string;
}

/** What was observed in a run. */
export interface Evidence {
  readonly attempts: readonly Attempt[];
  readonly arrivals: readonly Arrival[];
  /** Requests that crash every upstream that runs them; the body identifies the request. */
  readonly fatalArrivals: readonly Arrival[];
  /** Requests of series in which some share a part that crashes every upstream, and what their callers saw. */
  readonly partArrivals: readonly Arrival[];
  readonly partCalls: readonly PartCall[];
  readonly refusals: readonly Refusal[];
  /** All upstreams that ran, with their versions. */
  readonly upstreams: readonly Upstream[];
  readonly troubles: readonly {
    readonly who: string;
    readonly fromMs: number;
    readonly toMs: number;
    /** Whether an upstream only kept its callers waiting. */
    readonly isQuiet?: boolean;
  }[];
  readonly configs: readonly {
    readonly sinceMs: number;
    readonly plainService: string;
  }[];
  readonly processFaults: readonly string[];
  /** Processes of VMs that ended though nobody ended them. */
  readonly processEnds: readonly ProcessEnd[];
  /** The most memory that each process used, and what a VM has; Infinity where processes don't run as deployed. */
  readonly memoryPeaks: readonly MemoryPeak[];
  readonly memoryLimitMb: number;
  /** The planned stops of VMs, in their order, and the time that each has until it is killed. */
  readonly stops: readonly Stop[];
  readonly graceMs: number;
  /** Ids of the requests that VMs' logs name. */
  readonly loggedIds: ReadonlySet<string>;
  /** When all faults have been over for long enough that requests must be served again. */
  readonly recoveredMs: number;
  /** What each VM holds after that. */
  readonly vmViews: readonly VmView[];
  /** What the store holds at the same time. */
  readonly storeView: View;
}

/** A broken promise. */
export interface Breach {
  readonly rule: Rule;
  readonly attempt: string;
  readonly what: string;
}

/** Statuses by which the gateway promises that the request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** How long a trouble still excuses a VM after its end: the platform's `contact` bound. */
const CONTACT_BOUND_MS = 6_000;
/** How late a final answer, and the end of work for a canceled request, may be; the machine is shared. */
const ANSWER_SLACK_MS = 1_000;
const CANCEL_SLACK_MS = 1_000;
/** 1.5 times the platform's bounds, because the gateways' processes share cores with the soak's own process. */
const CONFIG_BOUND_MS = 6_000;
const DRAIN_BOUND_MS = 6_000;
/** Share of requests that must be served once the run has recovered. */
const MIN_SERVED_SHARE = 0.95;
/** A VM that got fewer requests since the recovery is not judged by its share. */
const MIN_VM_REQUESTS = 20;

/** Finds the promises that a run broke. */
export class Judge {
  readonly #evidence: Evidence;
  readonly #arrivalsByAttempt = new Map<string, Arrival[]>();
  readonly #breaches: Breach[] = [];

  constructor(evidence: Evidence) {
    this.#evidence = evidence;
    for (const arrival of evidence.arrivals) {
      const list = this.#arrivalsByAttempt.get(arrival.attemptId) ?? [];
      list.push(arrival);
      this.#arrivalsByAttempt.set(arrival.attemptId, list);
    }
  }

  /** All broken promises. */
  breaches(): readonly Breach[] {
    const knownIds = new Set(this.#evidence.attempts.map(({ id }) => id));
    for (const { attemptId, runnerId } of this.#evidence.arrivals) {
      if (!knownIds.has(attemptId)) {
        this.#addBreach(
          "UNASKED",
          attemptId,
          `${runnerId} got what nobody sent`,
        );
      }
    }
    for (const attempt of this.#evidence.attempts) {
      const arrivals = this.#arrivalsByAttempt.get(attempt.id) ?? [];
      this.#checkAnswer(attempt, arrivals);
      this.#checkRuns(attempt, arrivals);
      this.#checkTimes(attempt, arrivals);
    }
    for (const what of this.#evidence.processFaults) {
      this.#addBreach("PROCESS", "", what);
    }
    this.#breaches.push(...findCrashBreaches(this.#evidence));
    this.#breaches.push(...findPartBreaches(this.#evidence));
    this.#breaches.push(...findNoticeBreaches(this.#evidence));
    this.#breaches.push(...findVersionBreaches(this.#evidence));
    this.#breaches.push(...findBudgetBreaches(this.#evidence));
    this.#breaches.push(...findStopBreaches(this.#evidence));
    this.#breaches.push(...findFloodBreaches(this.#evidence));
    this.#checkRecovery();
    this.#checkViews();
    return this.#breaches;
  }

  #addBreach(rule: Rule, attempt: string, what: string): void {
    this.#breaches.push({ rule, attempt, what });
  }

  #checkAnswer(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, status, stamp, answerAttemptId, text, isComplete } = attempt;
    if (status === 404) {
      this.#addBreach("DENIED", id, "404 on a route that is there");
    }
    if (stamp === undefined) {
      if (status >= 200 && status < 300) {
        this.#addBreach("MIXED", id, "success that no upstream signed");
      }
      return;
    }
    const stamped = arrivals.find(({ runnerId }) =>
      stamp === `stamp-${runnerId}`
    );
    if (!stamped) {
      this.#addBreach("MIXED", id, `signed by ${stamp}, which did not run it`);
    }
    if (answerAttemptId !== id) {
      this.#addBreach("MIXED", id, `answer of ${answerAttemptId}`);
    }
    if (status !== 200 || !stamped) return;
    const isStream = isStreamKind(attempt.kind);
    const expected = isStream
      ? formatStream(attempt.lastEventId, DEFAULT_STREAM_EVENTS, ANY_VERSION)
      : `served by ${stamped.runnerId}`;
    const received = isStream ? maskVersions(text) : text;
    const isExpected = isComplete
      ? received === expected
      : expected.startsWith(received);
    if (!isExpected) {
      const rule = isStream ? "ORDER" : "MIXED";
      const end = JSON.stringify(text.slice(-80));
      const what = `${isComplete ? "whole" : "cut"} body ${end}`;
      this.#addBreach(rule, id, `${attempt.kind}: ${what}`);
    }
  }

  #checkRuns(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, kind, status } = attempt;
    const runnerIds = new Set(arrivals.map(({ runnerId }) => runnerId));
    if (!isRepeatableKind(kind)) {
      if (arrivals.length > 1) {
        this.#addBreach("TWICE", id, `ran at ${[...runnerIds].join(", ")}`);
      }
      if (NOT_RUN_STATUSES.has(status) && arrivals.length > 0) {
        this.#addBreach("REFUSED", id, `answered ${status} and ran`);
      }
    }
    if (runnerIds.size > maxUpstreamsOf(kind)) {
      this.#addBreach("BUDGET", id, `ran at ${[...runnerIds].join(", ")}`);
    }
    for (const arrival of arrivals) {
      const isSame = arrival.method === attempt.method &&
        arrival.target === attempt.target && arrival.body === attempt.body;
      if (!isSame) {
        this.#addBreach(
          "UNASKED",
          id,
          `changed on its way to ${arrival.runnerId}`,
        );
      }
      if (kind.endsWith("south") && arrival.region !== "south") {
        this.#addBreach("HOME", id, `ran in ${arrival.region}`);
      }
      if (kind !== "safe" && arrival.service !== "s") {
        this.#addBreach("ROUTE", id, `ran by ${arrival.service}`);
      }
    }
  }

  /** How late a large answer ends is up to its caller, which reads it slowly. */
  #checkTimes(attempt: Attempt, arrivals: readonly Arrival[]): void {
    const { id, kind, sentMs, endMs, deadlineMs, canceledMs, vmIndex } =
      attempt;
    const isTroubleFree = this.#isTroubleFree(
      `vm:${vmIndex}`,
      sentMs - CONTACT_BOUND_MS,
      endMs,
    );
    const isWorldTroubleFree = this.#isWorldTroubleFree(
      sentMs - CONTACT_BOUND_MS,
      endMs,
    );
    const plainService = this.#plainServiceFor(attempt);
    if (
      isTroubleFree && canceledMs === undefined && kind !== "large" &&
      endMs > deadlineMs + ANSWER_SLACK_MS
    ) {
      this.#addBreach(
        "LATE",
        id,
        `no final answer for ${Math.round(endMs - sentMs)} ms`,
      );
    }
    for (
      const { arrivedMs, runnerId, drainingSinceMs: drainingSinceMs, service }
        of arrivals
    ) {
      if (
        isWorldTroubleFree &&
        arrivedMs > (canceledMs ?? Infinity) + CANCEL_SLACK_MS
      ) {
        this.#addBreach(
          "GONE",
          id,
          `reached ${runnerId} after its caller had left`,
        );
      }
      if (isWorldTroubleFree && arrivedMs > drainingSinceMs + DRAIN_BOUND_MS) {
        this.#addBreach("DRAIN", id, `reached ${runnerId}, which leaves`);
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
    const isLost = attempt.status === 0 && canceledMs === undefined &&
      arrivals.length > 0 && !this.#isExcusedByStop(attempt, arrivals);
    if (isLost && isWorldTroubleFree) {
      this.#addBreach(
        "LOST",
        id,
        "passed on, and its connection ended with no answer",
      );
    }
  }

  /** Requests of other kinds are over before a stop may cut them. */
  #isExcusedByStop(attempt: Attempt, arrivals: readonly Arrival[]): boolean {
    return isLongKind(attempt.kind) &&
      isExcusedByStop(this.#evidence, attempt, arrivals);
  }

  /** The only service to which a plain request may go; `undefined` while two versions may be in force. */
  #plainServiceFor({ sentMs, deadlineMs }: Attempt): string | undefined {
    const { configs } = this.#evidence;
    const newest = configs.filter(({ sinceMs }) => sinceMs <= sentMs).at(-1);
    const isSettled = newest && sentMs - newest.sinceMs > CONFIG_BOUND_MS &&
      !configs.some(({ sinceMs }) =>
        sinceMs > sentMs && sinceMs < deadlineMs + ANSWER_SLACK_MS
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
   * Streams that are taken up again have a bound of their own, as a VM may refuse to go on. The others are judged over all
   * VMs, and at each VM by itself: one of many that serves little hardly changes the share over all.
   */
  #checkRecovery(): void {
    const recent = this.#evidence.attempts.filter((
      { sentMs, canceledMs, resumes },
    ) =>
      sentMs >= this.#evidence.recoveredMs && canceledMs === undefined &&
      resumes === undefined
    );
    const served = recent.filter(isServed);
    if (
      served.length < recent.length * MIN_SERVED_SHARE || recent.length === 0
    ) {
      this.#addBreach(
        "RECOVER",
        "",
        `${served.length} of ${recent.length} served`,
      );
    }
    for (const vm of new Set(recent.map(({ vmIndex }) => vmIndex))) {
      const brought = recent.filter(({ vmIndex }) => vmIndex === vm);
      const count = brought.filter(isServed).length;
      const isJudged = brought.length >= MIN_VM_REQUESTS;
      if (isJudged && count < brought.length * MIN_SERVED_SHARE) {
        const what = `vm ${vm}: ${count} of ${brought.length} served`;
        this.#addBreach("SERVE", "", what);
      }
    }
  }

  /** Each VM must hold what the store holds. */
  #checkViews(): void {
    for (const { vm, view } of this.#evidence.vmViews) {
      const differences = view
        ? describeDifferences(view, this.#evidence.storeView)
        : ["did not answer"];
      if (differences.length === 0) continue;
      this.#addBreach("VIEW", "", `vm ${vm}: ${differences.join(", ")}`);
    }
  }
}

function isServed({ status, isComplete }: Attempt): boolean {
  return status === 200 && isComplete;
}
