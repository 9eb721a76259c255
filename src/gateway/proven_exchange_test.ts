import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import type { KnownUpstream } from "../routing/mod.ts";
import { ProvenExchange } from "./proven_exchange.ts";

const BORN_MS = 17;

interface Outcome {
  readonly status: number | undefined;
  readonly sent: boolean | undefined;
  /** What arrived, with the number of its connection. */
  readonly arrivals: readonly string[];
}

/** Sends a request to an upstream that answers its report by `report`. */
async function send(
  t: ExecutionContext,
  report: RequestListener,
): Promise<Outcome> {
  const arrivals: string[] = [];
  const ports: (number | undefined)[] = [];
  const server = createServer((request, response) => {
    const port = request.socket.remotePort;
    if (!ports.includes(port)) ports.push(port);
    arrivals.push(`${request.url} on ${ports.indexOf(port)}`);
    if (request.url === "/api/report") report(request, response);
    else response.end("served");
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const upstream = { id: "u", key: `u@${BORN_MS}`, host: "127.0.0.1", port };
  const exchange = new ProvenExchange({
    upstream: upstream as KnownUpstream,
    clock: systemClock,
    makeRequest: () => ({
      host: "127.0.0.1",
      port,
      method: "GET",
      target: "/x",
      headers: ["Host", "h.example"],
      body: Buffer.alloc(0),
      connectTimeoutMs: 250,
    }),
    onAnswer: () => {},
  });
  const head = await exchange.head;
  return {
    status: head.isOk() ? head.value.statusCode : undefined,
    sent: head.isErr() ? head.error.sent : undefined,
    arrivals,
  };
}

const REPORT = JSON.stringify({ born: BORN_MS });

describe("a request that must run at a process", () => {
  it("is sent on the connection on which the process was asked", async (t) => {
    t.deepEqual(await send(t, (_, response) => void response.end(REPORT)), {
      status: 200,
      sent: undefined,
      arrivals: ["/api/report on 0", "/x on 0"],
    });
  });

  const doubts: Record<string, RequestListener> = {
    "the connection closes after the report": (_, response) =>
      void response.setHeader("connection", "close").end(REPORT),
    "another process answers": (_, response) =>
      void response.end(JSON.stringify({ born: BORN_MS + 1 })),
    "the report is refused": (_, response) =>
      void response.writeHead(503).end(),
    "the connection breaks": ({ socket }) => void socket.resetAndDestroy(),
    "there is no answer": () => {},
  };
  for (const [what, report] of Object.entries(doubts)) {
    it(`is not sent if ${what}`, async (t) => {
      t.deepEqual(await send(t, report), {
        status: undefined,
        sent: false,
        arrivals: ["/api/report on 0"],
      });
    });
  }
});
