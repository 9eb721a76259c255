/**
 * Callers of a run. Each queries the directory, keeps its connections alive and records the answers to its requests.
 *
 * @module
 */

import { Agent, type IncomingMessage, request } from "node:http";
import { Random } from "../src/base/mod.ts";
import { DEFAULT_STREAM_EVENTS, ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import { readWholeEvents } from "./stream_events.ts";
import { REGIONS, type SoakVm, type World } from "./world.ts";

/** Whether callers take up streams that broke off: in at most two tries, or until two of their tries were answered. */
export type TakeUps = "none" | "twoTries" | "twoAnswers";

/** Kind of a caller's request; each has a route of its own. */
export type RequestKind = "safe" | "once" | "stream" | "streamonce" | "south";

/** One attempt, as its caller observed it. Times are on the world's clock. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** The last event that the caller has of the stream that it takes up again; 0 if the request is new. */
  readonly lastEventId: number;
  /** Id of the attempt that brought the first event of that stream. */
  readonly resumes: string | undefined;
  /** Index of the VM whose address the caller used. */
  readonly vmIndex: number;
  readonly sentMs: number;
  endMs: number;
  /** HTTP status; 0 if the connection ended without an answer. */
  status: number;
  /** The attempt id in the answer's headers. */
  answerAttemptId: string | undefined;
  stamp: string | undefined;
  text: string;
  /** Whether the answer arrived completely. */
  isComplete: boolean;
  /** When the caller canceled the request, if it did. */
  canceledMs: number | undefined;
}

/** Deadline that a caller sends with its request. */
export const DEADLINE_MS = 1_500;
/** Timeout of a caller that gets no final answer; it is much longer than the gateway may take. */
const CALLER_TIMEOUT_MS = 5_000;
const DIRECTORY_TTL_MS = 1_000;
const DIRECTORY_TIMEOUT_MS = 500;
const MEAN_PAUSE_MS = 60;
/** Share of requests that the caller cancels. */
const CANCEL_SHARE = 0.08;
const MAX_CANCEL_DELAY_MS = 60;

/** Share of resumable streams whose connection the caller loses, where callers take streams up again. */
const BREAK_SHARE = 0.4;
const MAX_TAKE_UPS = 2;
/** Delays before a stream is taken up again; short and long ones are equally likely by their logarithm. */
const MIN_RESUME_DELAY_MS = 50;
const MAX_RESUME_DELAY_MS = 5_000;
/** Share of them that go to a VM of any region. */
const ANY_REGION_SHARE = 0.4;
/** These draws use a random stream of their own, so that a seed's requests are the same with and without them. */
const RESUME_SEED = 0x2e5;

const KINDS: readonly RequestKind[] = [
  "safe",
  "safe",
  "safe",
  "once",
  "once",
  "stream",
  "stream",
  "streamonce",
  "south",
];

/** A caller that sends random requests one after the other. */
export class Caller {
  readonly attempts: Attempt[] = [];
  readonly #world: World;
  readonly #region: string;
  readonly #random: Random;
  readonly #name: string;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #takeUps: TakeUps;
  readonly #resumeRandom: Random;
  readonly #resumed: Promise<void>[] = [];
  #vms: SoakVm[] = [];
  #refreshedMs = -Infinity;

  /** Unless `takeUps` is `none`, it loses the connections of some streams and takes up again all that broke off. */
  constructor(
    world: World,
    region: string,
    index: number,
    seed: number,
    takeUps: TakeUps,
  ) {
    this.#world = world;
    this.#region = region;
    this.#name = `${seed}-${index}`;
    this.#random = new Random(seed * 1_000 + index);
    this.#takeUps = takeUps;
    this.#resumeRandom = new Random((seed * 1_000 + index) ^ RESUME_SEED);
  }

  /** Sends requests until `untilMs`, one after the other. */
  async run(untilMs: number): Promise<void> {
    while (this.#world.nowMs() < untilMs) {
      await sleep(this.#random.exponential(MEAN_PAUSE_MS));
      const vm = await this.#pickVm(this.#random);
      if (!vm) continue;
      const attempt = this.#drawAttempt(vm);
      await this.#send(vm, attempt, this.#drawCancelDelayMs());
      if (this.#takeUps === "none" || attempt.kind !== "stream") continue;
      this.#resumed.push(this.#resume(attempt, untilMs));
    }
    await Promise.all(this.#resumed);
    this.#agent.destroy();
  }

  /** Takes up a stream that broke off after an event, at most until `untilMs`. */
  async #resume(first: Attempt, untilMs: number): Promise<void> {
    let last = first;
    let lastEventId = 0;
    let counted = 0;
    for (let tries = 1; counted < MAX_TAKE_UPS; tries++) {
      lastEventId = readWholeEvents(last.text).at(-1)?.id ?? lastEventId;
      if (lastEventId === 0 || lastEventId === DEFAULT_STREAM_EVENTS) return;
      const delayMs = MIN_RESUME_DELAY_MS *
        (MAX_RESUME_DELAY_MS / MIN_RESUME_DELAY_MS) **
          this.#resumeRandom.next();
      if (this.#world.nowMs() + delayMs > untilMs) return;
      await sleep(delayMs);
      const vm = await this.#pickResumingVm();
      if (!vm && this.#takeUps === "twoTries") return;
      if (!vm) continue;
      last = {
        ...first,
        ...newAnswer(),
        id: `${first.id}-${tries}`,
        resumes: first.id,
        lastEventId,
        vmIndex: vm.index,
        sentMs: this.#world.nowMs(),
      };
      await this.#send(vm, last, undefined);
      if (last.status > 0 || this.#takeUps === "twoTries") counted++;
    }
  }

  async #pickResumingVm(): Promise<SoakVm | undefined> {
    const random = this.#resumeRandom;
    if (random.next() >= ANY_REGION_SHARE) return this.#pickVm(random);
    const listed = await this.#lookUp(random, random.pick(REGIONS));
    return listed.length > 0 ? random.pick(listed) : undefined;
  }

  async #pickVm(random: Random): Promise<SoakVm | undefined> {
    if (this.#world.nowMs() - this.#refreshedMs > DIRECTORY_TTL_MS) {
      await this.#refreshVms(random);
    }
    return this.#vms.length > 0 ? random.pick(this.#vms) : undefined;
  }

  /** If the directory lists no VM, the last list stays in use. */
  async #refreshVms(random: Random): Promise<void> {
    const listed = await this.#lookUp(random, this.#region);
    if (listed.length === 0) return;
    this.#vms = listed;
    this.#refreshedMs = this.#world.nowMs();
  }

  /** Queries the directory of a random VM; returns no VM if it doesn't answer. */
  async #lookUp(random: Random, region: string): Promise<SoakVm[]> {
    const vm = random.pick(this.#world.vms);
    try {
      const answer = await fetch(
        this.#world.directoryUrl(vm) + region,
        { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS) },
      );
      const { addresses } = await answer.json() as { addresses: string[] };
      return this.#world.vms.filter(({ ip }) =>
        addresses.some((address) => address.startsWith(`${ip}:`))
      );
    } catch {
      // The queried VM is down or affected by a fault; the next try queries another VM.
      return [];
    }
  }

  #drawAttempt(vm: SoakVm): Attempt {
    const kind = this.#random.pick(KINDS);
    const id = `${this.#name}-${this.attempts.length}`;
    const hasBody = kind !== "safe";
    const nowMs = this.#world.nowMs();
    return {
      id,
      kind,
      method: hasBody ? "POST" : "GET",
      target: `/${kind}/${id}`,
      body: hasBody ? `body of ${id}`.repeat(1 + this.#random.int(20)) : "",
      lastEventId: 0,
      resumes: undefined,
      vmIndex: vm.index,
      sentMs: nowMs,
      ...newAnswer(),
    };
  }

  #drawCancelDelayMs(): number | undefined {
    return this.#random.next() < CANCEL_SHARE
      ? this.#random.int(MAX_CANCEL_DELAY_MS)
      : undefined;
  }

  /** Number of events after which the caller loses the connection; `undefined` if it doesn't. */
  #drawBreak({ kind }: Attempt): number | undefined {
    if (this.#takeUps === "none" || kind !== "stream") return undefined;
    return this.#resumeRandom.next() < BREAK_SHARE
      ? 1 + this.#resumeRandom.int(DEFAULT_STREAM_EVENTS - 2)
      : undefined;
  }

  #send(
    vm: SoakVm,
    attempt: Attempt,
    cancelDelayMs: number | undefined,
  ): Promise<void> {
    this.attempts.push(attempt);
    const eventsToBreak = this.#drawBreak(attempt) ?? Infinity;
    return new Promise((resolve) => {
      const call = request({
        agent: this.#agent,
        host: vm.ip,
        port: vm.proxies.callers.port,
        path: attempt.target,
        method: attempt.method,
        headers: {
          host: ROUTE_HOST,
          "attempt-id": attempt.id,
          "deadline-ms": String(DEADLINE_MS),
          ...resumeHeaders(attempt),
        },
      });
      const finish = () => {
        if (attempt.endMs < Infinity) return;
        attempt.endMs = this.#world.nowMs();
        clearTimeout(timeoutTimer);
        clearTimeout(cancelTimer);
        resolve();
      };
      const timeoutTimer = setTimeout(() => call.destroy(), CALLER_TIMEOUT_MS);
      const cancelTimer = cancelDelayMs === undefined
        ? undefined
        : setTimeout(() => cancel(), cancelDelayMs);
      const cancel = () => {
        if (attempt.endMs < Infinity || attempt.canceledMs) return;
        attempt.canceledMs = this.#world.nowMs();
        call.destroy();
      };
      call.on("response", (answer) => {
        readAnswer(attempt, answer, finish);
        answer.on("data", () => {
          const { length } = readWholeEvents(attempt.text);
          // The parser has passed on the rest of what it read by then; else the end could be seen without the bytes before it.
          if (length >= eventsToBreak) setImmediate(cancel);
        });
      });
      call.on("error", finish);
      call.end(attempt.body);
    });
  }
}

/** What is known of an answer before it arrives. */
function newAnswer(): Pick<
  Attempt,
  | "endMs"
  | "status"
  | "answerAttemptId"
  | "stamp"
  | "text"
  | "isComplete"
  | "canceledMs"
> {
  return {
    endMs: Infinity,
    status: 0,
    answerAttemptId: undefined,
    stamp: undefined,
    text: "",
    isComplete: false,
    canceledMs: undefined,
  };
}

function resumeHeaders(
  { lastEventId, resumes }: Attempt,
): Record<string, string> {
  return resumes === undefined
    ? {}
    : { "last-event-id": String(lastEventId), resumes };
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function readAnswer(
  attempt: Attempt,
  answer: IncomingMessage,
  finish: () => void,
): void {
  attempt.status = answer.statusCode ?? 0;
  attempt.answerAttemptId = firstValue(answer.headers["attempt-id"]);
  attempt.stamp = firstValue(answer.headers["response-stamp"]);
  answer.on("data", (chunk: Buffer) => void (attempt.text += chunk));
  answer.on("error", () => {});
  answer.on("close", () => {
    attempt.isComplete = answer.complete;
    finish();
  });
}
