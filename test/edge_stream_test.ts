import type { ExecutionContext } from "ava";
import OpenAI from "openai";
import { describe, it } from "../src/base/describe.ts";
import {
  type Engine,
  type EngineFault,
  type EngineOptions,
  formatAnswer,
  openEngine,
} from "../src/standins/mod.ts";
import { DRIVERS_KEY, openEdge, type TestEdge, upstreamRow } from "./fakes.ts";

const FAST_ENGINE: EngineOptions = {
  stepMs: 1,
  streamTokensPerS: 5000,
  decodeTokensPerS: 50_000,
};
const ANSWER_TOKENS = 20;

interface Bench extends TestEdge {
  readonly engines: readonly Engine[];
  readonly client: OpenAI;
}

async function openBench(
  t: ExecutionContext,
  count: number,
  options: EngineOptions = {},
  rowFields: object = {},
): Promise<Bench> {
  const engines = await Promise.all(
    Array.from(
      { length: count },
      () => openEngine({ ...FAST_ENGINE, ...options }),
    ),
  );
  const edge = await openEdge(
    engines.map((engine, i) =>
      upstreamRow(`e${i}`, "plan", engine.url, rowFields)
    ),
  );
  t.teardown(async () => {
    await edge.close();
    for (const engine of engines) await engine.close();
  });
  const client = new OpenAI({
    apiKey: DRIVERS_KEY,
    baseURL: `${edge.url}/v1`,
    maxRetries: 0,
  });
  return { ...edge, engines, client };
}

/** Streams an answer through a stock client; returns its text and the error that it ended in. */
async function streamAnswer(
  client: OpenAI,
  nonce: string,
): Promise<{ text: string; error?: string; code?: unknown }> {
  let text = "";
  try {
    const stream = await client.chat.completions.create({
      model: "plan",
      stream: true,
      max_tokens: ANSWER_TOKENS,
      messages: [{
        role: "user",
        content: `nonce:${nonce} which pass is open?`,
      }],
    });
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta?.content ?? "";
    }
    return { text };
  } catch (error) {
    return {
      text,
      error: (error as Error).message,
      code: (error as { code?: unknown }).code,
    };
  }
}

describe("edge", () => {
  describe("a stock client", () => {
    it("gets a complete streamed answer", async (t) => {
      const { client, slots } = await openBench(t, 1);
      t.deepEqual(await streamAnswer(client, "n1"), {
        text: formatAnswer("n1", ANSWER_TOKENS),
      });
      t.is(slots.reports[0].outcome, "done");
      t.deepEqual(slots.startedAttempts, [slots.reports[0].attemptId]);
    });

    it("gets a complete answer without streaming, and a legacy completion", async (t) => {
      const { client } = await openBench(t, 1);
      const chat = await client.chat.completions.create({
        model: "plan",
        max_tokens: ANSWER_TOKENS,
        messages: [{ role: "user", content: "nonce:n2 hello" }],
      });
      t.is(chat.choices[0].message.content, formatAnswer("n2", ANSWER_TOKENS));
      const legacy = await client.completions.create({
        model: "plan",
        max_tokens: 5,
        prompt: "nonce:n3 hello",
      });
      t.is(legacy.choices[0].text, formatAnswer("n3", 5));
    });

    it("lists the models", async (t) => {
      const { client } = await openBench(t, 1);
      const ids = [];
      for await (const model of client.models.list()) ids.push(model.id);
      t.deepEqual(ids, ["plan", "quick"]);
    });
  });

  describe("a stream that breaks", () => {
    // The engine fails after the caller has read some tokens. It cannot resume, so the caller must see an error in the
    // stream, and the tokens so far must be a true prefix. A clean end would pass for a short answer.
    const breakCases: { name: string; fault: EngineFault }[] = [
      {
        name: "cut connection",
        fault: { type: "cut", afterTokens: 7, times: 1 },
      },
      {
        name: "early but clean end",
        fault: { type: "truncate", afterTokens: 7, times: 1 },
      },
      {
        name: "stall",
        fault: { type: "stall", afterTokens: 7, stallMs: 60_000, times: 1 },
      },
      {
        name: "mixed up with another answer",
        fault: { type: "crossed", afterTokens: 7, times: 1 },
      },
    ];
    for (const { name, fault } of breakCases) {
      it(`ends in an explicit error: ${name}`, async (t) => {
        const { client, engines, slots } = await openBench(t, 1);
        engines[0].faults.add(fault);
        const answer = await streamAnswer(client, "n4");
        t.truthy(
          answer.error,
          `a clean end after ${JSON.stringify(answer.text)}`,
        );
        t.is(answer.code, 4004);
        t.true(formatAnswer("n4", ANSWER_TOKENS).startsWith(answer.text));
        t.is(slots.reports[0].outcome, "failed");
      });
    }

    // The engine can resume, as its row says. The caller sees one complete answer: nothing is lost or duplicated.
    for (
      const { name, fault } of breakCases.filter((breakCase) =>
        breakCase.fault.type !== "crossed"
      )
    ) {
      it(`is resumed if the engine can: ${name}`, async (t) => {
        const { client, engines } = await openBench(t, 1, { resumes: true }, {
          resumes: true,
        });
        engines[0].faults.add(fault);
        t.deepEqual(await streamAnswer(client, "n5"), {
          text: formatAnswer("n5", ANSWER_TOKENS),
        });
      });
    }

    // The first engine fails before any token has reached the caller. Another one answers from the start, so the caller
    // does not notice the failure. The failed engine is not tried again.
    for (
      const fault of [
        { type: "cut", afterTokens: 0, times: 1 },
        { type: "crossed", afterTokens: 0, times: 1 },
        { type: "refuse", times: 1 },
        { type: "dead" },
      ] as EngineFault[]
    ) {
      it(`goes to another engine before the first token: ${fault.type}`, async (t) => {
        const { client, engines, slots } = await openBench(t, 2);
        engines[0].faults.add(fault);
        t.deepEqual(await streamAnswer(client, "n6"), {
          text: formatAnswer("n6", ANSWER_TOKENS),
        });
        t.deepEqual(slots.requests.map((request) => request.exclude), [[], [
          "e0",
        ]]);
        t.is(engines[1].records().length, 1);
      });
    }

    it("passes a duplicate event on once if the engine numbers events", async (t) => {
      const { client, engines } = await openBench(t, 1, { resumes: true }, {
        resumes: true,
      });
      engines[0].faults.add({ type: "duplicate", times: 1 });
      t.deepEqual(await streamAnswer(client, "n7"), {
        text: formatAnswer("n7", ANSWER_TOKENS),
      });
    });
  });

  // Many callers send requests at once, while one engine mixes up answers and the other cuts connections. Each caller
  // must get its own complete answer, or an error after a prefix of its own answer.
  it("never gives one caller's answer to another", async (t) => {
    const { client, engines } = await openBench(t, 2);
    for (let i = 0; i < 5; i++) {
      engines[0].faults.add({ type: "crossed", afterTokens: i, times: 2 });
    }
    engines[1].faults.add({ type: "cut", afterTokens: 3, times: 4 });
    const nonces = Array.from({ length: 40 }, (_, i) => `own${i}`);
    const answers = await Promise.all(
      nonces.map((nonce) => streamAnswer(client, nonce)),
    );
    for (const [i, { text, error }] of answers.entries()) {
      const fullAnswer = formatAnswer(nonces[i], ANSWER_TOKENS);
      if (error) t.true(fullAnswer.startsWith(text));
      else t.is(text, fullAnswer);
    }
    t.true(answers.some((answer) => answer.error));
  });

  // The caller closes its connection in the middle of an answer. The engine must stop generating and the slot must be
  // freed, or abandoned answers would fill the engines.
  it("cancels the request at the engine when the caller disconnects", async (t) => {
    const { client, engines, slots } = await openBench(t, 1, {
      streamTokensPerS: 50,
    });
    const stream = await client.chat.completions.create({
      model: "plan",
      stream: true,
      max_tokens: 1000,
      messages: [{ role: "user", content: "nonce:n8" }],
    });
    for await (const _ of stream) break;
    stream.controller.abort();
    while (
      slots.reports.length === 0 || !engines[0].records()[0].canceledAtMs
    ) await sleep(5);
    t.is(slots.reports[0].outcome, "canceled");
    t.true(engines[0].records()[0].tokens < 1000);
  });

  // The engine accepts the request and then sends nothing. At the request's deadline the caller gets its final answer
  // at once, and the engine's late answer is discarded.
  it("answers at the deadline when no engine does", async (t) => {
    const { engines, url } = await openBench(t, 1, {}, { service: "quick" });
    engines[0].faults.add({ type: "late", delayMs: 60_000, times: 1 });
    const response = await fetch(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${DRIVERS_KEY}` },
      body: JSON.stringify({
        model: "quick",
        max_tokens: 5,
        messages: [{ role: "user", content: "nonce:n9" }],
      }),
    });
    t.is(response.status, 504);
    const { error } = await response.json() as {
      error: { code: number; ran: string };
    };
    t.deepEqual([error.code, error.ran], [
      4005,
      engines[0].records().length > 0 ? "unknown" : "no",
    ]);
  });
});

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
