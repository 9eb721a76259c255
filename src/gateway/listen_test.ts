import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "../base/describe.ts";
import { MemoryLog } from "../../test/memory_log.ts";
import { closeServer, listen } from "./listen.ts";

async function findFreeAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  return `127.0.0.1:${port}`;
}

describe("a listener", () => {
  /** Guards against an exception that ends the process, or leaves its request without an answer. */
  it("answers a request whose handler throws, closes its connection, and goes on", async (t) => {
    const log = new MemoryLog("vm-1");
    const address = await findFreeAddress();
    const server = await listen(address, {}, log, (request, response) => {
      if (request.url === "/bad") throw new Error("boom");
      response.end("good");
    });
    t.teardown(() => closeServer(server));
    const failed = await fetch(`http://${address}/bad`);
    t.is(failed.status, 500);
    t.is(failed.headers.get("connection"), "close");
    const answer = await fetch(`http://${address}/good`);
    t.is(await answer.text(), "good");
    t.is(log.lines[0].event, "request failed with an internal error");
    t.is(log.lines[0].fields.target, "/bad");
  });
});
