import {
  HttpCallerDirectory,
  HttpVmList,
  HttpWeightStore,
  type ListedVm,
} from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { openPlatform, postPlatformFaults } from "./platform.ts";

const LISTED_VM: ListedVm = {
  id: "a",
  region: "agadir",
  failureDomain: "agadir-1",
  peerAddress: "127.0.0.1:1",
  state: "live",
};

describe("platform stand-in", () => {
  it("returns the VM list after its lag", async (t) => {
    const platform = await openPlatform({ listLagMs: 100_000 });
    t.teardown(() => platform.close());
    const list = new HttpVmList({ urls: [platform.url], vmId: "a" });
    t.teardown(() => list.close());
    platform.setVms([LISTED_VM]);
    t.deepEqual((await list.list())._unsafeUnwrap(), []);
    const unlagged = await openPlatform();
    t.teardown(() => unlagged.close());
    unlagged.setVms([LISTED_VM]);
    const unlaggedList = new HttpVmList({ urls: [unlagged.url], vmId: "a" });
    t.teardown(() => unlaggedList.close());
    t.deepEqual((await unlaggedList.list())._unsafeUnwrap(), [LISTED_VM]);
  });

  it("takes published weights up to the rate limit", async (t) => {
    const platform = await openPlatform({ weightWritesPerS: 1 });
    t.teardown(() => platform.close());
    const weights = new HttpWeightStore({ urls: [platform.url], vmId: "a" });
    t.teardown(() => weights.close());
    t.true((await weights.publish("plan", "agadir", { u1: 0.5 })).isOk());
    t.deepEqual(platform.weights.get("plan/agadir"), { weights: { u1: 0.5 } });
    const kinds: string[] = [];
    for (let i = 0; i < 4; i++) {
      const result = await weights.publish("plan", "agadir", {});
      kinds.push(result.isOk() ? "ok" : result.error.kind);
    }
    t.true(kinds.includes("limited"));
  });

  it("takes published directory entries, but not during an outage", async (t) => {
    const platform = await openPlatform();
    t.teardown(() => platform.close());
    const options = { urls: [platform.url], vmId: "a" };
    const directory = new HttpCallerDirectory(options);
    t.teardown(() => directory.close());
    const entries = [{ vmId: "a", url: "http://127.0.0.1:1", weight: 1 }];
    t.true((await directory.publish("agadir", entries)).isOk());
    await postPlatformFaults(platform.url, [{ outage: "refuse" }]);
    const result = await directory.publish("agadir", []);
    t.is(result._unsafeUnwrapErr().kind, "unavailable");
    t.deepEqual(platform.directory.get("agadir"), { entries });
  });
});
