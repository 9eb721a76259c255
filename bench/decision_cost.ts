/**
 * Processor time of a decision as pools and queues grow: real time, so the figures differ a little from run to run.
 *
 * @module
 */

import { Pool, type SlotRequest } from "../src/decisions/mod.ts";
import { Random } from "../src/base/mod.ts";
import { rounded } from "./measures.ts";
import type { Row } from "./row.ts";
import { nameOf, tableOf } from "./tables.ts";

const SEED = 7;
const STEPS = 4000;
const WORKSPACES = Array.from({ length: 50 }, (_, i) => `w${i}`);

/** A pool whose upstreams are full and whose queue has this many requests. */
class Loaded {
  readonly #pool = new Pool({ service: "plan", region: "agadir", seed: SEED });
  readonly #random = new Random(SEED);
  readonly #granted: string[] = [];
  #count = 0;
  #nowMs = 10_000;

  constructor(upstreams: number, queued: number) {
    const table = tableOf({
      regions: ["agadir"],
      runners: upstreams,
      objective: {},
      workspaces: WORKSPACES,
      shifts: false,
      queueLimit: 10_000_000,
    });
    const rows = table.upstreams("plan", "agadir");
    this.#pool.configure(table, rows, 0);
    const full = upstreams * 16;
    for (let i = 0; i < full * 2 && this.#granted.length < full; i++) {
      this.#ask();
      if (i % upstreams === 0) this.#tick();
    }
    for (let i = 0; i < queued; i++) this.#ask();
  }

  /** One request comes and one answer ends. */
  step(): void {
    this.#ask();
    const attemptId = this.#granted.shift();
    if (attemptId === undefined) return;
    this.#keep(this.#pool.report({
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
    this.#keep(this.#pool.tick(this.#nowMs));
  }

  #ask(): void {
    this.#nowMs += 0.05;
    const workspace = this.#random.pick(WORKSPACES);
    const document = this.#random.int(200) * 1000;
    const request: SlotRequest = {
      attemptId: `a${this.#count++}`,
      service: "plan",
      workspace: nameOf("agadir", workspace, true),
      priority: 0,
      arrivedAtMs: this.#nowMs,
      deadlineMs: this.#nowMs + 1e9,
      prefixHashes: Array.from({ length: 8 }, (_, i) => document + i),
      promptTokens: 2048,
      expectedOutputTokens: 50,
      exclude: [],
      tableVersion: 1,
    };
    this.#keep(this.#pool.request(request, this.#nowMs));
  }

  #keep(outputs: ReturnType<Pool["tick"]>): void {
    for (const output of outputs) {
      if (output.type !== "answer") continue;
      if (output.answer.type === "grant") this.#granted.push(output.attemptId);
    }
  }
}

function microsPerStep(upstreams: number, queued: number): number {
  const loaded = new Loaded(upstreams, queued);
  for (let i = 0; i < STEPS / 4; i++) loaded.step();
  const from = process.cpuUsage();
  for (let i = 0; i < STEPS; i++) loaded.step();
  const used = process.cpuUsage(from);
  return (used.user + used.system) / STEPS;
}

/** See the module: one step is one request and one end of an answer. */
export function run(): Promise<readonly Row[]> {
  const rows: Row[] = [];
  // The first run compiles the code and is not counted.
  microsPerStep(8, 1000);
  const sizes = [[8, 10], [8, 1000], [8, 100_000], [64, 1000], [512, 1000]];
  for (const [upstreams, queued] of sizes) {
    rows.push({
      bench: "decision_cost",
      case: `${upstreams} upstreams, ${queued} queued`,
      policy: "lead",
      measure: "cpu_per_step",
      value: rounded(microsPerStep(upstreams, queued)),
      unit: "us",
      seed: SEED,
    });
  }
  return Promise.resolve(rows);
}
