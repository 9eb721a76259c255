import { request } from "node:http";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { DRIVERS_KEY, openEdge, upstreamRow } from "./fakes.ts";
import { openRawUpstream } from "./raw_upstream.ts";

interface Outcome {
  readonly httpStatus: number;
  readonly body: string;
  /** Requests that arrived at the upstream. */
  readonly arrivals: number;
}

/** Calls a service whose upstream answers with a status line; the call may run once. */
async function callSpoiled(
  t: ExecutionContext,
  status: string,
): Promise<Outcome> {
  const upstream = await openRawUpstream(t, () => ({
    head:
      `HTTP/1.1 ${status} OK\r\ncontent-type: text/plain\r\ncontent-length: 4`,
    parts: ["done"],
    end: { type: "keepOpen" },
  }));
  const edge = await openEdge([
    upstreamRow("l0", "ledger", upstream.url),
    upstreamRow("l1", "ledger", upstream.url),
  ]);
  t.teardown(() => edge.close());
  return await new Promise((resolve, reject) => {
    const call = request(`${edge.url}/services/ledger/depart`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${DRIVERS_KEY}`,
        "idempotency-key": `k-${status}`,
        "x-deadline-ms": "1500",
      },
    }, (response) => {
      let body = "";
      response.on("data", (chunk: Buffer) => body += chunk);
      response.on("close", () =>
        resolve({
          httpStatus: response.statusCode!,
          body,
          arrivals: upstream.requests(),
        }));
    });
    call.on("error", reject);
    call.end("{}");
  });
}

/** Guards against bytes that are no answer of HTTP which reach a caller of the own interface, or run its call twice. */
describe("a call of a plain service, a status that is not final", () => {
  for (const status of ["000", "099", "101", "600", "999"]) {
    it(`${status} is answered by a failure that says maybe run`, async (t) => {
      const { httpStatus, body, arrivals } = await callSpoiled(t, status);
      t.true(httpStatus >= 500 && httpStatus <= 504, `${httpStatus} ${body}`);
      t.regex(body, /"ran":\s*"unknown"/);
      t.is(arrivals, 1);
    });
  }
});
