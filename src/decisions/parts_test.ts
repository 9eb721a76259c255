import fc from "fast-check";
import { Table, type TableRow, tableRow } from "../agreement/mod.ts";
import { describe, it } from "../base/describe.ts";
import { WaitCorrection } from "./wait_model.ts";
import { FairQueue } from "./fair_queue.ts";
import { Health } from "./health.ts";
import { computeHomeWeights, computeLimitPart } from "./limit_parts.ts";
import { Limiter } from "./limits.ts";
import { mayRetry, RetryBudget } from "./retry.ts";
import { chooseRegion, ShiftCounts, type ShiftView } from "./shift.ts";
import { RecentUsage } from "./recent_usage.ts";
import { CachedPrefixes } from "./cached_prefixes.ts";

function tableOf(...rows: object[]): Table {
  const parsed = rows.map((row) => tableRow.parse(row));
  return Table.of(1, parsed.map((row: TableRow) => ({ row, version: 1 })));
}

describe("fair queue", () => {
  it("serves flows by weight, however much they queue", (t) => {
    const queue = new FairQueue<string>();
    for (let i = 0; i < 300; i++) {
      queue.push("a", { flow: "a", weight: 2, work: 10, rank: i });
      queue.push("b", { flow: "b", weight: 1, work: 10, rank: i });
    }
    const first = Array.from({ length: 150 }, () => queue.pop()!.value);
    t.true(Math.abs(first.filter((f) => f === "a").length - 100) <= 2);
  });

  it("serves a new flow before the backlog of another", (t) => {
    const queue = new FairQueue<string>();
    for (let i = 0; i < 100; i++) {
      queue.push("hog", { flow: "hog", weight: 1, work: 1000, rank: i });
    }
    for (let i = 0; i < 10; i++) queue.pop();
    queue.push("new", { flow: "new", weight: 1, work: 10, rank: 0 });
    const next = [queue.pop()!.value, queue.pop()!.value];
    t.true(next.includes("new"));
  });

  it("neither loses nor duplicates entries", (t) => {
    const step = fc.record({
      type: fc.constantFrom("push", "pop", "remove", "take", "skip"),
      flow: fc.constantFrom("a", "b", "c"),
      work: fc.integer({ min: 1, max: 100 }),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const queue = new FairQueue<number>();
      const live = new Map<number, ReturnType<typeof queue.push>>();
      steps.forEach(({ type, flow, work }, i) => {
        const any = live.values().next().value;
        if (type === "push") {
          live.set(i, queue.push(i, { flow, weight: 1, work, rank: i }));
        } else if (type === "pop") {
          const popped = queue.pop();
          if ((popped === undefined) !== (live.size === 0)) throw new Error();
          if (popped && !live.delete(popped.value)) throw new Error();
        } else if (type === "skip") {
          queue.skip();
          queue.restore();
        } else if (any) {
          if (type === "take") queue.takeOutOfTurn(any);
          else queue.remove(any);
          live.delete(any.value);
        }
        if (queue.size !== live.size) throw new Error("size");
      });
      while (queue.pop()) { /* empties it */ }
      if (queue.size !== 0 || queue.work !== 0) throw new Error("rest");
    }));
    t.pass();
  });
});

describe("limits", () => {
  const rows = [
    { kind: "service", id: "plan", type: "model" },
    { kind: "service", id: "ledger", type: "plain" },
    { kind: "region", id: "agadir" },
    { kind: "region", id: "marrakech" },
    {
      kind: "traffic",
      service: "plan",
      region: "agadir",
      mayGoTo: ["marrakech"],
    },
    { kind: "traffic", service: "plan", region: "marrakech", weight: 3 },
    { kind: "traffic", service: "ledger", region: "agadir" },
    {
      kind: "workspace",
      id: "road",
      home: "agadir",
      bound: false,
      requestsPerS: 10,
    },
    {
      kind: "workspace",
      id: "flour",
      home: "agadir",
      spendMicrocentsPerHour: 1200,
    },
  ];
  const table = tableOf(...rows);

  // Regions that cannot reach each other, and the leads in them, go on admitting. If each held the whole limit, a
  // workspace could spend it once in each.
  it("the parts of all leads never add up to more than the limit", (t) => {
    const row = table.workspace("road")!;
    const weights = computeHomeWeights(table);
    let sum = 0;
    for (const service of ["plan", "ledger"]) {
      for (const region of ["agadir", "marrakech"]) {
        sum += computeLimitPart(
          table,
          row,
          { service, region, pools: 1 },
          weights,
        );
      }
    }
    t.true(sum <= 1 + 1e-9);
  });

  it("no sixty minutes cost more than the limit", (t) => {
    const scope = { service: "plan", region: "agadir", pools: 1 };
    const limiter = new Limiter(table, scope);
    limiter.configure(table, scope, 0);
    const cost = { workTokens: 1, microcents: 5 };
    const spends: number[] = [];
    for (let nowMs = 0; nowMs < 3 * 3_600_000; nowMs += 2000) {
      if (limiter.findRefusal("flour", cost, nowMs)) continue;
      limiter.charge("flour", cost, nowMs);
      limiter.release("flour", cost, cost);
      spends.push(nowMs);
    }
    t.true(spends.length > 300);
    for (const from of spends) {
      const hour = spends.filter((s) => s >= from && s < from + 3_600_000);
      t.true(hour.length * cost.microcents <= 1200 / 2 + cost.microcents);
    }
  });

  it("an edit of the table grants no second burst", (t) => {
    const scope = { service: "plan", region: "agadir", pools: 1 };
    const limiter = new Limiter(table, scope);
    limiter.configure(table, scope, 0);
    const cost = { workTokens: 1, microcents: 50 };
    while (!limiter.findRefusal("flour", cost, 0)) {
      limiter.charge("flour", cost, 0);
    }
    limiter.configure(table, scope, 0);
    t.is(limiter.findRefusal("flour", cost, 0)?.code, "spendExhausted");
  });
});

describe("retry", () => {
  const attempt = {
    atMostOnce: true,
    ran: "unknown" as const,
    answerBytes: 0,
    attempts: 1,
    deadlineMs: 100,
  };
  it("never repeats an at-most-once call that may have run", (t) => {
    t.false(mayRetry(attempt, 0));
    t.true(mayRetry({ ...attempt, ran: "no" }, 0));
    t.true(mayRetry({ ...attempt, atMostOnce: false }, 0));
  });
  it("is never allowed after a part of an answer, nor past the deadline", (t) => {
    const free = { ...attempt, atMostOnce: false };
    t.false(mayRetry({ ...free, answerBytes: 1 }, 0));
    t.false(mayRetry(free, 100));
  });
  it("is limited to a part of the traffic", (t) => {
    const budget = new RetryBudget(0);
    let retries = 0;
    for (let i = 0; i < 1000; i++) {
      budget.recordFirstAttempt();
      if (budget.tryTake(0)) retries++;
    }
    t.true(retries <= 132);
  });
});

describe("shift", () => {
  const view: ShiftView = {
    workspace: {
      kind: "workspace",
      id: "road",
      home: "agadir",
      bound: false,
      weight: 1,
      keyDigests: [],
    },
    service: undefined,
    traffic: {
      kind: "traffic",
      service: "plan",
      region: "agadir",
      mayGoTo: ["marrakech"],
      awayShareLimit: 1,
      reserveShare: 0.2,
      weight: 1,
    },
    region: "agadir",
    sentFrom: undefined,
    homeMs: 5000,
    homeWaitMs: 4000,
    coldMs: 300,
    deadlineMs: 8000,
    nowMs: 0,
  };
  const remote = {
    region: "marrakech",
    linkMs: 40,
    predictedWaitMs: 0,
    takesIn: true,
    seenAtMs: 0,
  };
  const choose = (more: Partial<ShiftView>, region = remote) =>
    chooseRegion({ ...view, ...more }, [region], new ShiftCounts())?.region;

  it("sends a request where it is served sooner", (t) => {
    t.is(choose({}), "marrakech");
  });
  it("never sends a request away that is bound, of an unknown workspace or sent here", (t) => {
    t.is(choose({ workspace: { ...view.workspace!, bound: true } }), undefined);
    t.is(choose({ workspace: undefined }), undefined);
    t.is(choose({ sentFrom: "casablanca" }), undefined);
    t.is(choose({ homeMs: Infinity, workspace: undefined }), undefined);
  });
  it("sends requests only where the table, the link and the receiver allow it", (t) => {
    const traffic = { ...view.traffic!, mayGoTo: [] };
    t.is(choose({ traffic }), undefined);
    t.is(choose({}, { ...remote, takesIn: false }), undefined);
    t.is(choose({ nowMs: 10_000, deadlineMs: 20_000 }), undefined);
    t.is(choose({}, { ...remote, linkMs: 4000 }), undefined);
  });
  it("keeps the share sent away under its limit", (t) => {
    const counts = new ShiftCounts();
    const limited = {
      ...view,
      traffic: { ...view.traffic!, awayShareLimit: 0.1 },
    };
    let count = 0;
    for (let i = 0; i < 200; i++) {
      counts.recordArrival(0);
      const to = chooseRegion(limited, [{ ...remote, seenAtMs: -i }], counts);
      if (!to) continue;
      counts.recordSent(to, 0);
      count++;
    }
    t.true(count > 10 && count <= 21);
  });
});

describe("estimates", () => {
  it("the limit of a returning upstream is ramped up", (t) => {
    const health = new Health(16);
    health.eject(0);
    t.is(health.limit(500), 0);
    t.true(health.isProbeDue(1000));
    health.restore(1000);
    t.is(health.limit(1000), 2);
    t.is(health.limit(2000), 8);
    t.is(health.limit(3000), 16);
  });
  it("only one workspace is far over its share, and only beside others", (t) => {
    const usage = new RecentUsage();
    usage.add("hog", 1, 1000, 0);
    t.false(usage.isOverShare("hog", 0));
    for (let i = 0; i < 8; i++) usage.add(`w${i}`, 1, 20, 0);
    t.true(usage.isOverShare("hog", 0));
    t.false(usage.isOverShare("w1", 0));
    t.false(usage.isOverShare("hog", 60_000));
  });
  it("the estimate of cached prefixes is bounded and expires", (t) => {
    const prefixes = new CachedPrefixes();
    prefixes.touch([1, 2, 3], 0);
    t.is(prefixes.countMatched([1, 2, 3, 4], 10), 3);
    t.is(prefixes.countMatched([9, 2], 10), 0);
    t.is(prefixes.countMatched([1, 2, 3], 400_000), 0);
    prefixes.touch(Array.from({ length: 5000 }, (_, i) => i + 10), 0);
    t.true(prefixes.size <= 2048);
  });
  it("the correction of waits follows a high quantile of them", (t) => {
    const correction = new WaitCorrection();
    for (let i = 0; i < 2000; i++) {
      correction.recordWait(4000, i % 4 === 0 ? 8000 : 4000);
    }
    t.true(correction.correct(1000) > 1500);
  });
});
