/**
 * Callers of a run. Each queries the directory, keeps its connections alive and records the answers to its requests.
 *
 * @module
 */

import { Agent, type IncomingMessage, request } from "node:http";
import { Random } from "../src/base/mod.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import type { SoakVm, World } from "./world.ts";

/** Kind of a caller's request; each has a route of its own. */
export type RequestKind = "safe" | "once" | "stream" | "streamonce" | "south";

/** One attempt, as its caller observed it. Times are on the world's clock. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly target: string;
  readonly body: string;
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
  #vms: SoakVm[] = [];
  #refreshedMs = -Infinity;

  constructor(world: World, region: string, index: number, seed: number) {
    this.#world = world;
    this.#region = region;
    this.#name = `${seed}-${index}`;
    this.#random = new Random(seed * 1_000 + index);
  }

  /** Sends requests until `untilMs`, one after the other. */
  async run(untilMs: number): Promise<void> {
    while (this.#world.nowMs() < untilMs) {
      await sleep(this.#random.exponential(MEAN_PAUSE_MS));
      const vm = await this.#pickVm();
      if (vm) await this.#send(vm);
    }
    this.#agent.destroy();
  }

  async #pickVm(): Promise<SoakVm | undefined> {
    if (this.#world.nowMs() - this.#refreshedMs > DIRECTORY_TTL_MS) {
      await this.#refreshVms();
    }
    return this.#vms.length > 0 ? this.#random.pick(this.#vms) : undefined;
  }

  /** Queries the directory of a random VM; if the answer lists no VM, the last list stays in use. */
  async #refreshVms(): Promise<void> {
    const vm = this.#random.pick(this.#world.vms);
    try {
      const answer = await fetch(
        this.#world.directoryUrl(vm) + this.#region,
        { signal: AbortSignal.timeout(DIRECTORY_TIMEOUT_MS) },
      );
      const { addresses } = await answer.json() as { addresses: string[] };
      const listed = this.#world.vms.filter(({ ip }) =>
        addresses.some((address) => address.startsWith(`${ip}:`))
      );
      if (listed.length === 0) return;
      this.#vms = listed;
      this.#refreshedMs = this.#world.nowMs();
    } catch {
      // The queried VM is down or affected by a fault; the next try queries another VM.
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
      vmIndex: vm.index,
      sentMs: nowMs,
      endMs: Infinity,
      status: 0,
      answerAttemptId: undefined,
      stamp: undefined,
      text: "",
      isComplete: false,
      canceledMs: undefined,
    };
  }

  #send(vm: SoakVm): Promise<void> {
    const attempt = this.#drawAttempt(vm);
    this.attempts.push(attempt);
    const cancelDelayMs = this.#random.next() < CANCEL_SHARE
      ? this.#random.int(MAX_CANCEL_DELAY_MS)
      : undefined;
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
        : setTimeout(() => {
          if (attempt.endMs < Infinity) return;
          attempt.canceledMs = this.#world.nowMs();
          call.destroy();
        }, cancelDelayMs);
      call.on("response", (answer) => void readAnswer(attempt, answer, finish));
      call.on("error", finish);
      call.end(attempt.body);
    });
  }
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
