import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { Exchange } from "./exchange.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";

interface Kept {
  readonly agent: KeepAliveAgent;
  readonly sockets: ReadonlySet<Socket>;
}

/** Sends `count` requests, one after the other, to a server that announces an idle timeout. */
async function exchangeWith(
  t: ExecutionContext,
  keepAlive: string,
  count: number,
): Promise<Kept> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    const head = `HTTP/1.1 200 OK\r\nKeep-Alive: ${keepAlive}\r\n`;
    socket.on("data", () => socket.write(`${head}Content-Length: 0\r\n\r\n`));
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const agent = new KeepAliveAgent({});
  t.teardown(() => {
    agent.destroy();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  for (let i = 0; i < count; i++) {
    const exchange = new Exchange({
      agent,
      host: "127.0.0.1",
      port: (server.address() as AddressInfo).port,
      method: "GET",
      target: "/",
      headers: ["Host", "h.example"],
      body: Buffer.alloc(0),
      connectTimeoutMs: 1_000,
    });
    const answer = (await exchange.head)._unsafeUnwrap();
    answer.resume();
    await once(answer, "close");
  }
  return { agent, sockets };
}

describe("kept connections", () => {
  /** Guards against one header of an upstream that ends the process, or raises a warning for each answer. */
  for (
    const timeout of ["9".repeat(310), "9".repeat(20), "3000000", "1e999"]
  ) {
    it(`outlive a Keep-Alive timeout of ${timeout.length} characters, ${timeout.slice(0, 8)}`, async (t) => {
      const warnings: string[] = [];
      const note = ({ name }: Error) => void warnings.push(name);
      process.on("warning", note);
      t.teardown(() => void process.off("warning", note));
      const { sockets } = await exchangeWith(t, `timeout=${timeout}`, 2);
      t.is(sockets.size, timeout.startsWith("1e") ? 2 : 1);
      t.deepEqual(warnings, []);
    });
  }

  it("are used again after an ordinary timeout", async (t) => {
    t.is((await exchangeWith(t, "timeout=5", 3)).sockets.size, 1);
  });

  it("are closed where the timeout leaves no time", async (t) => {
    const { agent } = await exchangeWith(t, "timeout=0", 1);
    t.is(agent.idleCount, 0);
  });
});
