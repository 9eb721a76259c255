/**
 * Callers of a run. Each queries the directory, keeps its connections alive and records the answers to its requests.
 *
 * @module
 */

import { Agent } from "node:http";
import { Random } from "../src/base/mod.ts";
import { DEFAULT_STREAM_EVENTS } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import {
  type Attempt,
  newAnswer,
  newAttempt,
  type RequestKind,
  sendAttempt,
} from "./attempts.ts";
import { readWholeEvents } from "./stream_events.ts";
import { VmDirectory } from "./vm_directory.ts";
import { REGIONS } from "./vm_settings.ts";
import type { SoakVm, World } from "./world.ts";

/** Whether callers take up streams that broke off: in at most two tries, or until two of their tries were answered. */
export type TakeUps = "none" | "twoTries" | "twoAnswers";

/** Deadline that a caller sends with its request. */
export const DEADLINE_MS = 1_500;
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
  readonly #directory: VmDirectory;
  readonly #random: Random;
  readonly #name: string;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #takeUps: TakeUps;
  readonly #resumeRandom: Random;
  readonly #resumed: Promise<void>[] = [];

  /** Unless `takeUps` is `none`, it loses the connections of some streams and takes up again all that broke off. */
  constructor(
    world: World,
    region: string,
    index: number,
    seed: number,
    takeUps: TakeUps,
  ) {
    this.#world = world;
    this.#directory = new VmDirectory(world, region);
    this.#name = `${seed}-${index}`;
    this.#random = new Random(seed * 1_000 + index);
    this.#takeUps = takeUps;
    this.#resumeRandom = new Random((seed * 1_000 + index) ^ RESUME_SEED);
  }

  /** Sends requests until `untilMs`, one after the other. */
  async run(untilMs: number): Promise<void> {
    while (this.#world.nowMs() < untilMs) {
      await sleep(this.#random.exponential(MEAN_PAUSE_MS));
      const vm = await this.#directory.pick(this.#random);
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
        ...this.#times(),
      };
      await this.#send(vm, last, undefined);
      if (last.status > 0 || this.#takeUps === "twoTries") counted++;
    }
  }

  async #pickResumingVm(): Promise<SoakVm | undefined> {
    const random = this.#resumeRandom;
    if (random.next() >= ANY_REGION_SHARE) return this.#directory.pick(random);
    const listed = await this.#directory.lookUp(random, random.pick(REGIONS));
    return listed.length > 0 ? random.pick(listed) : undefined;
  }

  #drawAttempt(vm: SoakVm): Attempt {
    const kind = this.#random.pick(KINDS);
    return newAttempt({
      id: `${this.#name}-${this.attempts.length}`,
      kind,
      vmIndex: vm.index,
      bodyParts: kind === "safe" ? 0 : 1 + this.#random.int(20),
      ...this.#times(),
    });
  }

  #times(): Pick<Attempt, "sentMs" | "deadlineMs"> {
    const sentMs = this.#world.nowMs();
    return { sentMs, deadlineMs: sentMs + DEADLINE_MS };
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

  async #send(
    vm: SoakVm,
    attempt: Attempt,
    cancelDelayMs: number | undefined,
  ): Promise<void> {
    this.attempts.push(attempt);
    const eventsToBreak = this.#drawBreak(attempt) ?? Infinity;
    const open = sendAttempt(attempt, {
      agent: this.#agent,
      to: { host: vm.ip, port: vm.proxies.callers.port },
      nowMs: () => this.#world.nowMs(),
      onAnswer: (answer) =>
        answer.on("data", () => {
          const { length } = readWholeEvents(attempt.text);
          // The parser has passed on the rest of what it read by then; else the end could be seen without the bytes before it.
          if (length >= eventsToBreak) setImmediate(open.cancel);
        }),
    });
    const cancelTimer = cancelDelayMs === undefined
      ? undefined
      : setTimeout(open.cancel, cancelDelayMs);
    await open.ended;
    clearTimeout(cancelTimer);
  }
}
