import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { DRIVERS_KEY, openEdge, type TestEdge, upstreamRow } from "./fakes.ts";
import {
  type ConnectionEnd,
  openRawUpstream,
  type RawAnswer,
  unframed,
} from "./raw_upstream.ts";

const LINE_ENDS = { LF: "\n", CRLF: "\r\n", CR: "\r" };
const WORDS = ["flour ", "to ", "ⴰⵎⵍⵛⵉⵍ"];

/** An event of an answer, with its number. */
function formatEvent(attemptId: string, number: number, lineEnd: string) {
  const data = JSON.stringify({
    id: `chat-${attemptId}`,
    choices: [{ delta: { content: WORDS[number] } }],
  });
  return `id: ${number}${lineEnd}data: ${data}${lineEnd}${lineEnd}`;
}

/** A complete answer: its words, and the end mark. */
function formatStream(attemptId: string, lineEnd: string): string {
  const events = WORDS.map((_, i) => formatEvent(attemptId, i, lineEnd));
  return `${events.join("")}data: [DONE]${lineEnd}${lineEnd}`;
}

type Answers = (attemptId: string, request: string) => RawAnswer;

async function openBench(
  t: ExecutionContext,
  answers: Answers,
  rowFields: object = {},
): Promise<TestEdge> {
  const engine = await openRawUpstream(t, answers);
  const edge = await openEdge(
    [upstreamRow("e0", "plan", engine.url, rowFields)],
    { attempts: 1 },
  );
  t.teardown(() => edge.close());
  return edge;
}

/** Calls the model; returns the words of whole events, whether the end mark came, and the code of an error. */
async function stream(edge: TestEdge) {
  const response = await fetch(`${edge.url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${DRIVERS_KEY}` },
    body: JSON.stringify({
      model: "plan",
      stream: true,
      messages: [{ role: "user", content: "where to?" }],
    }),
  });
  const events = (await response.text()).split("\n\n").filter(Boolean)
    .map((event) => event.replace(/^data: /, ""));
  const values = events.filter((data) => data !== "[DONE]")
    .map((data) => JSON.parse(data));
  return {
    words: values.flatMap(({ choices }) => choices?.[0].delta.content ?? []),
    isDone: events.includes("[DONE]"),
    code: values.find(({ error }) => error)?.error.code as number | undefined,
  };
}

const WHOLE = { words: WORDS, isDone: true, code: undefined };
const STREAM_HEAD = unframed("text/event-stream");
const ENDS: Record<string, ConnectionEnd> = {
  "in order": { type: "close" },
  "by a reset": { type: "reset", afterMs: 0 },
  "by a reset 5 ms later": { type: "reset", afterMs: 5 },
};

/** Where in its last event a stream breaks off: the number of bytes of that event that are sent. */
const CUTS: Record<string, (event: Buffer, lineEnd: string) => number> = {
  "in the id": (event) => event.indexOf("id: ") + 2,
  "between the lines": (event) => event.indexOf("data:"),
  "in the data": (event) => event.indexOf("choices"),
  "in a character": (event) => event.indexOf("ⴰ") + 1,
  "before the empty line": (event, lineEnd) => event.length - lineEnd.length,
};

for (const [lineName, lineEnd] of Object.entries(LINE_ENDS)) {
  describe(`a stream through the edge, lines end by ${lineName}`, () => {
    for (const [endName, end] of Object.entries(ENDS)) {
      for (const [cutName, findCut] of Object.entries(CUTS)) {
        it(`that ends ${endName} ${cutName} of an event breaks openly`, async (t) => {
          const edge = await openBench(t, (attemptId) => {
            const events = [0, 1].map((i) =>
              formatEvent(attemptId, i, lineEnd)
            );
            const last = Buffer.from(formatEvent(attemptId, 2, lineEnd));
            const part = last.subarray(0, findCut(last, lineEnd));
            return { head: STREAM_HEAD, parts: [...events, part], end };
          });
          const { words, isDone, code } = await stream(edge);
          t.deepEqual([isDone, code], [false, 4004]);
          t.deepEqual(words, WORDS.slice(0, words.length));
          t.true(words.length < WORDS.length);
        });
      }

      it(`is whole if it ends ${endName} after its end mark`, async (t) => {
        const edge = await openBench(t, (attemptId) => ({
          head: STREAM_HEAD,
          parts: [formatStream(attemptId, lineEnd)],
          end,
        }));
        t.deepEqual(await stream(edge), WHOLE);
      });
    }

    it("is whole if each byte comes on its own, with comments between", async (t) => {
      const edge = await openBench(t, (attemptId) => {
        const text = `: alive${lineEnd}${lineEnd}` +
          formatStream(attemptId, lineEnd);
        const bytes = [...Buffer.from(text)].map((byte) => Buffer.of(byte));
        return { head: STREAM_HEAD, parts: bytes, end: { type: "close" } };
      });
      t.deepEqual(await stream(edge), WHOLE);
    });

    it("breaks openly if its chunks end in order inside an event", async (t) => {
      const edge = await openBench(t, (attemptId) => {
        const bytes = Buffer.from(formatStream(attemptId, lineEnd));
        const part = bytes.subarray(0, bytes.length - 5);
        const size = part.length.toString(16);
        return {
          head: `${STREAM_HEAD}\r\ntransfer-encoding: chunked`,
          parts: [`${size}\r\n`, part, "\r\n0\r\n\r\n"],
          end: { type: "keepOpen" },
        };
      });
      t.deepEqual(await stream(edge), {
        words: WORDS,
        isDone: false,
        code: 4004,
      });
    });

    it("goes on after its last whole event, each event once", async (t) => {
      const edge = await openBench(t, (attemptId, request) => {
        const lastId = /^last-event-id: (\d+)/mi.exec(request)?.[1];
        const events = WORDS.map((_, i) => formatEvent(attemptId, i, lineEnd));
        const parts = lastId === undefined
          ? [events[0], events[1].slice(0, 30)]
          : [
            ...events.slice(Number(lastId) + 1),
            `data: [DONE]${lineEnd}`,
            lineEnd,
          ];
        return { head: STREAM_HEAD, parts, end: { type: "close" } };
      }, { resumes: true });
      t.deepEqual(await stream(edge), WHOLE);
    });
  });
}

describe("a whole answer of an engine", () => {
  const ask = (edge: TestEdge) =>
    fetch(`${edge.url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${DRIVERS_KEY}` },
      body: JSON.stringify({
        model: "plan",
        messages: [{ role: "user", content: "where to?" }],
      }),
    });
  const text = JSON.stringify({ id: "chat-1", choices: [] });

  for (const [endName, end] of Object.entries(ENDS)) {
    it(`without a length that ends ${endName} inside its JSON is a failure`, async (t) => {
      const edge = await openBench(t, () => ({
        head: unframed("application/json"),
        parts: [text.slice(0, -3)],
        end,
      }));
      const response = await ask(edge);
      const { error } = await response.json() as { error: { ran: string } };
      t.deepEqual([response.status, error.ran], [502, "yes"]);
    });
  }

  it("without a length that ends in order is passed on", async (t) => {
    const edge = await openBench(t, () => ({
      head: unframed("application/json"),
      parts: [text],
      end: { type: "close" },
    }));
    const response = await ask(edge);
    t.deepEqual([response.status, await response.text()], [200, text]);
  });
});

const END_MARK = "data: [DONE]\n\n";

/** Opens an engine whose answers break off after two events, and which goes on as another release of its software. */
function openReleases(
  t: ExecutionContext,
  [first, then]: readonly (string | undefined)[],
) {
  return openBench(t, (attemptId, request) => {
    const isFirst = !/^last-event-id/mi.test(request);
    const fingerprint = isFirst ? first : then;
    const field = fingerprint === undefined
      ? ""
      : `"system_fingerprint":"${fingerprint}",`;
    const numbers = isFirst ? [0, 1] : WORDS.map((_, i) => i).slice(2);
    const events = numbers.map((i) =>
      formatEvent(attemptId, i, "\n").replace("{", `{${field}`)
    );
    return {
      head: STREAM_HEAD,
      parts: isFirst ? events : [...events, END_MARK],
      end: { type: "close" },
    };
  }, { resumes: true });
}

describe("a stream that broke off after two numbered events", () => {
  /** Answers of an engine that is asked to go on after event 1, by what is wrong with them. */
  const misfits: Record<string, (attemptId: string) => readonly string[]> = {
    "begins anew": (attemptId) =>
      WORDS.map((_, i) => formatEvent(attemptId, i, "\n")),
    "has no number": (attemptId) => [
      formatEvent(attemptId, 2, "\n").replace(/^id: 2\n/, ""),
    ],
  };
  for (const [name, formatEvents] of Object.entries(misfits)) {
    it(`is not joined to an answer that ${name}`, async (t) => {
      const edge = await openBench(t, (attemptId, request) => ({
        head: STREAM_HEAD,
        parts: /^last-event-id: 1\r$/mi.test(request)
          ? [...formatEvents(attemptId), END_MARK]
          : [0, 1].map((i) => formatEvent(attemptId, i, "\n")),
        end: { type: "close" },
      }), { resumes: true });
      t.deepEqual(await stream(edge), {
        words: WORDS.slice(0, 2),
        isDone: false,
        code: 4004,
      });
    });
  }

  const releases: Record<string, readonly (string | undefined)[]> = {
    "that another release of the engine wrote": ["fp_1", "fp_2"],
    "that doesn't say which release wrote it": ["fp_1", undefined],
  };
  for (const [name, fingerprints] of Object.entries(releases)) {
    it(`is not joined to events ${name}`, async (t) => {
      const edge = await openReleases(t, fingerprints);
      t.deepEqual(await stream(edge), {
        words: WORDS.slice(0, 2),
        isDone: false,
        code: 4004,
      });
    });
  }

  it("goes on with events of the same release", async (t) => {
    const edge = await openReleases(t, ["fp_1", "fp_1"]);
    t.deepEqual(await stream(edge), WHOLE);
  });

  it("goes on with each event once where its last one comes again", async (t) => {
    const edge = await openBench(t, (attemptId, request) => {
      const isFirst = !/^last-event-id/mi.test(request);
      const numbers = isFirst ? [0, 1] : [1, 2];
      const events = numbers.map((i) => formatEvent(attemptId, i, "\n"));
      return {
        head: STREAM_HEAD,
        parts: isFirst ? events : [...events, END_MARK],
        end: { type: "close" },
      };
    }, { resumes: true });
    t.deepEqual(await stream(edge), WHOLE);
  });

  it("is not continued, and repeats nothing, if an event without a number followed", async (t) => {
    let requests = 0;
    const edge = await openBench(t, (attemptId) => {
      requests++;
      const events = WORDS.map((_, i) => formatEvent(attemptId, i, "\n"));
      const last = events[2].replace(/^id: 2\n/, "");
      return {
        head: STREAM_HEAD,
        parts: requests === 1 ? [events[0], events[1], last] : [last, END_MARK],
        end: { type: "close" },
      };
    }, { resumes: true });
    t.deepEqual(await stream(edge), {
      words: WORDS,
      isDone: false,
      code: 4004,
    });
    t.is(requests, 1);
  });
});
