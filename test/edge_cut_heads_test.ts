import { request } from "node:http";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { DRIVERS_KEY, openEdge, upstreamRow } from "./fakes.ts";
import { type ConnectionEnd, openRawUpstream } from "./raw_upstream.ts";

const TEXT = "flour to Imilchil";
const PARALLEL = 8;
const ENDS: readonly ConnectionEnd[] = [
  { type: "close" },
  { type: "reset", afterMs: 0 },
  { type: "reset", afterMs: 20 },
];
const ANSWERS: Readonly<Record<string, { head: string; rest: string }>> = {
  "a length": {
    head: `HTTP/1.1 200 OK\r\nContent-Length: ${TEXT.length}\r\n\r\n`,
    rest: TEXT,
  },
  "chunks with extensions and trailers": {
    head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    rest: `11;x=1\r\n${TEXT}\r\n0;z\r\nX-Sum: 12\r\n\r\n`,
  },
  "interim heads before it": {
    head: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
      `HTTP/1.1 200 OK\r\nContent-Length: ${TEXT.length}\r\n\r\n`,
    rest: TEXT,
  },
};

interface Outcome {
  readonly httpStatus: number;
  readonly text: string;
  readonly isComplete: boolean;
}

/** Calls a service; status 0 tells that the connection was closed without an answer. */
function callService(url: string, path: string): Promise<Outcome> {
  return new Promise((resolve) => {
    const call = request(url + path, {
      headers: { authorization: `Bearer ${DRIVERS_KEY}` },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on("error", () => {});
      response.on("close", () => {
        const httpStatus = response.statusCode!;
        resolve({ httpStatus, text, isComplete: response.complete });
      });
    });
    call.on(
      "error",
      () => resolve({ httpStatus: 0, text: "", isComplete: false }),
    );
    call.end();
  });
}

/** Cuts an answer at a byte, and says what is wrong with what its caller gets; `undefined` if nothing is. */
async function findFault(
  t: ExecutionContext,
  { head, rest }: { readonly head: string; readonly rest: string },
  at: number,
  end: ConnectionEnd,
): Promise<string | undefined> {
  const part = (head + rest).slice(0, at);
  const upstream = await openRawUpstream(
    t,
    () => ({ bytes: part, head: "", parts: [], end }),
  );
  const edge = await openEdge([upstreamRow("n0", "notes", upstream.url)]);
  t.teardown(() => edge.close());
  const answer = await callService(edge.url, "/services/notes/x");
  const where = `at ${at} of ${head.length}+${rest.length} ${
    JSON.stringify(end)
  }`;
  const { httpStatus, text, isComplete } = answer;
  if (httpStatus === 0) return `${where}: no answer`;
  if (httpStatus === 200 && isComplete && text !== TEXT) {
    return `${where}: a false success`;
  }
  if (httpStatus === 200 && at <= head.length) return `${where}: a success`;
  if (httpStatus !== 200 && !isComplete) return `${where}: cut`;
  return undefined;
}

/** Guards against a success made of a part, and against calls that end without an answer as their upstream's breaks. */
describe("edge, an answer that is cut", () => {
  for (const [name, answer] of Object.entries(ANSWERS)) {
    for (const end of ENDS) {
      it(`at any byte, ${name}, ends with an answer: ${JSON.stringify(end)}`, async (t) => {
        const faults: string[] = [];
        const bytes = answer.head.length + answer.rest.length;
        for (let at = 0; at < bytes; at += PARALLEL) {
          const ats = Array.from({ length: PARALLEL }, (_, i) => at + i);
          const found = await Promise.all(
            ats.filter((each) => each < bytes)
              .map((each) => findFault(t, answer, each, end)),
          );
          faults.push(...found.filter((fault) => fault !== undefined));
        }
        t.deepEqual(faults, []);
      });
    }
  }
});
