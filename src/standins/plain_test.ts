import got from "got";
import { describe, it } from "../base/describe.ts";
import { secretDigest } from "../base/mod.ts";
import { openPlainService } from "./mod.ts";

describe("a stand-in plain service", () => {
  const cases = [
    { type: "cutBeforeRun", answered: false, ran: 0 },
    { type: "cutAfterRun", answered: false, ran: 1 },
    { type: "refuse", answered: true, ran: 0 },
    { type: "failAfterRun", answered: true, ran: 1 },
  ];

  for (const { type, answered, ran } of cases) {
    it(`applies the fault "${type}"`, async (t) => {
      const service = await openPlainService();
      service.faults.add({ type, times: 1 });
      const answer = await got.post(`${service.url}/orders/7`, {
        body: "two prints",
        headers: { "idempotency-key": "k1" },
        retry: { limit: 0 },
        throwHttpErrors: false,
      }).catch(() => undefined);
      t.is(answer !== undefined, answered);
      const runs = service.records().filter((r) =>
        r.idempotencyKey === "k1" && r.startedAtMs !== undefined
      );
      t.is(runs.length, ran);
      await service.close();
    });
  }

  it("answers with the digest of the body that it received", async (t) => {
    const service = await openPlainService({ name: "portal" });
    const answer = await got.put(`${service.url}/scans/a?b=c`, {
      body: "scan",
      headers: { "idempotency-key": "k2" },
    }).json<Record<string, unknown>>();
    t.like(answer, {
      service: "portal",
      method: "PUT",
      path: "/scans/a",
      idempotencyKey: "k2",
      bodyDigest: secretDigest("scan"),
    });
    await service.close();
  });
});
