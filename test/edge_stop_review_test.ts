import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import type { EdgeMessages } from "../src/edge/mod.ts";
import { sleep } from "./cluster.ts";
import { DRIVERS_KEY, openEdge, upstreamRow } from "./fakes.ts";

const DRAIN_MS = 300;

function requestText(key: string): string {
  return "POST /services/ledger/a HTTP/1.1\r\nhost: h\r\n" +
    `authorization: Bearer ${DRIVERS_KEY}\r\nidempotency-key: ${key}\r\n` +
    "content-length: 1\r\n\r\nx";
}

/** Guards against pipelined requests that are passed on, and closed off by the answer to the one before. */
describe("edge, pipelined requests that are open when a planned stop is over", () => {
  it("are both told that they may have run", async (t) => {
    let requests = 0;
    const upstream = createServer(() => void requests++);
    upstream.listen(0, "127.0.0.1");
    await once(upstream, "listening");
    const url = `http://127.0.0.1:${(upstream.address() as AddressInfo).port}`;
    const edge = await openEdge([upstreamRow("ledger-0", "ledger", url)]);
    t.teardown(async () => {
      await edge.close();
      upstream.closeAllConnections();
      upstream.close();
    });
    const { hostname, port } = new URL(edge.url);
    const socket = connect(Number(port), hostname);
    let text = "";
    socket.on("data", (chunk) => text += chunk.toString());
    const closed = once(socket, "close");
    socket.write(requestText("k1") + requestText("k2"));
    while (requests < 2) await sleep(10);
    const deadlineMs = Date.now() + DRAIN_MS;
    await edge.kernel.get<EdgeMessages>("edge").ask("drain", { deadlineMs });
    await closed;
    t.is(text.match(/HTTP\/1\.1 502/g)?.length, 2, text);
  });
});
