import type { ExecutionContext } from "ava";
import { Table, type TableRow, tableRow } from "../agreement/mod.ts";
import { describe, it } from "../base/describe.ts";
import {
  Pool,
  type PoolOutput,
  type SlotAnswer,
  type SlotRequest,
} from "./mod.ts";

const rows = [
  { kind: "service", id: "plan", type: "model", queueLimit: 20 },
  { kind: "region", id: "agadir" },
  { kind: "region", id: "marrakech" },
  {
    kind: "traffic",
    service: "plan",
    region: "agadir",
    mayGoTo: ["marrakech"],
  },
  { kind: "workspace", id: "convoy", home: "agadir", bound: true },
  { kind: "workspace", id: "road", home: "agadir", bound: false },
];

function upstreamRow(id: string, more = {}) {
  return {
    kind: "upstream",
    id,
    service: "plan",
    region: "agadir",
    failureDomain: "a",
    url: `http://${id}.test`,
    slots: 2,
    ...more,
  };
}

function tableOf(...more: object[]): Table {
  const parsed = [...rows, ...more].map((row) => tableRow.parse(row));
  return Table.of(1, parsed.map((row: TableRow) => ({ row, version: 1 })));
}

function poolOf(table: Table): Pool {
  const pool = new Pool({ service: "plan", region: "agadir", seed: 1 });
  pool.configure(table, table.upstreams("plan", "agadir"), 0);
  return pool;
}

let attemptCount = 0;
function slotRequest(more: Partial<SlotRequest> = {}): SlotRequest {
  return {
    attemptId: `a${attemptCount++}`,
    service: "plan",
    workspace: "road",
    priority: 0,
    arrivedAtMs: 0,
    deadlineMs: 30_000,
    prefixHashes: [],
    promptTokens: 100,
    expectedOutputTokens: 50,
    exclude: [],
    tableVersion: 1,
    ...more,
  };
}

function onlyAnswer(t: ExecutionContext, outputs: PoolOutput[]): SlotAnswer {
  t.is(outputs.length, 1);
  const [output] = outputs;
  if (output.type !== "answer") throw new Error("not an answer");
  return output.answer;
}

function codeOf(answer: SlotAnswer): string {
  return answer.type === "refuse" ? answer.failure.code : answer.type;
}

const AFTER_CAUTION_MS = 2000;

describe("pool", () => {
  describe("slots", () => {
    it("are granted up to their number, and again when one is freed", (t) => {
      const pool = poolOf(tableOf(upstreamRow("u1")));
      const first = slotRequest();
      t.is(onlyAnswer(t, pool.request(first, AFTER_CAUTION_MS)).type, "grant");
      pool.request(slotRequest(), AFTER_CAUTION_MS);
      const third = slotRequest();
      t.deepEqual(pool.request(third, AFTER_CAUTION_MS), []);
      const outputs = pool.report({
        attemptId: first.attemptId,
        service: "plan",
        upstreamId: "u1",
        outcome: "done",
        outputTokens: 50,
        totalMs: 400,
      }, AFTER_CAUTION_MS + 400);
      t.is(outputs.length, 1);
      t.is(onlyAnswer(t, outputs).type, "grant");
    });

    // The caller of a dead entry VM is gone, and so is the VM that would free its slot. If slots did not expire, the
    // upstream would stay full for ever and later callers would be refused.
    it("are freed when they are not renewed", (t) => {
      const pool = poolOf(tableOf(upstreamRow("u1", { slots: 1 })));
      const lost = slotRequest();
      pool.request(lost, AFTER_CAUTION_MS);
      pool.request(slotRequest(), AFTER_CAUTION_MS);
      t.deepEqual(pool.renew([lost.attemptId], AFTER_CAUTION_MS + 5000), []);
      t.deepEqual(pool.tick(AFTER_CAUTION_MS + 7000), []);
      t.is(onlyAnswer(t, pool.tick(AFTER_CAUTION_MS + 11_001)).type, "grant");
      t.deepEqual(pool.renew([lost.attemptId], AFTER_CAUTION_MS + 11_001), [
        lost.attemptId,
      ]);
    });

    it("stay the same for a repeated request", (t) => {
      const pool = poolOf(tableOf(upstreamRow("u1")));
      const request = slotRequest();
      const first = onlyAnswer(t, pool.request(request, AFTER_CAUTION_MS));
      t.deepEqual(
        onlyAnswer(t, pool.request(request, AFTER_CAUTION_MS)),
        first,
      );
    });

    it("count as taken when a new lead adopts them", (t) => {
      const pool = poolOf(tableOf(upstreamRow("u1", { slots: 1 })));
      pool.adopt([{
        attemptId: "old",
        upstreamId: "u1",
        expiresAtMs: AFTER_CAUTION_MS + 6000,
        promptTokens: 1,
        expectedOutputTokens: 1,
        workspace: "road",
      }], AFTER_CAUTION_MS);
      t.deepEqual(pool.request(slotRequest(), AFTER_CAUTION_MS), []);
      t.is(onlyAnswer(t, pool.cancel("old", AFTER_CAUTION_MS)).type, "grant");
    });

    it("are not granted at a leaving upstream", (t) => {
      const pool = poolOf(tableOf(upstreamRow("u1", { state: "leaving" })));
      const answer = onlyAnswer(
        t,
        pool.request(slotRequest(), AFTER_CAUTION_MS),
      );
      t.is(codeOf(answer), "noUpstream");
    });
  });

  describe("refusals", () => {
    it("come at once when the start would miss the deadline", (t) => {
      const pool = poolOf(tableOf(upstreamRow("u1", { slots: 1 })));
      for (let i = 0; i < 10; i++) {
        pool.request(
          slotRequest({ expectedOutputTokens: 2000 }),
          AFTER_CAUTION_MS,
        );
      }
      const answer = onlyAnswer(
        t,
        pool.request(
          slotRequest({
            deadlineMs: AFTER_CAUTION_MS + 300,
            expectedOutputTokens: 2000,
          }),
          AFTER_CAUTION_MS,
        ),
      );
      t.is(codeOf(answer), "wouldMissDeadline");
      if (answer.type !== "refuse") return t.fail();
      t.is(answer.failure.ran, "no");
      t.true(answer.failure.retryAtMs! > AFTER_CAUTION_MS);
    });

    it("keep the queue bounded and leave room in it for another workspace", (t) => {
      const pool = poolOf(tableOf(upstreamRow("u1", { slots: 1 })));
      const deadlineMs = AFTER_CAUTION_MS + 1e7;
      const answers = Array.from(
        { length: 40 },
        () => pool.request(slotRequest({ deadlineMs }), AFTER_CAUTION_MS),
      ).flat();
      const codes = answers.map((o) => o.type === "answer" && codeOf(o.answer));
      t.true(codes.includes("queueFull"));
      const other = slotRequest({ deadlineMs, workspace: "convoy" });
      t.deepEqual(pool.request(other, AFTER_CAUTION_MS), []);
    });
  });
});
