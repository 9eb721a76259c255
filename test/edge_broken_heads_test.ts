import { request } from "node:http";
import { connect } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { DRIVERS_KEY, openEdge, upstreamRow } from "./fakes.ts";
import { openRawUpstream } from "./raw_upstream.ts";

/** Calls a service whose upstream answers with `head` and `body`; returns the status and whether the answer is whole. */
async function callService(
  t: ExecutionContext,
  head: string,
  body: string,
): Promise<{ readonly httpStatus: number; readonly isComplete: boolean }> {
  const answer = { head, parts: [body], end: { type: "keepOpen" } as const };
  const upstream = await openRawUpstream(t, () => answer);
  const edge = await openEdge([upstreamRow("n0", "notes", upstream.url)]);
  t.teardown(() => edge.close());
  return await new Promise((resolve) => {
    const call = request(`${edge.url}/services/notes/x`, {
      headers: { authorization: `Bearer ${DRIVERS_KEY}` },
    }, (response) => {
      response.resume();
      response.on("error", () => {});
      response.on("close", () => {
        const httpStatus = response.statusCode!;
        resolve({ httpStatus, isComplete: response.complete });
      });
    });
    call.on("error", () => resolve({ httpStatus: 0, isComplete: false }));
    call.end();
  });
}

/** Guards against a call that ends without an answer as its upstream's head can't be written. */
describe("edge, an answer with a malformed header", () => {
  const MALFORMED = ["X Note: a", "X(Note): a", "X-Note: a\x7fb"];
  for (const line of MALFORMED) {
    it(`is answered as one that can't be read: ${JSON.stringify(line)}`, async (t) => {
      const head = `HTTP/1.1 200 OK\r\n${line}\r\nContent-Length: 4`;
      const { httpStatus, isComplete } = await callService(t, head, "done");
      t.is(httpStatus, 503);
      t.true(isComplete);
    });
  }
});

/** Guards against a caller that waits for a body which its answer's status can't have. */
describe("edge, a status without a body whose head promises one", () => {
  for (const status of ["204 No Content", "304 Not Modified"]) {
    for (const line of ["Content-Length: 4", "Transfer-Encoding: chunked"]) {
      for (const body of ["", "4\r\ndone\r\n0\r\n\r\n"]) {
        it(`does not send it: ${status}, ${line}, ${body.length} bytes`, async (t) => {
          const head = `HTTP/1.1 ${status}\r\n${line}`;
          const { httpStatus, isComplete } = await callService(t, head, body);
          t.is(httpStatus, Number(status.slice(0, 3)));
          t.true(isComplete);
        });
      }
    }
  }
});

/** Guards against a malformed request that is told as one that may have run. */
describe("edge, a request with a malformed header", () => {
  for (const line of ["X Note: a", ": a"]) {
    it(`is answered by 400: ${JSON.stringify(line)}`, async (t) => {
      const edge = await openEdge([]);
      t.teardown(() => edge.close());
      const { hostname, port } = new URL(edge.url);
      const socket = connect(Number(port), hostname);
      t.teardown(() => void socket.destroy());
      const text = await new Promise<string>((resolve) => {
        socket.once("data", (chunk) => resolve(String(chunk)));
        socket.on("close", () => resolve(""));
        socket.write(
          "GET /services/notes/x HTTP/1.1\r\nHost: h\r\n" +
            `Authorization: Bearer ${DRIVERS_KEY}\r\n${line}\r\n\r\n`,
        );
      });
      t.regex(text, /^HTTP\/1\.1 400 /);
      t.regex(text, /"ran":"no"/);
    });
  }
});
