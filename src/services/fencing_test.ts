import { Readable } from "node:stream";
import { ok, type Result } from "neverthrow";
import {
  type UpstreamAnswer,
  type UpstreamCall,
  UpstreamClient,
  type UpstreamError,
} from "../adapters/mod.ts";
import { type UpstreamRow, upstreamRow } from "../agreement/mod.ts";
import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { Kernel, openLog } from "../kernel/mod.ts";
import { MemoryKeyValue } from "../standins/memory_key_value.ts";
import { Orders } from "../standins/orders.ts";
import { PlatformFaults } from "../standins/platform_faults.ts";
import { PlatformStore } from "../standins/platform_store.ts";
import { FencingService } from "./fencing.ts";

class EngineClient extends UpstreamClient {
  constructor(readonly orders: Orders) {
    super();
  }
  open(call: UpstreamCall): Promise<Result<UpstreamAnswer, UpstreamError>> {
    const order = JSON.parse(Buffer.from(call.body).toString());
    const fence = Number(call.headers["x-fencing-token"]);
    const isAccepted = this.orders.apply(order, fence);
    const httpStatus = isAccepted ? 200 : 409;
    const body = Readable.from([]);
    return Promise.resolve(ok({ httpStatus, headers: {}, body }));
  }
  hasSent(): boolean {
    return true;
  }
  async close(): Promise<void> {}
}

function startFencing(checksFence: boolean) {
  const clock = new ManualClock();
  const faults = new PlatformFaults();
  const platform = new PlatformStore(() => clock.monoMs());
  const orders = new Orders("m", checksFence);
  const upstream: UpstreamRow = upstreamRow.parse({
    kind: "upstream",
    id: "e1",
    service: "plan",
    region: "r",
    failureDomain: "d",
    url: "http://127.0.0.1:1",
    checksFence,
  });
  const start = async (id: string) => {
    const store = new MemoryKeyValue({
      clock,
      store: platform,
      faults,
      vmId: id,
    });
    const upstreams = new EngineClient(orders);
    const me = { id, incarnation: 1 };
    const service = new FencingService({ me, store, upstreams });
    await new Kernel(clock, openLog("silent")).start(service);
    const order = async (want: "active" | "parked", withinMs = 1000) => {
      const deadlineMs = clock.nowMs() + withinMs;
      const asked = service.ask("order", {
        upstream,
        order: { want },
        deadlineMs,
      });
      await clock.advance(withinMs + 500);
      return await asked;
    };
    return { service, order };
  };
  return { clock, faults, orders, start };
}

describe("fencing", () => {
  it("keeps a holder's number and gives the next holder a higher one", async (t) => {
    const { start, orders } = startFencing(true);
    const a = await start("a");
    const b = await start("b");
    for (const vm of [a, a, b]) t.true((await vm.order("parked")).isOk());
    const [first, second, third] = orders.log.map(({ fence }) => fence);
    t.is(first, second);
    t.true(third > second);
  });

  /*
   * A VM acquires a number and is paused; another VM then activates the engine. The first VM continues with its old
   * order. An engine that checks numbers refuses it, and the operator is told so.
   */
  it("fails for an old holder if the engine checks numbers", async (t) => {
    const { start, orders } = startFencing(true);
    const a = await start("a");
    const b = await start("b");
    await a.order("parked");
    await b.order("active");
    const late = await a.order("parked");
    t.is(late._unsafeUnwrapErr().code, "staleFence");
    t.true(orders.isActive);
  });

  /*
   * The engine does not check numbers. The second VM must wait until the first VM's lease has expired by any clock. The
   * first VM, paused in the meantime, must not send when it continues.
   */
  it("waits until the lease expires if the engine does not check", async (t) => {
    const { clock, faults, start, orders } = startFencing(false);
    const a = await start("a");
    const b = await start("b");
    await a.order("parked");
    t.is((await b.order("active")).isOk(), false);
    await clock.advance(14_000);
    t.true((await b.order("active", 3000)).isOk());
    faults.set([{ vm: "a", outage: "cut" }]);
    const late = await a.order("parked");
    t.is(late._unsafeUnwrapErr().code, "storeUnavailable");
    t.deepEqual(orders.log.map(({ fence }) => fence), [1, 2]);
  });

  it("keeps its number after a lost answer of the store", async (t) => {
    const { faults, start, orders } = startFencing(false);
    const a = await start("a");
    faults.set([{ keyPrefix: "fencing/", loseAnswers: 1 }]);
    t.true((await a.order("parked")).isOk());
    t.deepEqual(orders.log.map(({ fence }) => fence), [1]);
  });

  it("releases its leases when it closes", async (t) => {
    const { clock, start } = startFencing(false);
    const a = await start("a");
    const b = await start("b");
    await a.order("parked");
    await a.service.close(clock.nowMs() + 1000);
    t.true((await b.order("active")).isOk());
  });
});
