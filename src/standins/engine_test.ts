import { once } from "node:events";
import got from "got";
import OpenAI from "openai";
import { describe, it } from "../base/describe.ts";
import {
  checkAnswer,
  type Engine,
  type EngineOptions,
  formatAnswer,
  openEngine,
} from "./mod.ts";

const FAST: EngineOptions = {
  prefillTokensPerS: 1e6,
  decodeTokensPerS: 1e5,
  streamTokensPerS: 5000,
  stepMs: 2,
};

interface StreamedAnswer {
  readonly text: string;
  readonly isDone: boolean;
  readonly isBroken: boolean;
  readonly ids: readonly string[];
  readonly headers: Record<string, string | string[] | undefined>;
}

function chatRequest(nonce: string, tokens: number, overrides: object = {}) {
  return {
    model: "standin",
    messages: [{ role: "user", content: `nonce:${nonce}` }],
    max_tokens: tokens,
    ...overrides,
  };
}

/** Requests one streamed answer and returns it as the caller received it. */
async function streamAnswer(
  engine: Engine,
  json: object,
  headers: Record<string, string> = {},
): Promise<StreamedAnswer> {
  const stream = got.stream.post(`${engine.url}/v1/chat/completions`, {
    json: { ...json, stream: true },
    headers,
    retry: { limit: 0 },
    throwHttpErrors: false,
  });
  let raw = "";
  let isBroken = false;
  let responseHeaders = {};
  stream.on("response", (response) => responseHeaders = response.headers);
  try {
    for await (const chunk of stream) raw += chunk;
  } catch {
    isBroken = true;
  }
  const data = raw.split("\n").filter((line) => line.startsWith("data: "))
    .map((line) => line.slice(6));
  const events = data.filter((line) => line !== "[DONE]")
    .map((line) => JSON.parse(line));
  return {
    text: events.map((e) => e.choices[0]?.delta.content ?? "").join(""),
    isDone: data.includes("[DONE]"),
    isBroken,
    ids: events.map((e) => e.id),
    headers: responseHeaders,
  };
}

describe("a stand-in engine", () => {
  it("gives an OpenAI client its own answer, streamed and whole", async (t) => {
    const engine = await openEngine(FAST);
    const client = new OpenAI({ baseURL: `${engine.url}/v1`, apiKey: "none" });
    const whole = await client.chat.completions.create({
      model: "standin",
      messages: [{ role: "user", content: "nonce:a1" }],
      max_tokens: 9,
    });
    t.is(checkAnswer(whole.choices[0].message.content ?? "", "a1"), "complete");
    t.is(whole.usage?.completion_tokens, 9);
    const stream = await client.chat.completions.create({
      model: "standin",
      messages: [{ role: "user", content: "nonce:a2" }],
      max_tokens: 40,
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = "";
    let usage = 0;
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? "";
      usage = chunk.usage?.completion_tokens ?? usage;
    }
    t.is(checkAnswer(text, "a2"), "complete");
    t.is(usage, 40);
    t.deepEqual(engine.records().map((r) => r.tokens), [9, 40]);
    await engine.close();
  });

  const faultCases: {
    name: string;
    fault: object;
    check: ReturnType<typeof checkAnswer>;
    done: boolean;
    broken: boolean;
  }[] = [
    {
      name: "cut",
      fault: { type: "cut", afterTokens: 5 },
      check: "cut",
      done: false,
      broken: true,
    },
    {
      name: "truncate",
      fault: { type: "truncate", afterTokens: 5 },
      check: "cut",
      done: false,
      broken: false,
    },
    {
      name: "stall",
      fault: { type: "stall", afterTokens: 5, stallMs: 30 },
      check: "complete",
      done: true,
      broken: false,
    },
    {
      name: "duplicate",
      fault: { type: "duplicate" },
      check: "foreign",
      done: true,
      broken: false,
    },
    {
      name: "crossed",
      fault: { type: "crossed" },
      check: "foreign",
      done: true,
      broken: false,
    },
    {
      name: "crossed in the middle",
      fault: { type: "crossed", afterTokens: 19 },
      check: "garbled",
      done: true,
      broken: false,
    },
    {
      name: "late",
      fault: { type: "late", delayMs: 30 },
      check: "complete",
      done: true,
      broken: false,
    },
  ];

  for (const { name, fault, check, done, broken } of faultCases) {
    it(`applies the fault "${name}" to one request only`, async (t) => {
      const engine = await openEngine(FAST);
      engine.faults.add({ ...fault, times: 1 });
      const faulty = await streamAnswer(engine, chatRequest("f1", 20), {
        "x-request-id": "r1",
      });
      t.is(checkAnswer(faulty.text, "f1"), check);
      t.is(faulty.isDone, done);
      t.is(faulty.isBroken, broken);
      const next = await streamAnswer(engine, chatRequest("f2", 20), {
        "x-request-id": "r2",
      });
      t.is(checkAnswer(next.text, "f2"), "complete");
      t.is(next.headers["x-request-id"], "r2");
      t.true(next.ids.every((id) => id === "chatcmpl-r2"));
      await engine.close();
    });
  }

  it("continues a broken stream if the engine resumes", async (t) => {
    const engine = await openEngine({ ...FAST, resumes: true });
    engine.faults.add({ type: "cut", afterTokens: 7, times: 1 });
    const first = await streamAnswer(engine, chatRequest("r", 20));
    const rest = await streamAnswer(engine, chatRequest("r", 20), {
      "last-event-id": "6",
    });
    t.is(rest.headers["x-resumed-from"], "7");
    t.is(first.text + rest.text, formatAnswer("r", 20));
    t.deepEqual(engine.records().map((r) => r.resumedFrom), [undefined, 7]);
    await engine.close();
  });

  it("cancels a request whose connection closes and frees its slot", async (t) => {
    const engine = await openEngine({
      ...FAST,
      slots: 1,
      streamTokensPerS: 200,
    });
    const stream = got.stream.post(`${engine.url}/v1/chat/completions`, {
      json: chatRequest("gone", 100_000, { stream: true }),
      retry: { limit: 0 },
    });
    await once(stream, "data");
    stream.on("error", () => {});
    stream.destroy();
    const next = await streamAnswer(engine, chatRequest("next", 5));
    t.is(checkAnswer(next.text, "next"), "complete");
    const [gone] = engine.records();
    t.truthy(gone.canceledAtMs);
    t.is(gone.finishedAtMs, undefined);
    await engine.close();
  });

  it("marks refusals as not run and takes faults over HTTP", async (t) => {
    const engine = await openEngine(FAST);
    const post = (path: string, json: object) =>
      got.post(`${engine.controlUrl}${path}`, { json });
    await post("/faults", { set: [{ type: "refuse", times: 1 }] });
    const refused = await streamAnswer(engine, chatRequest("x", 5));
    t.is(refused.headers["x-ran"], "no");
    t.is(engine.records()[0].startedAtMs, undefined);
    await post("/faults", { set: [{ type: "dead" }] });
    t.true((await streamAnswer(engine, chatRequest("y", 5))).isBroken);
    await post("/faults", { clear: true });
    t.true((await streamAnswer(engine, chatRequest("z", 5))).isDone);
    const bad = await got.post(`${engine.controlUrl}/faults`, {
      json: { add: { type: "nonsense" } },
      throwHttpErrors: false,
    });
    t.is(bad.statusCode, 400);
    await engine.close();
  });

  it("reports its load in its metrics, or a false load if a fault says so", async (t) => {
    const engine = await openEngine({
      ...FAST,
      slots: 1,
      streamTokensPerS: 50,
    });
    const calls = [
      streamAnswer(engine, chatRequest("a", 30)),
      streamAnswer(engine, chatRequest("b", 3)),
    ];
    while (engine.records().length < 2) await new Promise(setImmediate);
    await new Promise((resolve) => setTimeout(resolve, 10));
    const page = await got(`${engine.url}/metrics`).text();
    t.regex(page, /vllm:num_requests_running\{[^}]*\} 1\n/);
    t.regex(page, /vllm:num_requests_waiting\{[^}]*\} 1\n/);
    engine.faults.add({ type: "lyingLoad", running: 0, waiting: 0 });
    const lie = await got(`${engine.url}/metrics`).text();
    t.regex(lie, /vllm:num_requests_running\{[^}]*\} 0\n/);
    await Promise.all(calls);
    await engine.close();
  });

  it("refuses an order with a stale fencing number only if it checks numbers", async (t) => {
    for (const checksFence of [true, false]) {
      const engine = await openEngine({ ...FAST, checksFence });
      const order = async (want: string, fence: number) => {
        const answer = await got.post(`${engine.url}/orders`, {
          json: { want },
          headers: { "x-fencing-token": String(fence) },
          throwHttpErrors: false,
        });
        return answer.statusCode;
      };
      t.is(await order("parked", 2), 200);
      t.is(
        (await streamAnswer(engine, chatRequest("p", 5))).headers["x-ran"],
        "no",
      );
      t.is(await order("active", 1), checksFence ? 409 : 200);
      t.is(engine.orders.isActive, !checksFence);
      await engine.close();
    }
  });
});
