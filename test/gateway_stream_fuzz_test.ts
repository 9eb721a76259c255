import fc from "fast-check";
import { describe, it } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { GatewayLab, type LabVm } from "./gateway_lab.ts";
import {
  addScripted,
  endConnection,
  formatHead,
  type Script,
  type ScriptedRequest,
} from "./scripted_upstream.ts";
import {
  type AnswerPlan,
  parseData,
  StreamModel,
  type StreamPlan,
  streamPlan,
} from "./stream_model.ts";
import type { Socket } from "node:net";

const RUNS = Number(process.env.FUZZ_RUNS ?? 60);
const SEED = Number(process.env.FUZZ_SEED ?? 74);
const UPSTREAMS = 3;
const PATH = "/stream/";
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

describe("gateway, streams that go on after breaks", () => {
  it("reach their caller with each event once, in order, and are whole only at their end", async (t) => {
    const lab = new GatewayLab();
    t.teardown(() => lab.close());
    lab.configure([
      makeRoute({
        path_prefix: PATH,
        kind: "streaming",
        resumable: true,
        max_attempts: 4,
      }),
    ]);
    const vm = await lab.addVm("north", { repeatSlack: 100_000 });
    await lab.waitUntilReady(vm);
    const scripts = new Map<string, Script>();
    for (let i = 0; i < UPSTREAMS; i++) {
      await addScripted(
        t,
        lab,
        vm,
        (request, socket) => scripts.get(request.attemptId)?.(request, socket),
      );
    }
    const counts = { whole: 0, broken: 0, answers: 0 };
    await fc.assert(
      fc.asyncProperty(streamPlan, async (plan) => {
        const attemptId = `fuzz-${Math.random().toString(16).slice(2)}`;
        const seen = await playCall(lab, vm, plan, attemptId, scripts);
        counts[seen.isComplete ? "whole" : "broken"]++;
        counts.answers += seen.answers;
      }),
      { numRuns: RUNS, seed: SEED, includeErrorInReport: true },
    );
    t.log(counts);
    t.true(counts.whole > 0);
  });
});

/** Plays a stream through a VM, and throws if its caller gets what it must not. */
async function playCall(
  lab: GatewayLab,
  vm: LabVm,
  plan: StreamPlan,
  attemptId: string,
  scripts: Map<string, Script>,
): Promise<{ readonly isComplete: boolean; readonly answers: number }> {
  const model = new StreamModel(plan);
  let answers = 0;
  const faults: string[] = [];
  scripts.set(attemptId, (request, socket) => {
    const named = request.lastEventId;
    const last = model.lastId &&
      Buffer.from(model.lastId).toString("latin1");
    if (model.state !== "open") faults.push(`asked when ${model.state}`);
    if (named !== last) faults.push(`asked after ${named}, not ${last}`);
    void writeAnswer(model, plan.answers[answers++] ?? RIGHT, request, socket);
  });
  const { lastId } = model;
  const headers = {
    "attempt-id": attemptId,
    ...(lastId === undefined
      ? {}
      : { "last-event-id": Buffer.from(lastId).toString("latin1") }),
  };
  const closed = { body: "", isComplete: false };
  const answer = await lab.call(vm, { path: PATH, method: "POST", headers })
    .catch(() => closed);
  scripts.delete(attemptId);
  if (faults.length > 0) throw new Error(faults.join("; "));
  if (answer.isComplete !== (model.state === "whole")) {
    throw new Error(`complete: ${answer.isComplete}, but ${model.state}`);
  }
  const data = JSON.stringify(parseData(answer.body));
  const expected = JSON.stringify(model.data);
  if (data !== expected) throw new Error(`got ${data}, not ${expected}`);
  return { isComplete: answer.isComplete, answers };
}
