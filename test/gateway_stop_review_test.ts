import { connect } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { makeRoute, ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "./cluster.ts";
import { GatewayLab, type LabVm, waitUntil } from "./gateway_lab.ts";

/** Longer than the whole stop. */
const LONG_MS = 20_000;
const GRACE_MS = 3_000;
/** So long that streams arrive when estimates of unusually long ones decide, and end before the time is over. */
const LONG_GRACE_MS = 9_000;
/** After the signal by so much that a cut is no longer excused by the upstream's work. */
const LATE_MS = 3_200;
/** After the signal, shortly before what is still open is answered. */
const NEAR_END_MS = 1_700;
/** So many that their durations are known well. */
const LEARNT_CALLS = 6;
const ROUTES = [
  makeRoute(),
  makeRoute({
    path_prefix: "/longonce/",
    kind: "unsafe",
    timeout_ms: LONG_MS,
    max_attempts: 2,
    slo_ms: LONG_MS,
  }),
  makeRoute({
    path_prefix: "/streamlong/",
    kind: "streaming",
    resumable: true,
    timeout_ms: LONG_MS,
  }),
];

async function openStop(
  t: ExecutionContext,
  graceMs = GRACE_MS,
): Promise<{ readonly lab: GatewayLab; readonly vm: LabVm }> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(ROUTES);
  await lab.addRunner();
  const vm = await lab.addVm("north", { graceMs });
  await lab.waitUntilReady(vm);
  return { lab, vm };
}

let requestCount = 0;

function requestText(path: string, version = "1.1", method = "POST"): string {
  const id = (0xabc000 + requestCount++).toString(16);
  return `${method} ${path} HTTP/${version}\r\nhost: ${ROUTE_HOST}\r\n` +
    `attempt-id: ${id}\r\ndeadline-ms: ${LONG_MS}\r\ncontent-length: 0\r\n\r\n`;
}

interface RawCaller {
  text: string;
  readonly closed: Promise<void>;
  write(text: string): void;
  reset(): void;
}

/** Opens a caller's connection and collects what arrives on it. */
function openCaller(t: ExecutionContext, vm: LabVm): RawCaller {
  const [host, port] = vm.settings.listen.callers.split(":");
  const socket = connect(Number(port), host);
  t.teardown(() => void socket.destroy());
  const caller: RawCaller = {
    text: "",
    closed: new Promise((resolve) => socket.on("close", () => resolve())),
    write: (text) => void socket.write(text),
    reset: () => void socket.resetAndDestroy(),
  };
  socket.on("data", (chunk) => caller.text += chunk.toString());
  socket.on("error", () => {});
  return caller;
}

function statusesOf({ text }: RawCaller): string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
}

/** Guards against pipelined requests that are passed on, and closed off by the answer to the one before. */
describe("gateway, pipelined requests over a planned stop", () => {
  it("are both answered if both are open as the stop comes", async (t) => {
    const { lab, vm } = await openStop(t);
    const [runner] = lab.runners;
    runner.answerDelayMs = 500;
    const caller = openCaller(t, vm);
    caller.write(requestText("/longonce/a") + requestText("/longonce/b"));
    await waitUntil(() => runner.arrivals.length === 2);
    const drained = vm.gateway.drain();
    await caller.closed;
    t.deepEqual(statusesOf(caller), ["200", "200"]);
    await drained;
  });

  it("are both told that they may have run if both are open when it is over", async (t) => {
    const { lab, vm } = await openStop(t);
    const [runner] = lab.runners;
    runner.behavior = "silent";
    const caller = openCaller(t, vm);
    caller.write(requestText("/longonce/a") + requestText("/longonce/b"));
    await waitUntil(() => runner.arrivals.length === 2);
    await vm.gateway.drain();
    await caller.closed;
    t.deepEqual(statusesOf(caller), ["502", "502"]);
  });
});

/** Guards against requests that are passed on though the answer before them ends the connection. */
describe("gateway, a request on a connection whose last answer has begun", () => {
  it("is not passed on", async (t) => {
    const { lab, vm } = await openStop(t);
    const [runner] = lab.runners;
    runner.eventGapMs = 100;
    const drained = vm.gateway.drain();
    const caller = openCaller(t, vm);
    caller.write(requestText("/streamlong/a"));
    await waitUntil(() => caller.text.includes("data:"));
    t.regex(caller.text, /connection: close/i);
    caller.write(requestText("/longonce/b"));
    await caller.closed;
    t.deepEqual(runner.arrivals.map(({ target }) => target), ["/streamlong/a"]);
    await drained;
  });
});

/** Guards against upstreams that work on for pipelined requests whose caller has left. */
describe("gateway, a pipelined request behind one that is open", () => {
  it("is canceled when its caller resets the connection", async (t) => {
    const { lab, vm } = await openStop(t);
    const [runner] = lab.runners;
    runner.behavior = "silent";
    const caller = openCaller(t, vm);
    caller.write(requestText("/longonce/a") + requestText("/longonce/b"));
    await waitUntil(() => runner.arrivals.length === 2);
    caller.reset();
    await waitUntil(() =>
      vm.log.lines.filter(({ fields }) => fields.outcome === "canceled")
        .length === 2
    );
    t.pass();
  });
});

describe("gateway, other callers when a planned stop is over", () => {
  for (
    const [name, version, method] of [["HTTP/1.0", "1.0", "POST"], [
      "HEAD",
      "1.1",
      "HEAD",
    ]]
  ) {
    it(`are answered: ${name}`, async (t) => {
      const { lab, vm } = await openStop(t);
      const [runner] = lab.runners;
      runner.behavior = "silent";
      const caller = openCaller(t, vm);
      caller.write(requestText("/longonce/a", version, method));
      await waitUntil(() => runner.arrivals.length === 1);
      await vm.gateway.drain();
      await caller.closed;
      t.deepEqual(statusesOf(caller), ["502"]);
    });
  }
});

/** Guards against streams that are accepted though such ones never end in the time that is left. */
describe("gateway, a stream without a number of tokens that arrives late in a planned stop", () => {
  for (const [length, events] of [["longer", 60], ["shorter", 20]] as const) {
    it(`is not broken off if the streams of its route usually take ${length}`, async (t) => {
      const { lab, vm } = await openStop(t, LONG_GRACE_MS);
      const [runner] = lab.runners;
      runner.streamEvents = events;
      runner.eventGapMs = 100;
      const headers = { "deadline-ms": String(LONG_MS) };
      const call = () =>
        lab.call(vm, { path: "/streamlong/", method: "POST", headers });
      const usual = Array.from({ length: LEARNT_CALLS }, call);
      for (const answer of usual) t.true((await answer).isComplete);
      const drained = vm.gateway.drain();
      // Callers stay until then.
      const early = call();
      await sleep(LATE_MS);
      const late = await call();
      t.true((await early).isComplete);
      t.true(late.isComplete);
      t.is(late.status, length === "longer" ? 503 : 200);
      await drained;
    });
  }
});

/** Guards against an at-most-once request that is sent when it can't be answered any more. */
describe("gateway, a request that finds a place only when a planned stop is nearly over", () => {
  it("is refused before that, and not run", async (t) => {
    const { lab, vm } = await openStop(t);
    const [runner] = lab.runners;
    lab.store.remove(`servers/${runner.id}`);
    const isKnown = () =>
      (vm.gateway.dump().beliefs as { fleet: { upstreams: unknown[] } })
        .fleet.upstreams.length > 0;
    await waitUntil(() => !isKnown());
    const headers = { "deadline-ms": String(LONG_MS) };
    const answer = lab.call(vm, {
      path: "/longonce/",
      method: "POST",
      headers,
    });
    const drained = vm.gateway.drain();
    await sleep(NEAR_END_MS);
    runner.behavior = "silent";
    lab.register(runner);
    t.is((await answer).status, 503);
    await drained;
    t.is(runner.arrivals.length, 0);
  });
});
