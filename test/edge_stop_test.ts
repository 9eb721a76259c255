import { once } from "node:events";
import {
  Agent,
  createServer,
  type IncomingMessage,
  request,
  type RequestListener,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import type { EdgeMessages } from "../src/edge/mod.ts";
import type { MetricsMessages } from "../src/services/mod.ts";
import { sleep } from "./cluster.ts";
import { DRIVERS_KEY, openEdge, type TestEdge, upstreamRow } from "./fakes.ts";
import { MemoryLog } from "./memory_log.ts";

const DRAIN_MS = 150;
const EVENT = `data: ${
  JSON.stringify({
    id: "c1",
    object: "chat.completion.chunk",
    choices: [{ index: 0, delta: { content: "salt" }, finish_reason: null }],
  })
}\n\n`;

/** More than connections hold of an answer that nobody reads. */
const LARGE_BYTES = 24_000_000;

interface OpenCounts {
  readonly open: number;
}

interface StopLab {
  readonly edge: TestEdge;
  readonly log: MemoryLog;
  /** Number of requests at the upstream. */
  requests(): number;
  /** The result codes that were counted. */
  readCounts(): Promise<string[]>;
}

/** Opens an edge over one upstream for all services; `answer` answers its requests. */
async function openStopLab(
  t: ExecutionContext,
  answer: RequestListener = () => {},
): Promise<StopLab> {
  let requests = 0;
  const upstream = createServer((message, response) => {
    requests++;
    answer(message, response);
  });
  upstream.listen(0, "127.0.0.1");
  await once(upstream, "listening");
  const url = `http://127.0.0.1:${(upstream.address() as AddressInfo).port}`;
  const log = new MemoryLog("vm-1");
  const rows = ["plan", "notes", "ledger"].map((service) =>
    upstreamRow(`${service}-0`, service, url)
  );
  const limits = { upstreamStallMs: 30_000, stalledCallerMs: 30_000 };
  const edge = await openEdge(rows, { ...limits, bodyWaitMs: 30_000 }, log);
  const metrics = edge.kernel.get<MetricsMessages>("metrics");
  const readCounts = async () => {
    const page = await metrics.ask("page", undefined);
    const pattern = /ibisgap_requests_total\{.*code="(\d+)"\} (\d+)/g;
    return [...page.matchAll(pattern)].map(([, code, n]) => `${code}: ${n}`);
  };
  t.teardown(async () => {
    await edge.close();
    upstream.closeAllConnections();
    upstream.close();
  });
  return { edge, log, requests: () => requests, readCounts };
}

/** Stops an edge as the daemon does. */
async function stop(edge: TestEdge, drainMs = DRAIN_MS): Promise<void> {
  const deadlineMs = Date.now() + drainMs;
  await edge.kernel.get<EdgeMessages>("edge").ask("drain", { deadlineMs });
  await edge.close();
}

interface CallInput {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whether to leave the request unfinished. */
  readonly isUnfinished?: boolean;
  readonly agent?: Agent;
}

/** Sends a request; resolves when its answer begins, or with `undefined` if the connection ends without one. */
async function send(
  edge: TestEdge,
  { path, method = "POST", headers, body, isUnfinished, agent }: CallInput,
): Promise<IncomingMessage | undefined> {
  const outgoing = request(edge.url + path, {
    agent: agent ?? false,
    method,
    headers: { authorization: `Bearer ${DRIVERS_KEY}`, ...headers },
  });
  if (isUnfinished) outgoing.write(body);
  else outgoing.end(body);
  return await new Promise((resolve) => {
    outgoing.on("response", resolve);
    outgoing.on("error", () => resolve(undefined));
  });
}

interface Answer {
  readonly status: number;
  readonly code?: number;
  readonly ran?: string;
  readonly body: string;
  readonly isComplete: boolean;
}

async function read(answer: IncomingMessage): Promise<Answer> {
  const chunks: Buffer[] = [];
  answer.on("data", (chunk: Buffer) => chunks.push(chunk));
  answer.on("error", () => {});
  await new Promise((resolve) => answer.on("close", resolve));
  const body = Buffer.concat(chunks).toString("utf8");
  const status = answer.statusCode ?? 0;
  const isComplete = answer.complete;
  if (status === 200 || !isComplete) return { status, body, isComplete };
  const { code, ran } = JSON.parse(body).error;
  return { status, code, ran, body, isComplete };
}

async function call(
  edge: TestEdge,
  input: CallInput,
): Promise<Answer | "no answer"> {
  const answer = await send(edge, input);
  return answer ? await read(answer) : "no answer";
}

function chat(stream: boolean): string {
  const messages = [{ role: "user", content: "hi" }];
  return JSON.stringify({ model: "plan", stream, messages });
}

const CALLS: Record<"whole" | "stream" | "safe" | "plain" | "once", CallInput> =
  {
    whole: { path: "/v1/chat/completions", body: chat(false) },
    stream: { path: "/v1/chat/completions", body: chat(true) },
    safe: { path: "/services/notes/a", method: "GET" },
    plain: { path: "/services/notes/a", body: "flour" },
    once: {
      path: "/services/ledger/a",
      body: "flour",
      headers: { "idempotency-key": "k1" },
    },
  };

async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let i = 0; i < 2_000 && !isTrue(); i++) await sleep(5);
}

/** Stops an edge once its upstream has a request; returns what the caller of it gets. */
async function callAcrossStop(
  { edge, requests }: StopLab,
  input: CallInput,
): Promise<Answer | "no answer"> {
  const answering = call(edge, input);
  await waitUntil(() => requests() > 0);
  await stop(edge);
  return await answering;
}

/** Guards against requests that end without an answer when the time of a planned stop is over. */
describe("a planned stop that is over, on the own interface", () => {
  for (const kind of ["whole", "stream", "safe", "plain", "once"] as const) {
    it(`answers a request whose upstream is silent: ${kind}`, async (t) => {
      const lab = await openStopLab(t);
      const answer = await callAcrossStop(lab, CALLS[kind]);
      t.like(answer, {
        status: 502,
        code: 4008,
        ran: "unknown",
        isComplete: true,
      });
      t.deepEqual(await lab.readCounts(), ["4008: 1"]);
      t.like(
        lab.log.lines.find(({ event }) => event === "request cut by the stop"),
        { fields: { code: 4008, ran: "unknown" } },
      );
      t.is(lab.edge.slots.reports[0].outcome, "canceled");
    });
  }

  it("answers a stream before its first event", async (t) => {
    const lab = await openStopLab(t, (_, response) => {
      response.setHeader("content-type", "text/event-stream");
      response.flushHeaders();
    });
    const answer = await callAcrossStop(lab, CALLS.stream);
    t.like(answer, { status: 502, code: 4008, ran: "unknown" });
  });

  it("answers a plain call of whose answer only the head was read", async (t) => {
    const lab = await openStopLab(t, (_, response) => {
      response.setHeader("content-length", 1_000);
      response.setHeader("content-encoding", "gzip");
      response.flushHeaders();
    });
    const answer = await callAcrossStop(lab, CALLS.safe);
    t.like(answer, { status: 502, code: 4008, isComplete: true });
  });

  it("ends a stream that has begun with an event that says why", async (t) => {
    const lab = await openStopLab(t, (_, response) => {
      response.setHeader("content-type", "text/event-stream");
      response.write(EVENT);
    });
    const answer = await callAcrossStop(lab, CALLS.stream);
    t.like(answer, { status: 200, isComplete: true });
    const events = (answer as Answer).body.split("\n\n");
    t.like(JSON.parse(events[1].slice("data: ".length)), {
      error: { code: 4008, ran: "yes" },
    });
    t.deepEqual(await lab.readCounts(), ["4008: 1"]);
  });

  it("breaks off a plain answer that has begun", async (t) => {
    const lab = await openStopLab(t, (_, response) => {
      response.write("half of the li");
    });
    const answer = await callAcrossStop(lab, CALLS.safe);
    t.like(answer, { status: 200, isComplete: false });
    t.deepEqual(await lab.readCounts(), ["4008: 1"]);
  });

  it("says that a request in a lead's queue was not run", async (t) => {
    const { edge } = await openStopLab(t);
    edge.slots.isQueueing = true;
    const answering = call(edge, CALLS.whole);
    await waitUntil(() => edge.slots.requests.length > 0);
    await stop(edge);
    t.like(await answering, { status: 503, code: 3006, ran: "no" });
    t.is(edge.slots.canceledAttempts.length, 1);
  });

  it("says that a request whose body has not arrived was not run", async (t) => {
    const { edge } = await openStopLab(t);
    const answering = call(edge, { ...CALLS.plain, isUnfinished: true });
    await waitUntil(() => (edge.kernel.dump().edge as OpenCounts).open > 0);
    await stop(edge);
    t.like(await answering, { status: 503, code: 3006, ran: "no" });
  });

  it("says that a request that waits for its claim was not run, and releases the claim", async (t) => {
    const { edge, requests } = await openStopLab(t);
    let answerClaims = () => {};
    edge.claims.claimsAnswered = new Promise((resolve) =>
      answerClaims = resolve
    );
    const answering = call(edge, CALLS.once);
    await waitUntil(() => edge.slots.requests.length > 0);
    await edge.kernel.get<EdgeMessages>("edge").ask("drain", {
      deadlineMs: Date.now() + DRAIN_MS,
    });
    answerClaims();
    t.like(await answering, { status: 503, code: 3006, ran: "no" });
    await sleep(50);
    t.is(requests(), 0);
    t.false(edge.claims.states.has("k1"));
  });

  it("records that a claimed call may have run whose caller has left", async (t) => {
    const { edge, requests } = await openStopLab(t);
    const agent = new Agent({ keepAlive: true });
    const answering = call(edge, { ...CALLS.once, agent });
    await waitUntil(() => requests() > 0);
    agent.destroy();
    await answering;
    await stop(edge);
    t.is(edge.claims.states.get("k1"), "unknown");
  });

  it("records that a claimed call may have run", async (t) => {
    const lab = await openStopLab(t);
    await callAcrossStop(lab, CALLS.once);
    t.is(lab.edge.claims.states.get("k1"), "unknown");
  });

  it("sends an answer that waits only for its record", async (t) => {
    const lab = await openStopLab(
      t,
      (_, response) => void response.end("departed"),
    );
    lab.edge.claims.finishesAnswered = new Promise(() => {});
    const answer = await callAcrossStop(lab, CALLS.once);
    t.like(answer, { status: 200, body: "departed", isComplete: true });
  });
});

/** Guards against answers whose last bytes are lost at a planned stop, as their callers read slowly. */
describe("a planned stop of the own interface, with an answer that was ended and is not written out", () => {
  const cases = [
    { name: "before the end of the drain", readsAfterMs: 100, drainMs: 5_000 },
    { name: "just after it", readsAfterMs: 300, drainMs: 100 },
  ];
  for (const { name, readsAfterMs, drainMs } of cases) {
    it(`loses nothing if it is read ${name}`, async (t) => {
      const { edge } = await openStopLab(
        t,
        (_, response) => void response.end(Buffer.alloc(LARGE_BYTES, "a")),
      );
      const answer = await send(edge, CALLS.once);
      await waitUntil(() => (edge.kernel.dump().edge as OpenCounts).open === 0);
      const stopping = stop(edge, drainMs);
      await sleep(readsAfterMs);
      const { body, isComplete } = await read(answer!);
      t.true(isComplete);
      t.is(body.length, LARGE_BYTES);
      await stopping;
    });
  }

  it("says how many answers were not read", async (t) => {
    const { edge } = await openStopLab(
      t,
      (_, response) => void response.end(Buffer.alloc(LARGE_BYTES, "a")),
    );
    const answer = await send(edge, CALLS.once);
    t.teardown(() => void answer!.destroy());
    const deadlineMs = Date.now() + DRAIN_MS;
    const port = edge.kernel.get<EdgeMessages>("edge");
    t.deepEqual(await port.ask("drain", { deadlineMs }), {
      cutRequests: 0,
      unwrittenAnswers: 1,
    });
  });
});

const CALLERS = 20;

/** Guards against requests that ran and have no answer, where callers use open connections until the VM is gone. */
describe("callers that send without pause over a planned stop of the own interface", () => {
  for (const drainMs of [0, 20, 400]) {
    it(`get an answer to all that ran: drain of ${drainMs} ms`, async (t) => {
      const ran = new Set<string>();
      const { edge } = await openStopLab(t, ({ url }, response) => {
        ran.add(url!);
        setTimeout(() => response.end("departed"), Math.random() * 40);
      });
      const agent = new Agent({ keepAlive: true });
      t.teardown(() => agent.destroy());
      const answered = new Set<string>();
      let sent = 0;
      const sendUntilGone = async () => {
        for (let failures = 0; failures < 3;) {
          const path = `/n${sent++}`;
          const input = { path: `/services/notes${path}`, body: "a", agent };
          const answer = await call(edge, input);
          if (answer === "no answer") failures++;
          else if (answer.isComplete) answered.add(path);
        }
      };
      const callers = Array.from({ length: CALLERS }, sendUntilGone);
      await waitUntil(() => ran.size > 3 * CALLERS);
      await stop(edge, drainMs);
      await Promise.all(callers);
      t.deepEqual([...ran].filter((path) => !answered.has(path)), []);
    });
  }
});
