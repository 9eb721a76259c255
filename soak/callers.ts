/**
 * Callers of a run: each asks the directory, keeps its connections as long as they last, and notes what it sees.
 *
 * @module
 */

import { Agent, type IncomingMessage, request } from "node:http";
import { Random } from "../src/base/mod.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "../test/cluster.ts";
import type { SoakVm, World } from "./world.ts";

/** What callers ask for. */
export type RequestKind = "safe" | "once" | "stream" | "streamonce" | "south";

/** One attempt, as its caller saw it. Times are on the world's clock. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  /** The VM whose address the caller used. */
  readonly vm: number;
  readonly sentMs: number;
  endMs: number;
  /** 0 if the connection ended without an answer. */
  status: number;
  /** The attempt that the answer says it belongs to. */
  echo: string | undefined;
  stamp: string | undefined;
  text: string;
  /** Whether the answer ended in order. */
  whole: boolean;
  /** When the caller left before the end. */
  leftMs: number | undefined;
}

/** How long a caller lets the gateway work. */
export const DEADLINE_MS = 1_500;
/** A caller that sees no final answer gives up here; long after the gateway must have answered. */
const PATIENCE_MS = 5_000;
const DIRECTORY_KEPT_MS = 1_000;
const DIRECTORY_WAIT_MS = 500;
const MEAN_PAUSE_MS = 60;
/** Share of requests whose caller leaves early. */
const LEAVING_SHARE = 0.08;
const LONGEST_STAY_MS = 60;

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

/** One caller. */
export class Caller {
  readonly attempts: Attempt[] = [];
  readonly #world: World;
  readonly #region: string;
  readonly #random: Random;
  readonly #name: string;
  readonly #agent = new Agent({ keepAlive: true });
  #vms: SoakVm[] = [];
  #askedMs = -Infinity;

  constructor(world: World, region: string, index: number, seed: number) {
    this.#world = world;
    this.#region = region;
    this.#name = `${seed}-${index}`;
    this.#random = new Random(seed * 1_000 + index);
  }

  /** Makes requests until `untilMs`, one after the other. */
  async run(untilMs: number): Promise<void> {
    while (this.#world.nowMs() < untilMs) {
      await sleep(this.#random.exponential(MEAN_PAUSE_MS));
      const vm = await this.#pickVm();
      if (vm) await this.#ask(vm);
    }
    this.#agent.destroy();
  }

  async #pickVm(): Promise<SoakVm | undefined> {
    if (this.#world.nowMs() - this.#askedMs > DIRECTORY_KEPT_MS) {
      await this.#askDirectory();
    }
    return this.#vms.length > 0 ? this.#random.pick(this.#vms) : undefined;
  }

  /** Asks some VM; an answer that names nobody keeps the last one. */
  async #askDirectory(): Promise<void> {
    const vm = this.#random.pick(this.#world.vms);
    try {
      const answer = await fetch(
        this.#world.directoryUrl(vm) + this.#region,
        { signal: AbortSignal.timeout(DIRECTORY_WAIT_MS) },
      );
      const { addresses } = await answer.json() as { addresses: string[] };
      const named = this.#world.vms.filter(({ ip }) =>
        addresses.some((address) => address.startsWith(`${ip}:`))
      );
      if (named.length === 0) return;
      this.#vms = named;
      this.#askedMs = this.#world.nowMs();
    } catch {
      // The VM that was asked is down or harmed; the next try asks another.
    }
  }

  #draw(vm: SoakVm): Attempt {
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
      vm: vm.index,
      sentMs: nowMs,
      endMs: Infinity,
      status: 0,
      echo: undefined,
      stamp: undefined,
      text: "",
      whole: false,
      leftMs: undefined,
    };
  }

  #ask(vm: SoakVm): Promise<void> {
    const attempt = this.#draw(vm);
    this.attempts.push(attempt);
    const stayMs = this.#random.next() < LEAVING_SHARE
      ? this.#random.int(LONGEST_STAY_MS)
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
        clearTimeout(patience);
        clearTimeout(leaving);
        resolve();
      };
      const patience = setTimeout(() => call.destroy(), PATIENCE_MS);
      const leaving = stayMs === undefined ? undefined : setTimeout(() => {
        if (attempt.endMs < Infinity) return;
        attempt.leftMs = this.#world.nowMs();
        call.destroy();
      }, stayMs);
      call.on("response", (answer) => void readInto(attempt, answer, finish));
      call.on("error", finish);
      call.end(attempt.body);
    });
  }
}

function one(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function readInto(
  attempt: Attempt,
  answer: IncomingMessage,
  finish: () => void,
): void {
  attempt.status = answer.statusCode ?? 0;
  attempt.echo = one(answer.headers["attempt-id"]);
  attempt.stamp = one(answer.headers["response-stamp"]);
  answer.on("data", (chunk: Buffer) => void (attempt.text += chunk));
  answer.on("error", () => {});
  answer.on("close", () => {
    attempt.whole = answer.complete;
    finish();
  });
}
