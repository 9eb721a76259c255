import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import type { GatewayContext } from "./context.ts";
import { KeepAliveAgent } from "./keep_alive_agent.ts";
import { RelaySend } from "./relay_send.ts";
import type { Answered, OutboundRequest, Unanswered } from "./send.ts";

const ATTEMPT = "a1";

/** Relays a request to a VM that answers with `listener`. */
async function relayTo(
  t: ExecutionContext,
  listener: RequestListener,
): Promise<Answered | Unanswered> {
  const server = createServer(listener);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const agent = new KeepAliveAgent({});
  t.teardown(() => {
    agent.destroy();
    server.close();
  });
  const context = {
    clock: systemClock,
    metrics: { count: () => {} },
    relays: {
      agent: () => agent,
      port: (server.address() as AddressInfo).port,
    },
  } as unknown as GatewayContext;
  const outbound = {
    method: "POST",
    target: "/once/",
    attemptId: ATTEMPT,
    headers: ["Host", "h.example", "Attempt-Id", ATTEMPT],
    body: Buffer.alloc(0),
    deadlineMonoMs: systemClock.monoMs() + 1_000,
    answerTimeoutMs: Infinity,
  } as unknown as OutboundRequest;
  const send = new RelaySend(context, outbound, {
    ip: "127.0.0.1",
    region: "south",
  }, {
    configVersion: 1,
    mostUpstreams: 1,
    keyDigest: undefined,
    isTrialRun: false,
    version: undefined,
  });
  return await send.waitForHead();
}

/** Guards against answers that no upstream made, and that another VM answers or passes on all the same. */
describe("a relayed send", () => {
  const STAMP = { "Response-Stamp": "s1" };
  const NO_ANSWERS: Readonly<Record<string, [number, Record<string, string>]>> =
    {
      "without a stamp": [200, { "Attempt-Id": ATTEMPT }],
      "without stamp and attempt": [200, {}],
      "of another attempt": [200, { "Attempt-Id": "a2", ...STAMP }],
      "without an attempt": [200, STAMP],
      "that refuses, but not as a VM does": [503, { "Not-Executed": "1" }],
      "with a status that is not final": [999, {
        "Attempt-Id": ATTEMPT,
        ...STAMP,
      }],
    };
  for (const [name, [status, headers]] of Object.entries(NO_ANSWERS)) {
    it(`takes an answer ${name} for none, after which it may have run`, async (t) => {
      const head = await relayTo(
        t,
        (_, response) => response.writeHead(status, headers).end("{}"),
      );
      t.is(head.type, "unanswered");
      t.true((head as Unanswered).mayHaveRun);
    });
  }

  it("takes an answer with stamp and attempt", async (t) => {
    const head = await relayTo(
      t,
      (_, response) =>
        response.writeHead(200, { "Attempt-Id": ATTEMPT, ...STAMP }).end("{}"),
    );
    t.is(head.type, "answered");
  });

  it("takes a refusal of the other VM for one", async (t) => {
    const headers = { "ibisgap-code": "queueFull", "ibisgap-ran": "no" };
    const head = await relayTo(
      t,
      (_, response) => response.writeHead(429, headers).end(),
    );
    t.is(head.type, "unanswered");
    t.false((head as Unanswered).mayHaveRun);
  });
});
