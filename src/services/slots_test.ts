import type { ExecutionContext } from "ava";
import { Table, type TableRow, tableRow } from "../agreement/mod.ts";
import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import type { SlotRequest } from "../decisions/mod.ts";
import { type Handlers, Kernel, openLog, Task } from "../kernel/mod.ts";
import type { SlotsMessages, TableMessages } from "./messages.ts";
import { SlotsService } from "./slots.ts";

class FixedTable extends Task<TableMessages> {
  readonly name = "table";
  table: Table | undefined;
  protected readonly handlers: Handlers<TableMessages> = {
    current: () => this.table,
    waitFor: () => this.table,
  };
  async start(): Promise<void> {}
  async close(): Promise<void> {}
  dump(): unknown {
    return {};
  }
}

function tableOf(version: number, rows: unknown[]): Table {
  const parsed: TableRow[] = rows.map((row) => tableRow.parse(row));
  return Table.of(version, parsed.map((row) => ({ row, version })));
}

const plan = { kind: "service", id: "plan", type: "model" };
const upstream = (id: string) => ({
  kind: "upstream",
  id,
  service: "plan",
  region: "agadir",
  failureDomain: "agadir-1",
  url: `http://127.0.0.1:1/${id}`,
});

function request(nowMs: number, attemptId: string): SlotRequest {
  return {
    attemptId,
    service: "plan",
    workspace: "convoy",
    priority: 0,
    arrivedAtMs: nowMs,
    deadlineMs: nowMs + 10_000,
    prefixHashes: [],
    promptTokens: 100,
    expectedOutputTokens: 20,
    exclude: [],
    tableVersion: 1,
  };
}

async function startAlone(t: ExecutionContext, table: Table | undefined) {
  const clock = new ManualClock();
  const kernel = new Kernel(clock, openLog("silent"));
  const tables = new FixedTable();
  tables.table = table;
  await kernel.start(tables);
  await kernel.start(new SlotsService({ vmId: "a", region: "agadir" }));
  t.teardown(() => kernel.close(clock.nowMs()));
  return { clock, tables, slots: kernel.get<SlotsMessages>("slots") };
}

describe("slots", () => {
  it("grants a slot on a VM that runs alone", async (t) => {
    const { clock, slots } = await startAlone(
      t,
      tableOf(1, [plan, upstream("u1")]),
    );
    const answer = await slots.ask("acquire", request(clock.nowMs(), "x1"));
    t.like(answer, { type: "grant", upstreamId: "u1" });
  });

  it("refuses with the right code without a table and for an unknown service", async (t) => {
    const { clock, tables, slots } = await startAlone(t, undefined);
    const early = await slots.ask("acquire", request(clock.nowMs(), "x1"));
    t.like(early, {
      type: "refuse",
      failure: { code: "noTable", ran: "no" },
    });
    tables.table = tableOf(1, []);
    await clock.advance(200);
    const late = await slots.ask("acquire", request(clock.nowMs(), "x2"));
    t.like(late, {
      type: "refuse",
      failure: { code: "unknownService", ran: "no" },
    });
  });

  it("leads the upstreams of a newer table", async (t) => {
    const { clock, tables, slots } = await startAlone(t, tableOf(1, [plan]));
    const none = await slots.ask("acquire", request(clock.nowMs(), "x1"));
    t.is(none.type, "refuse");
    tables.table = tableOf(2, [plan, upstream("u2")]);
    await clock.advance(200);
    const answer = await slots.ask("acquire", request(clock.nowMs(), "x2"));
    t.like(answer, { type: "grant", upstreamId: "u2" });
  });
});
