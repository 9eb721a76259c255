import { describe, it } from "../base/describe.ts";
import {
  ClaimsRegions,
  makeClaimKey,
  type TestVm,
} from "../../test/claims_region.ts";

const storeDown = [{ outage: "cut" as const }];

async function startRegion(...ids: string[]) {
  const regions = new ClaimsRegions();
  const vms: TestVm[] = [];
  for (const id of ids) vms.push(await regions.start(id));
  await regions.clock.advance(3000);
  const owner = regions.findOwner(ids[0].split("-")[0]);
  const other = vms.find((vm) =>
    vm !== owner && vm.info.region === owner.info.region
  )!;
  return { regions, owner, other, vms };
}

describe("claims of several VMs", () => {
  it("are decided by the shard's owner, whichever VM is asked", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    t.is((await regions.claim(other, "k")).type, "granted");
    t.is((await regions.claim(owner, "k")).type, "running");
    t.is((await regions.claim(other, "k")).type, "running");
  });

  /*
   * The VM that received a call crashes after the claim was granted, and the caller retries at another VM. Whether the
   * call ran cannot be known, so the retry is answered "unknown" and does not run. The next owner grants new claims.
   */
  it("survive the crash of the owner", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2", "r-3");
    t.is((await regions.claim(owner, "k")).type, "granted");
    regions.crash(owner.info.id);
    t.is((await regions.claim(other, "k", 5000)).type, "unknown");
    t.is((await regions.claim(other, "k2", 5000)).type, "granted");
  });

  it("are granted by the next owner after a handover", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    const closed = owner.claims.close(regions.clock.nowMs() + 5000);
    t.is((await regions.claim(other, "k", 3000)).type, "granted");
    await regions.advanceUntilSettled(closed, 1000);
  });

  describe("while the store is down", () => {
    /*
     * A region has lost the store. A claim is granted once the other VM has promised not to take the shard over. Then
     * the owner crashes and the store returns: a retry of the call must not run a second time.
     */
    it("are granted with the witness's promise and not forgotten", async (t) => {
      const { regions, owner, other } = await startRegion("r-1", "r-2");
      regions.faults.set(storeDown);
      t.is((await regions.claim(other, "k", 9000)).type, "granted");
      t.is((await regions.claim(owner, "k2")).type, "granted");
      regions.crash(owner.info.id);
      // The other VM does not take over before its promise has expired.
      t.not((await regions.claim(other, "k", 15_000)).type, "granted");
      await regions.clock.advance(8000);
      t.is((await regions.claim(other, "k", 15_000)).type, "running");
      t.is((await regions.claim(other, "k2", 15_000)).type, "unknown");
      t.is((await regions.claim(other, "k3", 15_000)).type, "granted");
    });

    it("are written to the store in few writes when it returns", async (t) => {
      const { regions, owner, other } = await startRegion("r-1", "r-2");
      regions.faults.set(storeDown);
      for (let i = 0; i < 40; i++) {
        const verdict = await regions.claim(owner, `k${i}`, 9000);
        t.is(verdict.type, "granted");
      }
      regions.faults.clear();
      const before = owner.store.counts().claims;
      await regions.clock.advance(5000);
      t.true(owner.store.counts().claims - before < 15);
      regions.crash(owner.info.id);
      await regions.clock.advance(12_000);
      t.is((await regions.claim(other, "k39", 15_000)).type, "unknown");
    });

    /*
     * The store is down and the owner's only witness is unreachable, so no VM can promise not to replace the owner. The
     * caller is told at once that its call was not run and when to retry. It does not have to wait for its deadline.
     */
    it("are refused as not run if no witness can promise", async (t) => {
      const { regions, owner, other } = await startRegion("r-1", "r-2");
      regions.faults.set(storeDown);
      regions.setLinkCut("r-1", "r-2", true);
      await regions.clock.advance(10_000);
      const verdict = await regions.claim(owner, "k", 500);
      t.is(verdict.type, "refused");
      if (verdict.type !== "refused") return;
      t.is(verdict.failure.code, "claimUnavailable");
      t.is(verdict.failure.ran, "no");
      t.true(verdict.failure.retryAtMs! > regions.clock.nowMs());
      regions.faults.clear();
      regions.setLinkCut("r-1", "r-2", false);
      await regions.clock.advance(5000);
      t.is((await regions.claim(other, "k", 5000)).type, "granted");
    });
  });

  /*
   * The answers to the owner's next writes are lost, although the writes took effect. The callers wait a little longer,
   * and each claim is granted once. A retry finds the call running.
   */
  it("are settled when the store's answers are lost", async (t) => {
    const { regions, owner } = await startRegion("r-1", "r-2");
    regions.faults.set([{ keyPrefix: "claims/", loseAnswers: 3 }]);
    t.is((await regions.claim(owner, "k", 5000)).type, "granted");
    t.is((await regions.claim(owner, "k")).type, "running");
  });

  /*
   * The store is restored from a backup that is older than a claim. The claim's record is gone, but the call ran. A
   * retry must be answered "unknown", and so must every key without a record.
   */
  it("are answered unknown after the store was restored from a backup", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    const copy = regions.platform.copy();
    t.is((await regions.claim(owner, "k")).type, "granted");
    regions.platform.restore(copy);
    await regions.clock.advance(8000);
    t.is((await regions.claim(other, "k", 8000)).type, "unknown");
    t.is((await regions.claim(owner, "k2", 8000)).type, "unknown");
  });

  /*
   * The owner and the other VM cannot reach each other, but both reach the store. They must not keep taking the shard
   * from each other, and the key is granted once.
   */
  it("stay with an owner that renews its record in the store", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    regions.setLinkCut("r-1", "r-2", true);
    await regions.clock.advance(10_000);
    t.is((await regions.claim(owner, "k")).type, "granted");
    t.is((await regions.claim(other, "k", 8000)).type, "refused");
  });

  it("reach an owner through a third VM if the link to it is cut", async (t) => {
    const { regions, owner, vms } = await startRegion("r-1", "r-2", "r-3");
    const [other] = vms.filter((vm) => vm !== owner);
    regions.setLinkCut(owner.info.id, other.info.id, true);
    await regions.clock.advance(1000);
    t.is((await regions.claim(other, "k", 2000)).type, "granted");
  });

  /*
   * The owner loses its region and the store at once, as a frozen process does, and is replaced. When it continues, it
   * still acts as the owner. Its write must fail, its caller is told that nothing ran, and its lookups must not say
   * that there is no record.
   */
  it("are not granted by a replaced owner that continues", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    const vm = `^${owner.info.id}$`;
    regions.setLinkCut("r-1", "r-2", true);
    regions.faults.set([{ vm, outage: "cut" }]);
    await regions.clock.advance(5000);
    t.is((await regions.claim(other, "k", 5000)).type, "granted");
    regions.faults.clear();
    t.not((await regions.claim(owner, "k", 9000)).type, "granted");
    const asked = owner.claims.ask("lookup", makeClaimKey("k"));
    const found = await regions.advanceUntilSettled(asked, 5000);
    t.not(found.unwrapOr("running"), "none");
  });

  /*
   * The home of a workspace is a remote region, and its claims are sent there. While that region cannot be reached, the
   * caller is told at once that its call was not run.
   */
  it("are sent to the workspace's home region, or refused at once", async (t) => {
    const { regions, vms } = await startRegion("r-1", "q-1");
    const remote = vms.find((vm) => vm.info.region === "q")!;
    regions.homeByWorkspace.set("w", "r");
    await regions.clock.advance(500);
    t.is((await regions.claim(remote, "k")).type, "granted");
    t.is((await regions.claim(vms[0], "k")).type, "running");
    regions.setLinkCut("r-1", "q-1", true);
    await regions.clock.advance(500);
    t.is((await regions.claim(remote, "k2", 100)).type, "refused");
  });
});
