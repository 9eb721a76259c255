import { describe, it } from "../base/describe.ts";
import type { QuotaLimit } from "../workspaces/mod.ts";
import { MovingShares, RegionQuota, type Shares } from "./mod.ts";

const REGIONS = ["north", "south", "west"];
const REPORT_INTERVAL_MS = 250;
const WORKSPACE = "convoys";
const SLACK = { slackUnits: 72_000, excess: 0.1, windowMs: 8_000 };

function limitOf(unitsPerS: number): QuotaLimit {
  return { unit: "tokens", unitsPerS, burstUnits: unitsPerS, plainTokens: 200 };
}

const LARGE = limitOf(1_250_000);

describe("shares of a limit", () => {
  describe("under a flood in all regions", () => {
    /** The last region's callers ask for all of these workspaces, and the others' leads give their shares away. */
    function giveAway(
      workspaces: readonly string[],
      regions: readonly string[] = ["north", "south"],
    ) {
      const leads = regions.map((region) =>
        new MovingShares(region, regions, 0)
      );
      const last = leads.at(-1)!;
      for (let nowMs = 0; nowMs < 8_000; nowMs += REPORT_INTERVAL_MS) {
        for (const name of workspaces) last.noteDemand(name, 100_000, nowMs);
        for (const [at, lead] of leads.entries()) {
          lead.rebalance(nowMs);
          for (const [to, other] of leads.entries()) {
            if (to === at) continue;
            other.applyReport(lead.buildReport(regions[to], nowMs)!, nowMs);
          }
        }
      }
      return leads;
    }

    /** A lead of the north that was told nothing. */
    function startLead(nowMs: number, regions = ["north", "south"]) {
      const lead = new MovingShares("north", regions, nowMs);
      lead.startLeading(nowMs);
      return lead;
    }

    // The south has no callers any more; it still holds shares of a workspace that its reports leave out.
    it("are not used twice by a new lead when the workspace is idle elsewhere", (t) => {
      const [, south] = giveAway([WORKSPACE]);
      const next = startLead(40_000);
      next.applyReport(south.buildReport("north", 40_100)!, 40_100);
      const sum = next.shareOf(WORKSPACE, 40_100) +
        south.shareOf(WORKSPACE, 40_100);
      t.true(sum <= 1, `${sum} of the limit`);
    });

    // A report holds 48 workspaces; after the first one a new lead takes all others for unshared.
    it("are not used twice by a new lead that has heard of some workspaces only", (t) => {
      const names = Array.from({ length: 100 }, (_, at) => `w${at}`);
      const [, south] = giveAway(names);
      const next = startLead(8_000);
      for (let nowMs = 8_100; nowMs < 10_000; nowMs += REPORT_INTERVAL_MS) {
        next.applyReport(south.buildReport("north", nowMs)!, nowMs);
        const sums = names.map((name) =>
          next.shareOf(name, nowMs) + south.shareOf(name, nowMs)
        );
        t.true(Math.max(...sums) <= 1, `${Math.max(...sums)} of the limit`);
      }
    });

    // The north has given all to the west, which is cut off; the south's report says nothing about that.
    it("are not used twice by a new lead that has heard of some regions only", (t) => {
      const [, south, west] = giveAway([WORKSPACE], REGIONS);
      const next = startLead(8_000, REGIONS);
      next.applyReport(south.buildReport("north", 8_100)!, 8_100);
      const sum = [next, south, west].reduce(
        (total, lead) => total + lead.shareOf(WORKSPACE, 8_100),
        0,
      );
      t.true(sum <= 1, `${sum} of the limit`);
    });

    function quotaOf(shares: Shares, nowMs: number) {
      return new RegionQuota(shares, () => LARGE, SLACK, nowMs);
    }

    // The north's own callers use another workspace only. One row may be lost; it then counts as unknown.
    for (const lost of ["none", WORKSPACE, "other"]) {
      it(`are not used twice by a successor that has the rows of other workspaces, ${lost} lost`, (t) => {
        const [north, south] = giveAway([WORKSPACE]);
        const quota = quotaOf(north, 0);
        quota.take({ workspace: "other", units: 1 }, 1, 8_000);
        const next = new MovingShares("north", ["north", "south"], 7_000);
        const nextQuota = quotaOf(next, 7_000);
        for (const row of quota.nextStandbyRows(8_000)) {
          if (row.workspace !== lost) nextQuota.applyStandby(row, 8_000);
        }
        nextQuota.startLeading(9_000);
        const sum = next.shareOf(WORKSPACE, 9_000) +
          south.shareOf(WORKSPACE, 9_000);
        t.true(sum <= 1, `${sum} of the limit`);
        const isTold = lost !== "other";
        t.is(next.shareOf("other", 9_000), isTold ? 0.5 : 0.05);
      });
    }

    // A row may be older than the last gift: the receiving region is asked even though the workspace counts as known.
    it("are asked about by a successor that was told", (t) => {
      const next = startLead(8_000, REGIONS);
      const row = { workspace: WORKSPACE, given: {}, taken: {}, level: 1 };
      next.applyStandby(row, 8_000);
      next.startLeading(9_000);
      next.noteDemand(WORKSPACE, 100_000, 9_000);
      t.deepEqual(next.buildReport("west", 9_000)!.asks, [WORKSPACE]);
      t.deepEqual(next.buildReport("west", 9_250)!.asks, []);
      t.deepEqual(next.buildReport("south", 9_250)!.asks, [WORKSPACE]);
      t.deepEqual(next.buildReport("west", 9_500)!.asks, [WORKSPACE]);
    });

    // The north loses its callers, so that it gives shares of all workspaces at once; a standby message holds 64.
    it("are not used twice by a successor if their lead is lost at any time", (t) => {
      const names = Array.from({ length: 300 }, (_, at) => `w${at}`);
      const [north, next, south] = ["north", "north", "south"].map((region) =>
        new MovingShares(region, ["north", "south"], 0)
      );
      const [quota, nextQuota] = [north, next].map((lead) => quotaOf(lead, 0));
      let given = 0;
      for (let nowMs = 0; nowMs < 12_000; nowMs += REPORT_INTERVAL_MS) {
        for (const name of names) {
          south.noteDemand(name, 100_000, nowMs);
          quota.take({ workspace: name, units: 1 }, 1, nowMs);
          if (nowMs < 4_000) north.noteDemand(name, 100_000, nowMs);
        }
        north.applyReport(south.buildReport("north", nowMs)!, nowMs);
        north.rebalance(nowMs);
        for (const row of quota.nextStandbyRows(nowMs)) {
          nextQuota.applyStandby(row, nowMs);
        }
        south.applyReport(north.buildReport("south", nowMs)!, nowMs);
        nextQuota.startLeading(nowMs);
        const sums = names.map((name) =>
          next.shareOf(name, nowMs) + south.shareOf(name, nowMs)
        );
        t.true(Math.max(...sums) <= 1, `${Math.max(...sums)} at ${nowMs} ms`);
        given = names.filter((name) => south.shareOf(name, nowMs) > 0.9).length;
      }
      t.is(given, names.length);
    });
  });
});
