/**
 * Callers that wait for longer than a VM may take to stop. They connect to the VMs themselves, so that no proxy comes
 * between an answer and its reader.
 *
 * @module
 */

import { Agent, type IncomingMessage } from "node:http";
import { hash32, Random } from "../src/base/mod.ts";
import { sleep } from "../test/cluster.ts";
import {
  type Attempt,
  isLongKind,
  LARGE_ANSWER_BYTES,
  LONG_DEADLINE_MS,
  type LongKind,
  newAttempt,
  type RequestKind,
  sendAttempt,
} from "./attempts.ts";
import { DEADLINE_MS } from "./callers.ts";
import { VmDirectory } from "./vm_directory.ts";
import type { SoakVm, World } from "./world.ts";

/** Requests of a caller that may be open at once. */
const MAX_OPEN = 4;
/** VMs that have just started are slow; these callers begin one after the other. */
const MAX_START_DELAY_MS = 800;
const MEAN_PAUSE_MS = 300;
/** Pause of a caller that stays with one VM until its process is gone. */
const STAYING_PAUSE_MS = 60;
/** A large answer is read until so long after its request was sent: before its VM's end, if that VM leaves meanwhile. */
const MIN_READ_MS = 300;
const MAX_READ_MS = 4_000;
/** Share of requests whose answers are large. */
const LARGE_SHARE = 0.06;
/** A caller whose VM is gone waits for so long, until others are in the directory. */
const GONE_PAUSE_MS = 100;

const LONG_KINDS: readonly LongKind[] = [
  "longsafe",
  "longonce",
  "longstream",
  "longstreamonce",
  "longsouth",
];
const STAYING_KINDS: readonly RequestKind[] = [
  "safe",
  "once",
  "once",
  "stream",
  "streamonce",
  "longsafe",
  "longonce",
  "longstream",
  "longsouth",
];

/** Who a long caller is. */
export interface LongCallerOptions {
  readonly world: World;
  readonly region: string;
  readonly index: number;
  readonly seed: number;
  /** Whether it uses one VM, on open connections, until that VM's process is gone. */
  readonly staysWithVm: boolean;
}

/** A caller with several open requests that wait long. */
export class LongCaller {
  readonly attempts: Attempt[] = [];
  readonly #options: LongCallerOptions;
  readonly #random: Random;
  readonly #directory: VmDirectory;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #open = new Set<Promise<void>>();
  /** The VM with which it stays. */
  #vm: SoakVm | undefined;

  constructor(options: LongCallerOptions) {
    this.#options = options;
    const { world, region, seed, index } = options;
    this.#random = new Random(hash32(`long caller ${seed} ${index}`));
    this.#directory = new VmDirectory(world, region);
  }

  /** Sends requests until `untilMs` and waits for their answers. */
  async run(untilMs: number): Promise<void> {
    const { world, staysWithVm } = this.#options;
    const pauseMs = staysWithVm ? STAYING_PAUSE_MS : MEAN_PAUSE_MS;
    await sleep(this.#random.int(MAX_START_DELAY_MS));
    while (world.nowMs() < untilMs) {
      await sleep(this.#random.exponential(pauseMs));
      if (this.#open.size >= MAX_OPEN) await Promise.race(this.#open);
      const vm = await this.#chooseVm();
      if (vm) this.#start(vm);
      else await sleep(GONE_PAUSE_MS);
    }
    await Promise.all(this.#open);
    this.#agent.destroy();
  }

  async #chooseVm(): Promise<SoakVm | undefined> {
    if (!this.#options.staysWithVm) return this.#directory.pick(this.#random);
    this.#vm ??= await this.#directory.pick(this.#random);
    return this.#vm;
  }

  #start(vm: SoakVm): void {
    const attempt = this.#drawAttempt(vm);
    this.attempts.push(attempt);
    const ended = this.#send(vm, attempt);
    this.#open.add(ended);
    void ended.finally(() => this.#open.delete(ended));
  }

  #drawAttempt(vm: SoakVm): Attempt {
    const { world, seed, index, staysWithVm } = this.#options;
    const isLarge = !staysWithVm && this.#random.next() < LARGE_SHARE;
    const kinds = staysWithVm ? STAYING_KINDS : LONG_KINDS;
    const kind = isLarge ? "large" : this.#random.pick(kinds);
    const sentMs = world.nowMs();
    return newAttempt({
      id: `${seed}-L${index}-${this.attempts.length}`,
      kind,
      vmIndex: vm.index,
      bodyParts: 1 + this.#random.int(20),
      sentMs,
      deadlineMs: sentMs + (isLongKind(kind) ? LONG_DEADLINE_MS : DEADLINE_MS),
    });
  }

  async #send(vm: SoakVm, attempt: Attempt): Promise<void> {
    const { world } = this.#options;
    const readMs = MIN_READ_MS + this.#random.int(MAX_READ_MS - MIN_READ_MS);
    const open = sendAttempt(attempt, {
      agent: this.#agent,
      to: world.callersEndpoint(vm),
      isDirect: true,
      nowMs: () => world.nowMs(),
      onAnswer: (answer) => {
        if (attempt.kind !== "large") return;
        readSlowly(answer, attempt.sentMs + readMs - world.nowMs());
      },
    });
    await open.ended;
    const isGone = attempt.status === 0 && attempt.connectedMs === Infinity;
    if (isGone && this.#vm === vm) this.#vm = undefined;
  }
}

/** Reads a large answer at a pace by which it takes `readMs`; at full pace if no time is left. */
function readSlowly(answer: IncomingMessage, readMs: number): void {
  const startMs = performance.now();
  let bytes = 0;
  answer.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    const dueMs = startMs + readMs * bytes / LARGE_ANSWER_BYTES;
    const waitMs = dueMs - performance.now();
    if (waitMs <= 0) return;
    answer.pause();
    setTimeout(() => answer.resume(), waitMs);
  });
}
