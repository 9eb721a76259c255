import { describe, it } from "../src/base/describe.ts";
import type { Attempt } from "./attempts.ts";
import type { Arrival, Evidence, Refusal } from "./judge.ts";
import { findNoticeBreaches } from "./judge_notices.ts";

/** An attempt that a VM was sent, and that an upstream of region north got 10 ms later. */
function exchange(id: string, sentMs: number, vmIndex = 0) {
  const attempt = { id, sentMs, endMs: sentMs + 50, status: 200, vmIndex };
  const arrival = {
    attemptId: id,
    arrivedMs: sentMs + 10,
    runnerId: "r1",
    region: "north",
    leavingSinceMs: 900,
  };
  const refusal = {
    attemptId: id,
    refusedMs: sentMs + 10,
    restMs: 3_000,
    runnerId: "r1",
    region: "north",
  };
  return {
    attempt: attempt as unknown as Attempt,
    arrival: arrival as unknown as Arrival,
    refusal: refusal as Refusal,
  };
}

type Exchange = ReturnType<typeof exchange>;

function findRules(
  arrived: readonly Exchange[],
  refused: readonly Exchange[],
  troubles: Evidence["troubles"] = [],
): string[] {
  const evidence = {
    attempts: [...arrived, ...refused].map(({ attempt }) => attempt),
    arrivals: arrived.map(({ arrival }) => arrival),
    refusals: refused.map(({ refusal }) => refusal),
    troubles,
  } as unknown as Evidence;
  return findNoticeBreaches(evidence).map(({ rule }) => rule);
}

const trouble = (who: string) => [{ who, fromMs: 1_500, toMs: 1_600 }];

describe("a soak's judge", () => {
  describe("of an upstream that said that it leaves", () => {
    const first = exchange("a", 1_000);

    it("finds a request that was sent over 6 s after its first such answer", (t) => {
      t.deepEqual(findRules([first, exchange("b", 7_100)], []), ["DRAIN"]);
      t.deepEqual(findRules([first, exchange("b", 7_000)], []), []);
    });

    it("excuses it by a VM's trouble, not by one of the store", (t) => {
      const late = [first, exchange("b", 7_100)];
      t.deepEqual(findRules(late, [], trouble("vm:3")), []);
      t.deepEqual(findRules(late, [], trouble("store")), ["DRAIN"]);
    });
  });

  describe("of an upstream that asked for rest", () => {
    const asked = exchange("a", 1_000);
    const within = (vm: number) =>
      [2_000, 2_500, 3_000].map((ms) => exchange(`b${ms}`, ms, vm));

    it("finds more than two requests of the VM that it asked, refused or not", (t) => {
      t.true(findRules([], [asked, ...within(0)]).includes("REST"));
      t.deepEqual(findRules([], [asked, ...within(0).slice(1)]), []);
    });

    it("counts neither other VMs' requests nor relayed ones", (t) => {
      t.deepEqual(findRules([], [asked, ...within(2).slice(1)]), []);
      t.deepEqual(findRules([], [asked, ...within(1)]), []);
    });

    it("excuses them by a trouble of that VM alone", (t) => {
      const refused = [asked, ...within(0)];
      t.deepEqual(findRules([], refused, trouble("vm:0")), []);
      t.true(findRules([], refused, trouble("vm:2")).includes("REST"));
    });
  });
});
