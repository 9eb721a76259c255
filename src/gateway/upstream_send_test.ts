import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import type { GatewayContext } from "./context.ts";
import type { OutboundRequest } from "./send.ts";
import { StreamWatch } from "./stream_watch.ts";
import { type LinkedCandidate, UpstreamLink } from "./upstream_link.ts";
import { UpstreamSend } from "./upstream_send.ts";

/** A send whose answer a test reads. */
class ReadSend extends UpstreamSend {
  async readHead(): Promise<IncomingMessage> {
    return (await this.exchange.head)._unsafeUnwrap();
  }
}

describe("a send to an upstream", () => {
  /** Guards against a request that can't be written, and counts as in flight at its upstream for good. */
  it("that can't be opened is counted nowhere", async (t) => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const link = new UpstreamLink(0);
    const counted: string[] = [];
    const context = {
      clock: systemClock,
      upstreams: { noteSend: () => void counted.push("upstreams") },
      members: { notePromptRead: () => void counted.push("members") },
    } as unknown as GatewayContext;
    const outbound = {
      method: "POST",
      target: "/once/",
      headers: ["Host", "h.example", "Tenant", "two\nlines"],
      body: Buffer.alloc(0),
      promptTokens: 5,
      mayRepeat: true,
      isSuspect: true,
      deadlineMonoMs: systemClock.monoMs() + 1_000,
      eventGapMs: 0,
    } as unknown as OutboundRequest;
    const { port } = server.address() as AddressInfo;
    const candidate = {
      key: "u@1",
      upstream: { key: "u@1", id: "u", host: "127.0.0.1", port },
      link,
      pace: { noteSend: () => void counted.push("pace") },
    } as unknown as LinkedCandidate;
    t.throws(() => new UpstreamSend(context, outbound, candidate));
    t.deepEqual(counted, []);
    t.is(link.suspectCount, 0);
    t.is(link.darkListeners.size, 0);
  });

  it("whose answer broke off isn't moved while its stream goes on elsewhere", async (t) => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const streamWatch = new StreamWatch(() => 100_000);
    streamWatch.start(systemClock);
    t.teardown(() => streamWatch.close());
    let checks = 0;
    const context = {
      clock: systemClock,
      upstreams: {
        streamWatch,
        holders: { noteRead() {} },
        noteSend() {},
      },
      members: { notePromptRead() {}, noteSendEnd() {} },
    } as unknown as GatewayContext;
    const outbound = {
      method: "POST",
      target: "/stream/",
      headers: [],
      body: Buffer.alloc(0),
      parts: [],
      promptTokens: 0,
      deadlineMonoMs: systemClock.monoMs() + 1_000,
      eventGapMs: 200,
      onStreamCheck: () => void checks++,
    } as unknown as OutboundRequest;
    const { port } = server.address() as AddressInfo;
    const pace = {
      noteSend() {},
      canExceedGap: () => true,
      maxGapMs: () => 900,
    };
    const candidate = {
      key: "u@1",
      upstream: { key: "u@1", id: "u", host: "127.0.0.1", port },
      link: new UpstreamLink(0),
      waitingTokens: 0,
      pace,
    } as unknown as LinkedCandidate;
    const send = new UpstreamSend(context, outbound, candidate);
    t.teardown(() => send.cancel("over"));
    send.noteChunk(systemClock.monoMs());
    await Promise.resolve();
    t.is(checks, 1);
    send.noteBroken();
    await systemClock.sleep(60);
    t.is(checks, 1);
  });

  /** Guards against full load on an upstream that is known to have just started, as its former entry is not cold. */
  it("to another process than the entry describes marks the upstream as one that may be cold", async (t) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", () => {
        const report = JSON.stringify({ born: 2 });
        socket.write(
          `HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
        );
      });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const link = new UpstreamLink(0);
    t.teardown(() => {
      link.agent.destroy();
      server.close();
    });
    const context = {
      clock: systemClock,
      upstreams: { noteSend() {} },
      members: { notePromptRead() {} },
      losses: { noteReplaced() {} },
      metrics: { count() {} },
    } as unknown as GatewayContext;
    const outbound = {
      method: "GET",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      parts: [],
      promptTokens: 0,
      deadlineMonoMs: systemClock.monoMs() + 1_000,
      eventGapMs: 0,
    } as unknown as OutboundRequest;
    const { port } = server.address() as AddressInfo;
    const candidate = {
      key: "u@1",
      upstream: { key: "u@1", id: "u", host: "127.0.0.1", port },
      link,
      pace: { noteSend() {} },
    } as unknown as LinkedCandidate;
    const send = new ReadSend(context, outbound, candidate);
    await send.readHead();
    t.is(await send.findProcess(), "replaced");
    t.true(link.mayBeRestarted(systemClock.monoMs()));
  });

  it("whose answer has arrived isn't canceled when its upstream becomes unreachable", async (t) => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
      });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const link = new UpstreamLink(0);
    t.teardown(() => {
      link.agent.destroy();
      server.close();
    });
    const context = {
      clock: systemClock,
      upstreams: { noteSend() {} },
      members: { notePromptRead() {} },
    } as unknown as GatewayContext;
    const outbound = {
      method: "GET",
      target: "/",
      headers: [],
      body: Buffer.alloc(0),
      parts: [],
      promptTokens: 0,
      mayRepeat: true,
      deadlineMonoMs: systemClock.monoMs() + 1_000,
      eventGapMs: 0,
      hasAlternative: () => true,
    } as unknown as OutboundRequest;
    const { port } = server.address() as AddressInfo;
    const candidate = {
      key: "u@1",
      upstream: { key: "u@1", id: "u", host: "127.0.0.1", port },
      link,
      pace: { noteSend() {} },
    } as unknown as LinkedCandidate;
    const send = new ReadSend(context, outbound, candidate);
    const answer = await send.readHead();
    while (!answer.complete) await systemClock.sleep(1);
    for (const listener of link.darkListeners) listener();
    t.is(Buffer.concat(await answer.toArray()).toString(), "body");
  });
});
