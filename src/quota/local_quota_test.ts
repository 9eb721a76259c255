import { describe, it } from "../base/describe.ts";
import type { QuotaLimit } from "../workspaces/mod.ts";
import { LocalQuota } from "./mod.ts";

const LIMIT: QuotaLimit = {
  unit: "tokens",
  unitsPerS: 10,
  burstUnits: 10_000,
  plainTokens: 200,
};
const VMS = 2;
const USE = { workspace: "convoys", units: 1_000 };

function createQuota(): LocalQuota {
  const slack = { excess: 0.1, slackUnits: 72_000, windowMs: 8_000 };
  return new LocalQuota("vm-1", () => LIMIT, slack, 0);
}

describe("the part of a VM that counts alone", () => {
  it("is empty in a new process", (t) => {
    t.true(createQuota().waitMs(USE, VMS, 0) > 0);
  });

  it("holds once what the lead had left", (t) => {
    const quota = createQuota();
    quota.noteCountedByLead(USE.workspace, USE.units, 0);
    t.is(quota.waitMs(USE, VMS, 100), 0);
    quota.take(USE, VMS, 100);
    quota.restartIfIdle(700);
    t.true(quota.waitMs(USE, VMS, 700) > 0);
  });

  it("does not hold what the lead had left long ago", (t) => {
    const quota = createQuota();
    quota.noteCountedByLead(USE.workspace, USE.units, 0);
    t.true(quota.waitMs(USE, VMS, 1_000) > 0);
  });

  it("tells each use once", (t) => {
    const quota = createQuota();
    quota.take(USE, VMS, 0);
    quota.take(USE, VMS, 0);
    t.deepEqual(quota.takeUntold(8), [{ ...USE, units: 2 * USE.units }]);
    t.deepEqual(quota.takeUntold(8), []);
  });
});
