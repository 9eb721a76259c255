import { describe, it } from "../base/describe.ts";
import {
  callKey,
  ClaimsRegions,
  type TestVm,
} from "../../test/claims_region.ts";

const storeDown = [{ outage: "cut" as const }];

async function startRegion(...ids: string[]) {
  const regions = new ClaimsRegions();
  const vms: TestVm[] = [];
  for (const id of ids) vms.push(await regions.start(id));
  await regions.clock.advance(3000);
  const owner = regions.owner(ids[0].split("-")[0]);
  const other = vms.find((vm) =>
    vm !== owner && vm.info.region === owner.info.region
  )!;
  return { regions, owner, other, vms };
}

describe("claims of several VMs", () => {
  it("go to the owner, whichever VM is asked", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    t.is((await regions.claim(other, "k")).type, "granted");
    t.is((await regions.claim(owner, "k")).type, "running");
    t.is((await regions.claim(other, "k")).type, "running");
  });

  /*
   * The caller's call is granted by an entry VM that crashes; it repeats the call at another VM. Whether the first one
   * ran cannot be known, so the repeat is told "unknown" and does not run. New calls go on at the next owner.
   */
  it("survive the crash of the owner", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2", "r-3");
    t.is((await regions.claim(owner, "k")).type, "granted");
    regions.crash(owner.info.id);
    t.is((await regions.claim(other, "k", 5000)).type, "unknown");
    t.is((await regions.claim(other, "k2", 5000)).type, "granted");
  });

  it("are handed over by an owner that leaves", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    const closed = owner.claims.close(regions.clock.nowMs() + 5000);
    t.is((await regions.claim(other, "k", 3000)).type, "granted");
    await regions.settle(closed, 1000);
  });

  describe("while the store is down", () => {
    /*
     * A clerk logs a departure in a region that has lost the store. It is served once the owner has the other VM's
     * promise. Then the owner crashes and the store returns: the repeat must not run a second time.
     */
    it("are granted from memory and not forgotten", async (t) => {
      const { regions, owner, other } = await startRegion("r-1", "r-2");
      regions.faults.set(storeDown);
      t.is((await regions.claim(other, "k", 9000)).type, "granted");
      t.is((await regions.claim(owner, "k2")).type, "granted");
      regions.crash(owner.info.id);
      // The other VM waits out its promise before it takes over.
      t.not((await regions.claim(other, "k", 15_000)).type, "granted");
      await regions.clock.advance(8000);
      t.is((await regions.claim(other, "k", 15_000)).type, "running");
      t.is((await regions.claim(other, "k2", 15_000)).type, "unknown");
      t.is((await regions.claim(other, "k3", 15_000)).type, "granted");
    });

    it("reach the store when it returns, in few writes", async (t) => {
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
     * The store is down and the owner's only witness is cut off, so nobody promises not to replace the owner. The caller
     * is told at once that its call was not run and when to come back; it is not left waiting for its deadline.
     */
    it("are refused truthfully where no promise can be had", async (t) => {
      const { regions, owner, other } = await startRegion("r-1", "r-2");
      regions.faults.set(storeDown);
      regions.setCut("r-1", "r-2", true);
      await regions.clock.advance(10_000);
      const verdict = await regions.claim(owner, "k", 500);
      t.is(verdict.type, "refused");
      if (verdict.type !== "refused") return;
      t.is(verdict.failure.code, "claimUnavailable");
      t.is(verdict.failure.ran, "no");
      t.true(verdict.failure.retryAtMs! > regions.clock.nowMs());
      regions.faults.clear();
      regions.setCut("r-1", "r-2", false);
      await regions.clock.advance(5000);
      t.is((await regions.claim(other, "k", 5000)).type, "granted");
    });
  });

  /*
   * The answers of the owner's next writes are lost, though the writes took effect. The callers wait a little longer and
   * each call is granted once; a repeat finds it running.
   */
  it("are settled when the store's answers are lost", async (t) => {
    const { regions, owner } = await startRegion("r-1", "r-2");
    regions.faults.set([{ keyPrefix: "claims/", loseAnswers: 3 }]);
    t.is((await regions.claim(owner, "k", 5000)).type, "granted");
    t.is((await regions.claim(owner, "k")).type, "running");
  });

  /*
   * The store is restored from a copy that is older than a claim. The claim's record is gone, but the call ran: a repeat
   * must be told "unknown", as must every key that is not on record.
   */
  it("are doubted after the store went back", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    const copy = regions.platform.copy();
    t.is((await regions.claim(owner, "k")).type, "granted");
    regions.platform.restore(copy);
    await regions.clock.advance(8000);
    t.is((await regions.claim(other, "k", 8000)).type, "unknown");
    t.is((await regions.claim(owner, "k2", 8000)).type, "unknown");
  });

  /*
   * The owner cannot see the other VM but reaches the store, as does the other. They must not take the shard from each
   * other for ever, and the key is granted once.
   */
  it("stay with an owner that shows in the store that it lives", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    regions.setCut("r-1", "r-2", true);
    await regions.clock.advance(10_000);
    t.is((await regions.claim(owner, "k")).type, "granted");
    t.is((await regions.claim(other, "k", 8000)).type, "refused");
  });

  it("reach a hidden owner through a third VM", async (t) => {
    const { regions, owner, vms } = await startRegion("r-1", "r-2", "r-3");
    const [other] = vms.filter((vm) => vm !== owner);
    regions.setCut(owner.info.id, other.info.id, true);
    await regions.clock.advance(1000);
    t.is((await regions.claim(other, "k", 2000)).type, "granted");
  });

  /*
   * The owner loses region and store at once, as when it is frozen, and is replaced. When it is back it believes that
   * it still owns the shard: its write fails, its caller is told that nothing ran, and it denies nothing.
   */
  it("are fenced when a replaced owner goes on", async (t) => {
    const { regions, owner, other } = await startRegion("r-1", "r-2");
    const vm = `^${owner.info.id}$`;
    regions.setCut("r-1", "r-2", true);
    regions.faults.set([{ vm, outage: "cut" }]);
    await regions.clock.advance(5000);
    t.is((await regions.claim(other, "k", 5000)).type, "granted");
    regions.faults.clear();
    t.not((await regions.claim(owner, "k", 9000)).type, "granted");
    const asked = owner.claims.ask("lookup", callKey("k"));
    const found = await regions.settle(asked, 5000);
    t.not(found.unwrapOr("running"), "none");
  });

  /*
   * A workspace is at home in another region. Its claim goes there; when that region cannot be reached, the caller is
   * told at once that its call was not run.
   */
  it("go to the workspace's home, or are refused at once", async (t) => {
    const { regions, vms } = await startRegion("r-1", "q-1");
    const remote = vms.find((vm) => vm.info.region === "q")!;
    regions.homes.set("w", "r");
    await regions.clock.advance(500);
    t.is((await regions.claim(remote, "k")).type, "granted");
    t.is((await regions.claim(vms[0], "k")).type, "running");
    regions.setCut("r-1", "q-1", true);
    await regions.clock.advance(500);
    t.is((await regions.claim(remote, "k2", 100)).type, "refused");
  });
});
