import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import type { MetricsMessages } from "../src/services/mod.ts";
import { sleep } from "./cluster.ts";
import { DRIVERS_KEY, openEdge, type TestEdge, upstreamRow } from "./fakes.ts";

const CHAT = JSON.stringify({
  model: "plan",
  messages: [{ role: "user", content: "hi" }],
});

/** Opens an edge whose upstreams take requests and stay silent. */
async function openSilentEdge(t: ExecutionContext) {
  let requests = 0;
  const upstream = createServer(() => void requests++);
  upstream.listen(0, "127.0.0.1");
  await once(upstream, "listening");
  const url = `http://127.0.0.1:${(upstream.address() as AddressInfo).port}`;
  const edge = await openEdge([
    upstreamRow("e0", "plan", url),
    upstreamRow("n0", "notes", url),
  ]);
  t.teardown(async () => {
    await edge.close();
    upstream.closeAllConnections();
    upstream.close();
  });
  return { edge, requests: () => requests };
}

/** The result codes that were counted. */
async function readCounts(edge: TestEdge): Promise<string[]> {
  const page = await edge.kernel.get<MetricsMessages>("metrics").ask(
    "page",
    undefined,
  );
  return [...page.matchAll(/ibisgap_requests_total\{.*code="(\d+)"\} (\d+)/g)]
    .map(([, code, count]) => `${code}: ${count}`);
}

/** Guards against callers that left which are counted as failures of upstreams, or not at all. */
describe("a caller that leaves before its answer", () => {
  const cases = [
    { name: "a model call", path: "/v1/chat/completions", body: CHAT },
    { name: "a plain call", path: "/services/notes/a", method: "GET" },
    { name: "a plain call that is not repeatable", path: "/services/notes/a" },
    {
      name: "a call in a lead's queue",
      path: "/v1/chat/completions",
      body: CHAT,
      isQueueing: true,
    },
  ];
  for (const { name, path, method = "POST", body, isQueueing } of cases) {
    it(`is counted as such: ${name}`, async (t) => {
      const { edge, requests } = await openSilentEdge(t);
      edge.slots.isQueueing = isQueueing ?? false;
      const controller = new AbortController();
      const call = fetch(edge.url + path, {
        method,
        headers: { authorization: `Bearer ${DRIVERS_KEY}` },
        ...(body === undefined ? {} : { body }),
        signal: controller.signal,
      });
      while ((isQueueing ? edge.slots.requests.length : requests()) === 0) {
        await sleep(2);
      }
      controller.abort();
      await t.throwsAsync(call, { any: true });
      while ((edge.kernel.dump().edge as { open: number }).open > 0) {
        await sleep(2);
      }
      t.deepEqual(await readCounts(edge), ["4007: 1"]);
    });
  }
});
