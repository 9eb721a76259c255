import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { HttpUpstreamClient } from "./http_upstream.ts";

/** Opens a server that accepts requests and never answers, and a client. */
async function openSilentServer(t: ExecutionContext) {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = new HttpUpstreamClient();
  const call = {
    url: `http://127.0.0.1:${port}`,
    path: "/x",
    method: "POST",
    headers: {},
    body: Buffer.from("hello"),
  };
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  });
  return { server, client, call };
}

describe("a call to an upstream", () => {
  // Guards against telling the caller of such a call that it may have run.
  it("has not run if it is canceled before its bytes are sent", async (t) => {
    const { server, client, call } = await openSilentServer(t);
    let requests = 0;
    server.on("request", () => requests++);
    const abort = new AbortController();
    const answer = client.open(call, abort.signal);
    abort.abort();
    t.is((await answer)._unsafeUnwrapErr().kind, "withdrawn");
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.is(requests, 0);
  });

  it("may have run if it is canceled after its bytes are sent", async (t) => {
    const { server, client, call } = await openSilentServer(t);
    const abort = new AbortController();
    const answer = client.open(call, abort.signal);
    await once(server, "request");
    abort.abort();
    t.is((await answer)._unsafeUnwrapErr().kind, "canceled");
  });
});
