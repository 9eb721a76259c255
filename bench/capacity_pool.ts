/**
 * Processor time of a pool lead's decision by the size of the pool and of its queue.
 *
 * @module
 */

import { Table, tableRow } from "../src/agreement/mod.ts";
import { Pool, type SlotRequest } from "../src/decisions/mod.ts";
import type { Row } from "./row.ts";

const SIZES = [8, 64, 512];
const QUEUES = [10, 1000, 100_000];
const SLOTS = 16;
const ROUNDS = 2000;
const SEED = 1;

/** Measures all sizes. */
export function measurePool(): Row[] {
  const rows: Row[] = [];
  decideUs(SIZES[0], 0); // Warms the code up.
  for (const upstreams of SIZES) {
    rows.push(row(upstreams, 0, "decision", decideUs(upstreams, 0)));
  }
  for (const queued of QUEUES) {
    rows.push(row(64, queued, "decision", decideUs(64, queued)));
  }
  return rows;
}

function row(
  upstreams: number,
  queued: number,
  measure: string,
  value: number,
): Row {
  return {
    bench: "capacity",
    case: `${upstreams} upstreams, ${queued} queued`,
    policy: "pool",
    measure,
    value: Math.round(value * 10) / 10,
    unit: "us",
    seed: SEED,
  };
}

/** Mean time of a request, its grant and its report together. */
function decideUs(upstreams: number, queued: number): number {
  const pool = new Pool({ service: "plan", region: "r", seed: SEED });
  const table = tableOf(upstreams);
  pool.configure(table, table.upstreams("plan", "r"), 0);
  const running = fill(pool, upstreams * SLOTS + queued);
  let nowMs = 1000;
  let nextId = 1_000_000;
  if (queued === 0) release(pool, running, upstreams);
  const startMs = performance.now();
  for (let round = 0; round < ROUNDS; round++) {
    nowMs += 1;
    const outputs = pool.request(request(`a${nextId++}`, nowMs), nowMs);
    for (const output of outputs) {
      if (output.type === "answer" && output.answer.type === "grant") {
        running.push([output.attemptId, output.answer.upstreamId]);
      }
    }
    const done = running.shift();
    if (!done) continue;
    for (const output of pool.report(reportOf(done), nowMs)) {
      if (output.type === "answer" && output.answer.type === "grant") {
        running.push([output.attemptId, output.answer.upstreamId]);
      }
    }
  }
  const tookMs = performance.now() - startMs;
  const held = pool.digest(nowMs).queued;
  if (held < queued * 0.9) throw new Error(`only ${held} were queued`);
  return tookMs * 1000 / ROUNDS;
}

type Held = [attemptId: string, upstreamId: string];

function fill(pool: Pool, count: number): Held[] {
  const running: Held[] = [];
  for (let n = 0; n < count; n++) {
    for (const output of pool.request(request(`f${n}`, 0), 0)) {
      if (output.type === "answer" && output.answer.type === "grant") {
        running.push([output.attemptId, output.answer.upstreamId]);
      }
    }
  }
  return running;
}

function release(pool: Pool, running: Held[], count: number): void {
  for (const held of running.splice(0, count)) pool.report(reportOf(held), 500);
}

function reportOf([attemptId, upstreamId]: Held) {
  return {
    attemptId,
    service: "plan",
    upstreamId,
    outcome: "done",
    firstTokenMs: 100,
    outputTokens: 100,
    totalMs: 1000,
  } as const;
}

function request(attemptId: string, nowMs: number): SlotRequest {
  const workspace = Number(attemptId.slice(1)) % 100;
  return {
    attemptId,
    service: "plan",
    workspace: `w${workspace}`,
    priority: 0,
    arrivedAtMs: nowMs,
    deadlineMs: nowMs + 100_000_000,
    prefixHashes: [workspace * 10, workspace * 10 + 1],
    promptTokens: 500,
    expectedOutputTokens: 100,
    exclude: [],
    tableVersion: 1,
  };
}

function tableOf(upstreams: number): Table {
  const rows: object[] = [
    { kind: "region", id: "r" },
    {
      kind: "service",
      id: "plan",
      type: "model",
      poolSize: 512,
      queueLimit: 10_000_000,
    },
  ];
  for (let n = 0; n < upstreams; n++) {
    rows.push({
      kind: "upstream",
      id: `u${n}`,
      service: "plan",
      region: "r",
      failureDomain: "r-a",
      url: `http://127.0.0.1:1/u${n}`,
      slots: SLOTS,
    });
  }
  const versioned = rows.map((row) => ({
    row: tableRow.parse(row),
    version: 1,
  }));
  return Table.of(1, versioned);
}
