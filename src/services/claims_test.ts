import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { Kernel, openLog } from "../kernel/mod.ts";
import { MemoryKeyValue } from "../standins/memory_key_value.ts";
import { ClaimsService } from "./claims.ts";

const key = { service: "ledger", workspace: "w", key: "k1" };

async function startOne(incarnation = 1, store?: MemoryKeyValue) {
  const clock = new ManualClock();
  const kernel = new Kernel(clock, openLog("silent"));
  const kv = store ?? new MemoryKeyValue({ clock });
  const claims = new ClaimsService({
    me: { id: "a", incarnation },
    region: "r",
    store: kv,
  });
  await kernel.start(claims);
  await clock.advance(100);
  const claim = async (bodyDigest = "b", name = key) => {
    const deadlineMs = clock.nowMs() + 20_000;
    const asked = claims.ask("claim", { ...name, bodyDigest, deadlineMs });
    await clock.advance(100);
    return await asked;
  };
  return { clock, kernel, kv, claims, claim };
}

describe("claims", () => {
  describe("one VM", () => {
    it("grants a key once and gives retries the first answer", async (t) => {
      const { clock, claims, claim } = await startOne();
      const first = await claim();
      t.is(first.type, "granted");
      t.is((await claim()).type, "running");
      t.is((await claim("other body")).type, "mismatch");
      if (first.type !== "granted") return;
      const answer = {
        httpStatus: 201,
        contentType: "text/plain",
        bodyBase64: "b2s=",
        truncated: false,
      };
      const finished = claims.ask("finish", {
        ...key,
        claimId: first.claimId,
        answer,
      });
      await clock.advance(200);
      await finished;
      t.deepEqual(await claim(), { type: "answered", answer });
      const found = await claims.ask("lookup", key);
      t.deepEqual(found.unwrapOr("none"), { answer });
    });
    it("lets a released key be claimed again", async (t) => {
      const { clock, claims, claim } = await startOne();
      const first = await claim();
      if (first.type !== "granted") return t.fail();
      const released = claims.ask("release", {
        ...key,
        claimId: first.claimId,
      });
      await clock.advance(200);
      await released;
      t.is((await claim()).type, "granted");
    });
    it("commits claims that arrive together in one write", async (t) => {
      const { clock, claims, kv } = await startOne();
      const before = kv.counts().claims;
      const asked = Array.from({ length: 50 }, (_, i) =>
        claims.ask("claim", {
          ...key,
          key: `k${i}`,
          bodyDigest: "b",
          deadlineMs: clock.nowMs() + 9000,
        }));
      await clock.advance(300);
      const verdicts = await Promise.all(asked);
      t.true(verdicts.every((verdict) => verdict.type === "granted"));
      t.true(kv.counts().claims - before <= 4);
    });
    /*
     * The VM is killed and restarts under the same id, and the caller retries its call. The caller must be told that
     * the outcome is unknown, because the earlier run of the VM may have sent the call.
     */
    it("answers unknown after the claiming VM restarted", async (t) => {
      const one = await startOne();
      t.is((await one.claim()).type, "granted");
      const two = await startOne(2, one.kv);
      t.is((await two.claim()).type, "unknown");
      t.is((await two.claim("b", { ...key, key: "k2" })).type, "granted");
    });
  });
});
