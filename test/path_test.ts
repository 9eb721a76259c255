import type { ExecutionContext } from "ava";
import { describe, itAlone as it } from "../src/base/describe.ts";
import { formatAnswer } from "../src/standins/mod.ts";
import {
  callVm,
  Cluster,
  keyOf,
  readError,
  standardRows,
  upstreamRow,
  type Vm,
} from "./cluster.ts";

const REGION = "agadir";
const KEY = keyOf(REGION);

/** Opens a region of two VMs, each in a process of its own, with an engine and a ledger in one further process. */
async function openTestRegion(
  t: ExecutionContext,
): Promise<{ cluster: Cluster; vms: Vm[] }> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  const [engine, ledger] = await cluster.startUpstreams(1, 1);
  await cluster.seedTable(standardRows([REGION], [
    upstreamRow("engine-1", "plan", REGION, engine.url),
    upstreamRow("ledger-1", "ledger", REGION, ledger.url),
  ]));
  await cluster.startRegions([REGION], 2);
  const vms = [...cluster.vms.values()];
  for (const vm of vms) {
    await cluster.waitFor(
      vm,
      (status) => status.tableVersion === 1 && status.region.length === 2,
    );
  }
  return { cluster, vms };
}

describe("request path of real daemons", () => {
  it("serves model calls and runs each ledger call once, through either VM", async (t) => {
    const { vms } = await openTestRegion(t);
    for (const vm of vms) {
      const body = {
        model: "plan",
        max_tokens: 6,
        messages: [{ role: "user", content: `nonce:${vm.id} pass?` }],
      };
      const answer = await callVm(vm, KEY, "/v1/chat/completions", { body });
      t.is(answer.statusCode, 200, answer.body);
      t.is(
        JSON.parse(answer.body).choices[0].message.content,
        formatAnswer(vm.id, 6),
      );
      t.is(answer.headers["x-ibisgap-region"], REGION);
    }
    const sendDeparture = (vm: Vm, truck: number) =>
      callVm(vm, KEY, "/services/ledger/departures", {
        body: { truck },
        headers: { "idempotency-key": "dep-1" },
      });
    const first = await sendDeparture(vms[0], 1);
    const second = await sendDeparture(vms[1], 1);
    t.is(first.statusCode, 200, first.body);
    t.is(second.body, first.body);
    t.is(second.headers["x-ibisgap-repeated"], "true");
    const changed = await sendDeparture(vms[1], 2);
    t.deepEqual([
      changed.statusCode,
      readError(changed).code,
      readError(changed).ran,
    ], [
      422,
      2010,
      "no",
    ]);
  });

  // A VM gets SIGTERM while a caller reads a stream from it. The stream must complete, new requests are refused as not
  // run and directed to the other VM, and the process exits by itself with code 0.
  it("drains a VM on SIGTERM", async (t) => {
    const { vms: [stoppingVm, otherVm] } = await openTestRegion(t);
    const body = {
      model: "plan",
      max_tokens: 150,
      stream: true,
      messages: [{ role: "user", content: "nonce:slow plan" }],
    };
    const response = await fetch(`${stoppingVm.url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${KEY}` },
      body: JSON.stringify(body),
    });
    const reader = response.body!.getReader();
    const chunks = [(await reader.read()).value!];
    stoppingVm.proc.signal("SIGTERM");
    await stoppingVm.proc.waitForOutput(/event=stopping/);
    const refused = await callVm(stoppingVm, KEY, "/v1/chat/completions", {
      body,
    });
    t.deepEqual([
      refused.statusCode,
      readError(refused).code,
      readError(refused).ran,
    ], [503, 3006, "no"]);
    t.deepEqual(readError(refused).goTo, [otherVm.url]);
    for (;;) {
      const { value, done } = await reader.read();
      if (done) break;
      chunks.push(value);
    }
    t.is(
      parseStreamedText(Buffer.concat(chunks).toString()),
      formatAnswer("slow", 150),
    );
    t.is(await stoppingVm.proc.exited, 0);
    const after = await callVm(otherVm, KEY, "/v1/chat/completions", {
      body: { ...body, stream: false, max_tokens: 5 },
    });
    t.is(after.statusCode, 200, after.body);
  });
});

/** Returns the text of a streamed answer. Throws unless the stream ends with `[DONE]`. */
function parseStreamedText(events: string): string {
  const data = events.trim().split("\n\n").map((event) =>
    event.slice("data: ".length)
  );
  if (data.pop() !== "[DONE]") {
    throw new Error(`no [DONE] at the end of ${events.slice(-300)}`);
  }
  return data.map((text) => JSON.parse(text).choices[0]?.delta?.content ?? "")
    .join("");
}
