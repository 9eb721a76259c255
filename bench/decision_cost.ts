/**
 * Measures the processor time of a decision as pools and queues grow. It is real time, so the figures differ a little
 * from run to run.
 *
 * @module
 */

import { Pool, type SlotRequest } from "../src/decisions/mod.ts";
import { Random } from "../src/base/mod.ts";
import { roundTo4Digits } from "./measures.ts";
import type { Row } from "./row.ts";
import { buildTable, workspaceName } from "./tables.ts";

const SEED = 7;
const STEPS = 4000;
const WORKSPACES = Array.from({ length: 50 }, (_, i) => `w${i}`);

/** A pool whose upstreams are full and whose queue holds a given number of requests. */
class LoadedPool {
  readonly #pool = new Pool({ service: "plan", region: "agadir", seed: SEED });
  readonly #random = new Random(SEED);
  readonly #grantedIds: string[] = [];
  #requestCount = 0;
  #nowMs = 10_000;

  constructor(upstreams: number, queued: number) {
    const table = buildTable({
      regions: ["agadir"],
      upstreamsPerRegion: upstreams,
      objective: {},
      workspaces: WORKSPACES,
      canShift: false,
      queueLimit: 10_000_000,
    });
    const rows = table.upstreams("plan", "agadir");
    this.#pool.configure(table, rows, 0);
    const totalSlots = upstreams * 16;
    for (
      let i = 0;
      i < totalSlots * 2 && this.#grantedIds.length < totalSlots;
      i++
    ) {
      this.#sendRequest();
      if (i % upstreams === 0) this.#tick();
    }
    for (let i = 0; i < queued; i++) this.#sendRequest();
  }

  /** Sends one request and ends one response. */
  step(): void {
    this.#sendRequest();
    const attemptId = this.#grantedIds.shift();
    if (attemptId === undefined) return;
    this.#recordGrants(this.#pool.report({
      attemptId,
      service: "plan",
      upstreamId: "",
      outcome: "done",
      firstTokenMs: 100,
      outputTokens: 50,
      totalMs: 1000,
    }, this.#nowMs));
  }

  #tick(): void {
    this.#nowMs += 50;
    this.#recordGrants(this.#pool.tick(this.#nowMs));
  }

  #sendRequest(): void {
    this.#nowMs += 0.05;
    const workspace = this.#random.pick(WORKSPACES);
    const document = this.#random.int(200) * 1000;
    const request: SlotRequest = {
      attemptId: `a${this.#requestCount++}`,
      service: "plan",
      workspace: workspaceName("agadir", workspace, true),
      priority: 0,
      arrivedAtMs: this.#nowMs,
      deadlineMs: this.#nowMs + 1e9,
      prefixHashes: Array.from({ length: 8 }, (_, i) => document + i),
      promptTokens: 2048,
      expectedOutputTokens: 50,
      exclude: [],
      tableVersion: 1,
    };
    this.#recordGrants(this.#pool.request(request, this.#nowMs));
  }

  #recordGrants(outputs: ReturnType<Pool["tick"]>): void {
    for (const output of outputs) {
      if (output.type !== "answer") continue;
      if (output.answer.type === "grant") {
        this.#grantedIds.push(output.attemptId);
      }
    }
  }
}

function measureStepUs(upstreams: number, queued: number): number {
  const pool = new LoadedPool(upstreams, queued);
  for (let i = 0; i < STEPS / 4; i++) pool.step();
  const cpuBefore = process.cpuUsage();
  for (let i = 0; i < STEPS; i++) pool.step();
  const used = process.cpuUsage(cpuBefore);
  return (used.user + used.system) / STEPS;
}

/** Measures a step, which is one request and the end of one response, at several sizes. */
export function run(): Promise<readonly Row[]> {
  const rows: Row[] = [];
  // The first run lets V8 compile the code and is not counted.
  measureStepUs(8, 1000);
  const sizes = [[8, 10], [8, 1000], [8, 100_000], [64, 1000], [512, 1000]];
  for (const [upstreams, queued] of sizes) {
    rows.push({
      bench: "decision_cost",
      case: `${upstreams} upstreams, ${queued} queued`,
      policy: "lead",
      measure: "cpu_per_step",
      value: roundTo4Digits(measureStepUs(upstreams, queued)),
      unit: "us",
      seed: SEED,
    });
  }
  return Promise.resolve(rows);
}
