import { Agent, get, type IncomingHttpHeaders } from "node:http";
import { describe, it } from "../base/describe.ts";
import { Runner } from "./runner.ts";
import {
  type AnswerEnding,
  type AnswerFraming,
  formatStream,
} from "./runner_answer.ts";

/** What a client saw of an answer. */
interface Seen {
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly isReset: boolean;
  /** Whether its framing says that it is complete. */
  readonly isComplete: boolean;
}

const PARTIAL_BYTES = 10;
const HALF_STREAM = formatStream(0, 3);
const PARTIAL_STREAM = formatStream().slice(
  0,
  HALF_STREAM.length + PARTIAL_BYTES,
);

function fetchAnswer(
  address: string,
  path: string,
  lastEventId?: number,
  onBytes: () => void = () => {},
): Promise<Seen> {
  const agent = new Agent({ keepAlive: true });
  return new Promise((resolve) => {
    const headers = {
      "attempt-id": "a1",
      ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
    };
    const call = get(`http://${address}${path}`, { agent, headers });
    // A reset discards what a late client has not read, the head too.
    call.on("error", () => {
      agent.destroy();
      resolve({ headers: {}, text: "", isReset: true, isComplete: false });
    });
    call.on("response", (answer) => {
      let text = "";
      let isReset = false;
      answer.socket.on("error", () => void (isReset = true));
      // Node reports a reset right after the last bytes as an ordinary end; only the peer's address is gone then.
      answer.socket.prependOnceListener("end", () => {
        isReset ||= answer.socket.remoteAddress === undefined;
      });
      answer.on("error", () => {});
      answer.on("data", (chunk: Buffer) => {
        text += chunk;
        onBytes();
      });
      answer.on("close", () => {
        agent.destroy();
        const { headers, complete: isComplete } = answer;
        resolve({ headers, text, isReset, isComplete });
      });
    });
  });
}

async function fetchFrom(
  framing: AnswerFraming,
  ending: AnswerEnding,
  path: string,
  lastEventId?: number,
): Promise<Seen> {
  const runner = await Runner.open("r1");
  Object.assign(runner, {
    framing,
    ending,
    plainEnding: ending,
    partialEventBytes: PARTIAL_BYTES,
  });
  const seen = await fetchAnswer(runner.address, path, lastEventId);
  await runner.close();
  return seen;
}

describe("a stand-in runner", () => {
  describe("without length and chunks", () => {
    it("answers whole, and ends with its connection", async (t) => {
      for (
        const [path, body] of [["/x", "served by r1"], [
          "/stream/x",
          formatStream(),
        ]]
      ) {
        const { headers, text, isComplete } = await fetchFrom(
          "unframed",
          "whole",
          path,
        );
        t.is(headers["content-length"], undefined);
        t.is(headers["transfer-encoding"], undefined);
        t.is(text, body);
        t.true(isComplete);
      }
    });

    it("ends a stream early in order, which its framing doesn't show", async (t) => {
      const inEvent = await fetchFrom("unframed", "closeInEvent", "/stream/x");
      t.is(inEvent.text, PARTIAL_STREAM);
      t.deepEqual([inEvent.isComplete, inEvent.isReset], [true, false]);
      const after = await fetchFrom("unframed", "closeAfterEvent", "/stream/x");
      t.is(after.text, HALF_STREAM);
      t.deepEqual([after.isComplete, after.isReset], [true, false]);
    });

    it("ends a stream early by a reset", async (t) => {
      const inEvent = await fetchFrom("unframed", "resetInEvent", "/stream/x");
      t.true(PARTIAL_STREAM.startsWith(inEvent.text));
      t.true(inEvent.isReset);
      const after = await fetchFrom("unframed", "resetAfterEvent", "/stream/x");
      t.true(HALF_STREAM.startsWith(after.text));
      t.true(after.isReset);
    });

    it("ends a plain body early, in order or by a reset", async (t) => {
      const closed = await fetchFrom("unframed", "closeInEvent", "/x");
      t.is(closed.text, "served");
      t.deepEqual([closed.isComplete, closed.isReset], [true, false]);
      const reset = await fetchFrom("unframed", "resetInEvent", "/x");
      t.true(reset.isReset);
    });
  });

  describe("with length or chunks", () => {
    it("ends a stream in order inside an event, with its last chunk", async (t) => {
      const seen = await fetchFrom("framed", "closeInEvent", "/stream/x");
      t.is(seen.headers["transfer-encoding"], "chunked");
      t.is(seen.text, PARTIAL_STREAM);
      t.true(seen.isComplete);
    });

    it("closes in order before the length of a plain body", async (t) => {
      const seen = await fetchFrom("framed", "closeInEvent", "/x");
      t.is(seen.headers["content-length"], "12");
      t.is(seen.text, "served");
      t.deepEqual([seen.isComplete, seen.isReset], [false, false]);
    });
  });

  it("fills a plain answer up to the size of its target", async (t) => {
    const runner = await Runner.open("r1");
    runner.plainBytesOf = (target) => target === "/large/x" ? 20 : 0;
    const large = await fetchAnswer(runner.address, "/large/x");
    const plain = await fetchAnswer(runner.address, "/x");
    await runner.close();
    t.is(large.text, "served by r1........");
    t.is(large.headers["content-length"], "20");
    t.is(plain.text, "served by r1");
    t.deepEqual(runner.arrivals.map(({ isIgnored }) => isIgnored), [
      false,
      false,
    ]);
    t.true(runner.arrivals.every(({ endedMonoMs }) => endedMonoMs < Infinity));
  });

  it("sends nothing but the head of a stream, until its connection ends", async (t) => {
    const runner = await Runner.open("r1");
    runner.behavior = "headOnly";
    const seen = fetchAnswer(runner.address, "/longstream/x");
    while (runner.arrivals.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
    const [arrival] = runner.arrivals;
    t.is(arrival.endedMonoMs, Infinity);
    await runner.close();
    const { headers, text, isComplete } = await seen;
    t.is(headers["response-stamp"], "stamp-r1");
    t.deepEqual([text, isComplete], ["", false]);
    // The client's side of the connection may end first.
    await new Promise((resolve) => setTimeout(resolve, 50));
    t.true(arrival.isIgnored);
    t.true(arrival.endedMonoMs < Infinity);
  });

  it("goes on after the last event that its caller has", async (t) => {
    const { text } = await fetchFrom("unframed", "whole", "/stream/x", 4);
    t.is(text, formatStream(4));
  });

  it("names its version in each event, also of a stream that another version began", async (t) => {
    const runner = await Runner.open("r1");
    runner.version = "v2";
    const { text } = await fetchAnswer(runner.address, "/stream/x", 4);
    await runner.close();
    t.is(text, formatStream(4, 6, "v2"));
    t.true(text.startsWith("id: 5\ndata: piece 5 by v2\n\n"));
  });

  it("ends streams in order inside an event when it crashes so", async (t) => {
    const runner = await Runner.open("r1");
    Object.assign(runner, { framing: "unframed", eventGapMs: 1_000 });
    const crash = () => runner.crash("close");
    const seen = await fetchAnswer(
      runner.address,
      "/stream/x",
      undefined,
      crash,
    );
    await runner.close();
    t.is(seen.text, formatStream().slice(0, formatStream(0, 1).length + 8));
    t.deepEqual([seen.isComplete, seen.isReset], [true, false]);
  });
});
