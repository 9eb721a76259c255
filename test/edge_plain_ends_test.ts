import { request } from "node:http";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { DRIVERS_KEY, openEdge, type TestEdge, upstreamRow } from "./fakes.ts";
import {
  openRawUpstream,
  type RawAnswer,
  type RawUpstream,
  unframed,
} from "./raw_upstream.ts";

const TEXT = "flour to Imilchil";
const RESETS_AFTER_MS = [0, 2, 20];

interface Bench extends TestEdge {
  readonly upstream: RawUpstream;
}

async function openBench(
  t: ExecutionContext,
  answer: RawAnswer,
): Promise<Bench> {
  const upstream = await openRawUpstream(t, () => answer);
  const edge = await openEdge([
    upstreamRow("n0", "notes", upstream.url),
    upstreamRow("l0", "ledger", upstream.url),
  ]);
  t.teardown(() => edge.close());
  return { ...edge, upstream };
}

interface Outcome {
  readonly httpStatus: number;
  readonly text: string;
  /** Whether the response is framed as complete. */
  readonly isComplete: boolean;
}

/** Waits for the report of the first attempt; returns its outcome. */
async function waitForOutcome(bench: Bench): Promise<string> {
  while (bench.slots.reports.length === 0) await sleep(5);
  return bench.slots.reports[0].outcome;
}

/** Calls a service and tells how the response ended. */
function callService(
  bench: Bench,
  method: string,
  path: string,
  headers: Record<string, string> = {},
): Promise<Outcome> {
  return new Promise((resolve, reject) => {
    const call = request(bench.url + path, {
      method,
      headers: { authorization: `Bearer ${DRIVERS_KEY}`, ...headers },
    }, (response) => {
      let text = "";
      response.on("data", (chunk: Buffer) => text += chunk.toString("latin1"));
      response.on("error", () => {});
      response.on("close", () => {
        const httpStatus = response.statusCode!;
        resolve({ httpStatus, text, isComplete: response.complete });
      });
    });
    call.on("error", reject);
    call.end();
  });
}

const textAnswer = (fields: Partial<RawAnswer>): RawAnswer => ({
  head: unframed("text/plain"),
  parts: [TEXT],
  end: { type: "close" },
  ...fields,
});

describe("a plain answer through the edge", () => {
  for (const afterMs of RESETS_AFTER_MS) {
    for (const blockMs of [0, 100]) {
      it(`that has no length and is reset is not framed as complete: after ${afterMs} ms, process late by ${blockMs} ms`, async (t) => {
        const bench = await openBench(
          t,
          textAnswer({ end: { type: "reset", afterMs }, blockMs }),
        );
        const outcome = await callService(bench, "GET", "/services/notes/x")
          .catch(() => ({ isComplete: false }));
        t.false(outcome.isComplete);
        t.is(await waitForOutcome(bench), "failed");
      });
    }
  }

  for (
    const [name, answer] of Object.entries({
      "a length that promises more": textAnswer({
        head: `${unframed("text/plain")}\r\ncontent-length: 100`,
      }),
      "a length that promises more, on a connection that is to close":
        textAnswer({
          head: `${
            unframed("text/plain")
          }\r\ncontent-length: 100\r\nconnection: close`,
          end: { type: "reset", afterMs: 2 },
        }),
      "chunks without a last one": textAnswer({
        head: `${unframed("text/plain")}\r\ntransfer-encoding: chunked`,
        parts: [`${TEXT.length.toString(16)}\r\n${TEXT}\r\n`],
      }),
    })
  ) {
    it(`that is cut short is not framed as complete: ${name}`, async (t) => {
      const bench = await openBench(t, answer);
      const outcome = await callService(bench, "GET", "/services/notes/x")
        .catch(() => ({ isComplete: false }));
      t.false(outcome.isComplete);
    });
  }

  for (
    const [name, method, answer, text] of [
      ["without a length", "GET", textAnswer({}), TEXT],
      [
        "without a length, in parts",
        "GET",
        textAnswer({ parts: ["flour ", "to ", "Imilchil"] }),
        TEXT,
      ],
      [
        "without a length, process late",
        "GET",
        textAnswer({ blockMs: 100 }),
        TEXT,
      ],
      ["without a body", "GET", textAnswer({ parts: [] }), ""],
      ["to HEAD", "HEAD", textAnswer({ parts: [] }), ""],
      [
        "of 1 MB",
        "GET",
        textAnswer({ parts: ["x".repeat(1 << 20)] }),
        "x".repeat(1 << 20),
      ],
    ] as const
  ) {
    it(`that ends in order is whole: ${name}`, async (t) => {
      const bench = await openBench(t, answer);
      t.deepEqual(await callService(bench, method, "/services/notes/x"), {
        httpStatus: 200,
        text,
        isComplete: true,
      });
      t.is(await waitForOutcome(bench), "done");
    });
  }

  for (const status of ["204 No Content", "304 Not Modified", "500 Failed"]) {
    it(`with its status stays whole without a length: ${status}`, async (t) => {
      const hasBody = status.startsWith("500");
      const answer = textAnswer({
        head: unframed("text/plain", status),
        parts: hasBody ? [TEXT] : [],
      });
      const bench = await openBench(t, answer);
      t.deepEqual(await callService(bench, "GET", "/services/notes/x"), {
        httpStatus: Number(status.slice(0, 3)),
        text: hasBody ? TEXT : "",
        isComplete: true,
      });
    });
  }

  // Its headers are the whole answer, so what comes after them takes nothing away.
  it("with status 204 stays whole if its connection is reset", async (t) => {
    const bench = await openBench(
      t,
      textAnswer({
        head: unframed("text/plain", "204 No Content"),
        parts: [],
        end: { type: "reset", afterMs: 0 },
        blockMs: 50,
      }),
    );
    const outcome = await callService(bench, "GET", "/services/notes/x");
    t.deepEqual([outcome.httpStatus, outcome.isComplete], [204, true]);
  });
});

describe("an event stream of a plain service", () => {
  const EVENT = "id: 1\ndata: flour\n\n";
  const withLineEnds = (text: string, lineEnd: string) =>
    text.replaceAll("\n", lineEnd);

  for (const lineEnd of ["\n", "\r\n", "\r"]) {
    const lineName = JSON.stringify(lineEnd);
    const cuts = {
      "in the id": "i",
      "between the lines": "id: 2\n",
      "in the data": "id: 2\ndata: fl",
      "before the empty line": "id: 2\ndata: flour\n",
    };
    for (const [cutName, part] of Object.entries(cuts)) {
      it(`that ends in order inside an event is not framed as complete: ${cutName}, lines end by ${lineName}`, async (t) => {
        const text = withLineEnds(EVENT + part, lineEnd);
        const bench = await openBench(t, {
          head: unframed("text/event-stream"),
          parts: [text],
          end: { type: "close" },
        });
        const outcome = await callService(bench, "GET", "/services/notes/x");
        t.deepEqual(outcome, { httpStatus: 200, text, isComplete: false });
        t.is(await waitForOutcome(bench), "failed");
      });
    }

    it(`is whole at the end of an event, lines end by ${lineName}`, async (t) => {
      const text = withLineEnds(`: alive\n\n${EVENT}${EVENT}: bye\n`, lineEnd);
      const bench = await openBench(t, {
        head: unframed("text/event-stream; charset=utf-8"),
        parts: [...text],
        end: { type: "close" },
      });
      const outcome = await callService(bench, "GET", "/services/notes/x");
      t.deepEqual(outcome, { httpStatus: 200, text, isComplete: true });
    });
  }

  const part = `${EVENT}data: fl`;
  const framings = {
    chunks: {
      head: "transfer-encoding: chunked",
      body: `${part.length.toString(16)}\r\n${part}\r\n0\r\n\r\n`,
    },
    "a length": { head: `content-length: ${part.length}`, body: part },
  };
  for (const [name, { head, body }] of Object.entries(framings)) {
    it(`that ends in order inside an event is not framed as complete: with ${name}`, async (t) => {
      const bench = await openBench(t, {
        head: `${unframed("text/event-stream")}\r\n${head}`,
        parts: [body],
        end: { type: "keepOpen" },
      });
      const outcome = await callService(bench, "GET", "/services/notes/x");
      t.deepEqual(outcome, { httpStatus: 200, text: part, isComplete: false });
    });
  }

  it("is not recorded if it ends in order inside an event", async (t) => {
    const bench = await openBench(t, {
      head: unframed("text/event-stream"),
      parts: [EVENT + "data: fl"],
      end: { type: "close" },
    });
    const headers = { "idempotency-key": "d1" };
    const path = "/services/ledger/departures";
    const outcome = await callService(bench, "POST", path, headers);
    t.is(outcome.httpStatus, 502);
    t.is(bench.claims.states.get("d1"), "unknown");
  });
});

describe("a caller of HTTP/1.0", () => {
  // Without chunks, only a reset tells such a caller that its answer is not whole.
  it("does not take an answer that was cut short for a whole one", async (t) => {
    const bench = await openBench(
      t,
      textAnswer({
        head: `${unframed("text/plain")}\r\ntransfer-encoding: chunked`,
        parts: [`${TEXT.length.toString(16)}\r\n${TEXT}\r\n`, ""],
      }),
    );
    t.is(await callByHttp10(bench, "/services/notes/x"), "reset");
  });

  it("gets a whole answer, ended in order", async (t) => {
    const bench = await openBench(t, textAnswer({}));
    t.is(await callByHttp10(bench, "/services/notes/x"), "end");
  });
});

describe("a request that its caller breaks off", () => {
  const bodies = {
    "a length that promises more": "content-length: 100\r\n\r\nflour",
    "chunks without a last one":
      "transfer-encoding: chunked\r\n\r\n5\r\nflour\r\n",
  };
  for (const [name, body] of Object.entries(bodies)) {
    for (const isReset of [false, true]) {
      it(`is not sent to a service: ${name}, ended ${isReset ? "by a reset" : "in order"}`, async (t) => {
        const bench = await openBench(t, textAnswer({}));
        const socket = connect(Number(new URL(bench.url).port), "127.0.0.1");
        socket.on("error", () => {});
        socket.write(
          `POST /services/notes/x HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${DRIVERS_KEY}\r\n${body}`,
        );
        await sleep(20);
        if (isReset) socket.resetAndDestroy();
        else socket.end();
        await sleep(200);
        socket.destroy();
        t.is(bench.upstream.requests(), 0);
      });
    }
  }
});

/** Calls a service as a caller that knows no chunks; tells how the connection ends. `onBegun` is called with the answer. */
function callByHttp10(
  bench: Bench,
  path: string,
  onBegun: () => void = () => {},
): Promise<"end" | "reset"> {
  return new Promise((resolve) => {
    const socket = connect(Number(new URL(bench.url).port), "127.0.0.1");
    socket.write(
      `GET ${path} HTTP/1.0\r\nauthorization: Bearer ${DRIVERS_KEY}\r\n\r\n`,
    );
    socket.on("data", onBegun);
    socket.on("error", () => resolve("reset"));
    socket.on("end", () => {
      // A reset that follows the last bytes at once is reported as an end, but its connection has no peer any more.
      resolve(socket.remoteAddress === undefined ? "reset" : "end");
    });
  });
}

describe("an answer to a caller of HTTP/1.0", () => {
  it("is ended by a reset where its VM closes", async (t) => {
    const bench = await openBench(t, textAnswer({ end: { type: "keepOpen" } }));
    let hasBegun = false;
    const end = callByHttp10(bench, "/services/notes/x", () => hasBegun = true);
    while (!hasBegun) await sleep(5);
    await bench.close();
    t.is(await end, "reset");
  });
});

describe("a recorded answer of a call that runs at most once", () => {
  const call = (bench: Bench) =>
    callService(bench, "POST", "/services/ledger/departures", {
      "idempotency-key": "d1",
    });

  for (const [afterMs, blockMs] of [[0, 0], [2, 0], [20, 0], [0, 100]]) {
    it(`is not a part of one that was reset: after ${afterMs} ms, process late by ${blockMs} ms`, async (t) => {
      const bench = await openBench(
        t,
        textAnswer({ end: { type: "reset", afterMs }, blockMs }),
      );
      const first = await call(bench);
      t.is(first.httpStatus, 502);
      t.is(bench.claims.states.get("d1"), "unknown");
      t.is((await call(bench)).httpStatus, 409);
      t.is(bench.upstream.requests(), 1);
    });
  }

  it("is the whole one that ended with its connection", async (t) => {
    const bench = await openBench(t, textAnswer({}));
    const first = await call(bench);
    t.deepEqual([first.httpStatus, first.text], [200, TEXT]);
    t.is((await call(bench)).text, TEXT);
    t.is(bench.upstream.requests(), 1);
  });
});
