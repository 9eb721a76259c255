import { makePlanRequest, makePlanTable } from "../../test/vms.ts";
import { poolsOfRegion } from "../agreement/mod.ts";
import { describe, it } from "../base/describe.ts";
import { LeadPool } from "./lead_pool.ts";

const TABLE = makePlanTable(1, ["r"], 1, 3);
const INFO = [...poolsOfRegion(TABLE, "r").values()][0];
const ENTRY = "vm-1";
const START_MS = 1_000_000;

/** A lead that has granted a slot to a VM, and the list in which that VM tells that it holds the slot. */
function grantOne() {
  const pool = new LeadPool(INFO, [ENTRY], 1, START_MS);
  pool.configure(TABLE, INFO, START_MS);
  pool.adoptHeld(ENTRY, [], START_MS);
  const request = makePlanRequest("a", {
    arrivedAtMs: START_MS,
    deadlineMs: START_MS + 60_000,
  });
  const [output] = pool.request(request, ENTRY, START_MS);
  const answer = output.type === "decided" ? output.answer : undefined;
  const upstreamId = answer?.type === "grant" ? answer.upstreamId : "";
  const heldIds = () =>
    pool.heldByEntry().flatMap(([, held]) =>
      held.map(({ attemptId }) => attemptId)
    );
  return { pool, upstreamId, heldIds, listed: pool.heldByEntry()[0][1] };
}

describe("a lead's pool", () => {
  it("does not take back a slot that a late list of the VM which held it names", (t) => {
    const { pool, upstreamId, heldIds, listed } = grantOne();
    t.deepEqual(heldIds(), ["a"]);
    const report = {
      attemptId: "a",
      service: "plan",
      upstreamId,
      outcome: "done",
      outputTokens: 1,
      totalMs: 10,
    } as const;
    pool.report(report, START_MS + 3_000);
    pool.reconcile(ENTRY, listed, START_MS + 3_100);
    t.deepEqual(heldIds(), []);
  });
});
