import type { Socket } from "node:net";
import type { ExecutionContext } from "ava";
import fc from "fast-check";
import { describe, it } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { GatewayLab, type LabVm, waitUntil } from "./gateway_lab.ts";
import {
  addScripted,
  endConnection,
  formatHead,
  type Script,
  type ScriptedRequest,
  streamScript,
} from "./scripted_upstream.ts";
import {
  type AnswerPlan,
  parseData,
  StreamModel,
  type StreamPlan,
  streamPlan,
} from "./stream_model.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 60);
const SEED = Number(process.env.FUZZ_SEED ?? 74);
const UPSTREAMS = 3;
const PATH = "/stream/";
/** The route of a caller's earlier try, which isn't continued by the VM. */
const EARLIER_PATH = "/earlier/";
const RIGHT: AnswerPlan = {
  placement: "right",
  cut: undefined,
  end: "inOrder",
  pieces: [1_000],
};

/** Writes what a model says, in its pieces, framed by chunks or by the connection. */
async function writeAnswer(
  model: StreamModel,
  answer: AnswerPlan,
  request: ScriptedRequest,
  socket: Socket,
): Promise<void> {
  const { pieces, end } = model.play(answer);
  const isChunked = answer.pieces[0] % 2 === 0;
  const type = "Content-Type: text/event-stream";
  const more = isChunked ? ["Transfer-Encoding: chunked"] : [];
  socket.setNoDelay(true);
  socket.write(formatHead(request, "200 OK", [type, ...more]));
  for (const piece of pieces) {
    const size = piece.length.toString(16);
    if (isChunked) socket.write(`${size}\r\n`);
    socket.write(piece);
    if (isChunked) socket.write("\r\n");
    if (answer.pieces.length > 2) {
      await new Promise((run) => setTimeout(run, 1));
    }
  }
  if (end === "inOrder" && isChunked) return void socket.write("0\r\n\r\n");
  endConnection(socket, end === "inOrder" ? "close" : "reset", 3);
}

/** The lab of one test, and what its upstreams answer by the id of the attempt. */
interface Stage {
  readonly lab: GatewayLab;
  /** The VM that callers are connected to. */
  readonly vm: LabVm;
  readonly scripts: Map<string, Script>;
  /** Whether the upstreams are in another region than the VM. */
  readonly isRelayed: boolean;
}

async function openStage(
  t: ExecutionContext,
  isRelayed: boolean,
): Promise<Stage> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  const stream = { kind: "streaming", resumable: true };
  lab.configure([
    makeRoute({ ...stream, path_prefix: PATH, max_attempts: 4 }),
    makeRoute({ ...stream, path_prefix: EARLIER_PATH, max_attempts: 1 }),
  ]);
  const bounds = { repeatSlack: 100_000 };
  const vm = await lab.addVm("north", bounds);
  const region = isRelayed ? "south" : "north";
  const servingVm = isRelayed ? await lab.addVm(region, bounds) : vm;
  await lab.waitUntilReady(servingVm);
  await lab.waitUntilReady(vm);
  const scripts = new Map<string, Script>();
  const script: Script = (request, socket) =>
    (scripts.get(request.attemptId) ?? streamScript(""))(request, socket);
  for (let i = 0; i < UPSTREAMS; i++) {
    await addScripted(t, lab, servingVm, script, region);
  }
  const isServed = async () =>
    (await lab.call(vm, { path: PATH, method: "POST" })).status === 200;
  await waitUntil(isServed);
  return { lab, vm, scripts, isRelayed };
}

/** Plays streams until one shows a fault. Returns how many were whole, and how many answers upstreams gave. */
async function playStreams(stage: Stage): Promise<Record<string, number>> {
  const counts = { whole: 0, broken: 0, answers: 0 };
  await fc.assert(
    fc.asyncProperty(streamPlan, async (plan) => {
      const seen = await playCall(stage, plan);
      counts[seen.isWhole ? "whole" : "broken"]++;
      counts.answers += seen.answers;
    }),
    { numRuns: RUNS, seed: SEED, includeErrorInReport: true },
  );
  return counts;
}

describe("gateway, streams that go on after breaks", () => {
  for (const where of ["here", "over a relay"]) {
    it(`reach their caller with each event once, in order, and are whole only at their end, ${where}`, async (t) => {
      const stage = await openStage(t, where !== "here");
      const counts = await playStreams(stage);
      t.log(counts);
      t.true(counts.whole > 0);
    });
  }
});

function makeId(): string {
  return `fuzz-${Math.random().toString(16).slice(2)}`;
}

/** Brings a caller the events that it has before it takes its stream up again. Returns the id of that try. */
async function playEarlierTry(
  { lab, vm, scripts }: Stage,
  plan: StreamPlan,
): Promise<string> {
  const attemptId = makeId();
  const model = new StreamModel(plan);
  scripts.set(
    attemptId,
    (request, socket) =>
      void writeAnswer(model, { ...RIGHT, end: "broken" }, request, socket),
  );
  const headers = { "attempt-id": attemptId };
  const answer = await lab.call(vm, {
    path: EARLIER_PATH,
    method: "POST",
    headers,
  });
  scripts.delete(attemptId);
  if (answer.isComplete) throw new Error("the earlier try was whole");
  return attemptId;
}

/** Plays a stream through a VM, and throws if its caller gets what it must not. */
async function playCall(
  stage: Stage,
  plan: StreamPlan,
): Promise<{ readonly isWhole: boolean; readonly answers: number }> {
  const { lab, vm, scripts, isRelayed } = stage;
  const attemptId = makeId();
  const model = new StreamModel(plan);
  const firstAttemptId = model.had === 0
    ? undefined
    : await playEarlierTry(stage, {
      ...plan,
      events: plan.events.slice(0, model.had),
      had: 0,
    });
  let answers = 0;
  const faults: string[] = [];
  scripts.set(attemptId, (request, socket) => {
    const named = request.lastEventId;
    if (model.state !== "open") faults.push(`asked when ${model.state}`);
    if (named !== toHeader(model.lastId)) {
      faults.push(`asked after ${named}, not ${model.lastId}`);
    }
    void writeAnswer(model, plan.answers[answers++] ?? RIGHT, request, socket);
  });
  const lastEventId = toHeader(model.lastId);
  const headers = {
    "attempt-id": attemptId,
    ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
    ...(firstAttemptId === undefined ? {} : { resumes: firstAttemptId }),
  };
  const closed = { status: 0, body: "", isComplete: false };
  const answer = await lab.call(vm, { path: PATH, method: "POST", headers })
    .catch(() => closed);
  scripts.delete(attemptId);
  if (faults.length > 0) throw new Error(faults.join("; "));
  const { status, body } = answer;
  const isWhole = status === 200 && answer.isComplete;
  if (isWhole !== (model.state === "whole")) {
    throw new Error(`${status} ${body}, whole: ${isWhole}, not ${model.state}`);
  }
  const events = parseData(body);
  const data = JSON.stringify(events);
  // What is under way between two VMs may be lost when an answer is broken off.
  const isPart = isRelayed && !isWhole;
  const expected = JSON.stringify(
    isPart ? model.data.slice(0, events.length) : model.data,
  );
  if (data !== expected) throw new Error(`got ${data}, not ${expected}`);
  return { isWhole, answers };
}

/** Node reads and writes headers as latin-1. */
function toHeader(id: string | undefined): string | undefined {
  return id && Buffer.from(id).toString("latin1");
}
