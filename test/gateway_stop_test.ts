import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { makeRoute } from "../src/standins/mod.ts";
import { sleep } from "./cluster.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  GatewayLab,
  type LabVm,
  waitUntil,
} from "./gateway_lab.ts";

/** Longer than the whole stop. */
const LONG_MS = 20_000;
const LONG_ROUTES = [
  makeRoute(),
  makeRoute({
    path_prefix: "/longsafe/",
    timeout_ms: LONG_MS,
    max_attempts: 3,
  }),
  makeRoute({
    path_prefix: "/longonce/",
    kind: "unsafe",
    timeout_ms: LONG_MS,
  }),
  makeRoute({
    path_prefix: "/streamlong/",
    kind: "streaming",
    resumable: true,
    timeout_ms: LONG_MS,
  }),
  makeRoute({
    path_prefix: "/longsouth/",
    kind: "unsafe",
    home_regions: ["south"],
    timeout_ms: LONG_MS,
  }),
];
const GRACE_MS = 3_000;
/** How long a request may wait for a VM's first configuration. */
const CONFIG_WAIT_MS = 250;
/** Before the end of a stop by so much that a plain call is still accepted. */
const EARLY_MS = 200;

interface StopLab {
  readonly lab: GatewayLab;
  readonly vm: LabVm;
}

/** Opens a VM whose only upstream, in a region, accepts requests and answers none. */
async function openSilent(
  t: ExecutionContext,
  region = "north",
): Promise<StopLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(LONG_ROUTES);
  await lab.addRunner(region);
  const vm = await lab.addVm("north", { graceMs: GRACE_MS });
  await lab.waitUntilReady(vm);
  return { lab, vm };
}

/** Opens a VM in the other region too, whose upstream falls silent as soon as a relayed request was served. */
async function openSilentElsewhere(
  t: ExecutionContext,
): Promise<StopLab & { readonly farVm: LabVm }> {
  const { lab, vm } = await openSilent(t, "south");
  const farVm = await lab.addVm("south", { graceMs: GRACE_MS });
  await lab.waitUntilReady(farVm);
  const request = { path: "/longsouth/", method: "POST" };
  await waitUntil(async () => (await lab.call(vm, request)).status === 200);
  return { lab, vm, farVm };
}

/** Sends a request that its upstream never answers, waits until that has it, and stops a VM. */
async function callAndStop(
  { lab, vm }: StopLab,
  stopped: LabVm,
  path: string,
  behavior: "silent" | "headOnly" = "silent",
): Promise<CallerAnswer> {
  const [runner] = lab.runners;
  runner.behavior = behavior;
  const before = runner.arrivals.length;
  const answer = lab.call(vm, longCall(path));
  await waitUntil(() => runner.arrivals.length > before);
  await sleep(EARLY_MS);
  await stopped.gateway.drain();
  return await answer;
}

/** Waits until the VM has set its only upstream aside, as that leaves a request unanswered. */
async function waitUntilAside({ lab, vm }: StopLab): Promise<void> {
  const [runner] = lab.runners;
  runner.behavior = "silent";
  void lab.call(vm, longCall("/longsafe/"));
  await waitUntil(() =>
    vm.log.lines.some(({ event }) => event === "upstream silent")
  );
}

function longCall(path: string): CallerRequest {
  const headers = { "deadline-ms": String(LONG_MS) };
  return { path, method: "POST", headers };
}

function errorOf({ body }: CallerAnswer): { code: number; ran: string } {
  return (JSON.parse(body) as { error: { code: number; ran: string } }).error;
}

/** Guards against requests that end without an answer when the VM's time to stop is over. */
describe("gateway, a request that its upstream leaves unanswered over a planned stop", () => {
  for (
    const [kind, path] of [
      ["an at-most-once request", "/longonce/"],
      ["an idempotent request", "/longsafe/"],
      ["a stream before its first event", "/streamlong/"],
    ]
  ) {
    it(`is told that it may have run: ${kind}`, async (t) => {
      const stop = await openSilent(t);
      const answer = await callAndStop(stop, stop.vm, path);
      t.is(answer.status, 502);
      t.is(errorOf(answer).ran, "unknown");
      t.true(answer.isComplete);
      t.is(answer.headers.connection, "close");
    });
  }

  // The caller has no byte of the answer then, although its upstream has begun one.
  it("is told that it may have run: a stream of which only the head came", async (t) => {
    const stop = await openSilent(t);
    const answer = await callAndStop(
      stop,
      stop.vm,
      "/streamlong/",
      "headOnly",
    );
    t.is(answer.status, 502);
    t.is(errorOf(answer).ran, "unknown");
    t.true(answer.isComplete);
  });

  it("is told that it may have run: a request relayed by the VM that stops", async (t) => {
    const stop = await openSilentElsewhere(t);
    const answer = await callAndStop(stop, stop.vm, "/longsouth/");
    t.is(answer.status, 502);
    t.is(errorOf(answer).ran, "unknown");
  });

  it("is told that it may have run: a request relayed to the VM that stops", async (t) => {
    const stop = await openSilentElsewhere(t);
    const answer = await callAndStop(stop, stop.farVm, "/longsouth/");
    t.is(answer.status, 502);
    t.is(errorOf(answer).ran, "unknown");
    const line = stop.farVm.log.lines.find(({ fields }) =>
      fields.relayed === true && fields.outcome !== "ok"
    );
    t.is(line?.fields.outcome, "cutByStop");
  });

  it("is served by another upstream before the end if it may be repeated", async (t) => {
    const lab = new GatewayLab();
    t.teardown(() => lab.close());
    lab.configure(LONG_ROUTES);
    for (let i = 0; i < 3; i++) {
      (await lab.addRunner()).behavior = "silent";
    }
    const vm = await lab.addVm("north", { graceMs: GRACE_MS });
    await lab.waitUntilReady(vm);
    const answer = lab.call(vm, longCall("/longsafe/"));
    const idle = () =>
      lab.runners.filter(({ arrivals }) => arrivals.length === 0);
    // The first upstream is given up by itself, the second one is not.
    await waitUntil(() => idle().length === 1);
    idle()[0].behavior = "well";
    const drained = vm.gateway.drain();
    t.is((await answer).status, 200);
    await drained;
  });

  it("is told in the log and counted as cut by the stop", async (t) => {
    const stop = await openSilent(t);
    await callAndStop(stop, stop.vm, "/longonce/");
    const line = stop.vm.log.lines.find(({ event }) => event === "request");
    t.is(line?.fields.outcome, "cutByStop");
  });
});

/** Guards against requests that a VM accepts though it will have stopped before their answer. */
describe("gateway, a request that arrives during a planned stop", () => {
  it("is refused at once, and not run, if its service is silent and its deadline later", async (t) => {
    const stop = await openSilent(t);
    const { lab, vm } = stop;
    await waitUntilAside(stop);
    const arrivals = lab.runners[0].arrivals.length;
    const drained = vm.gateway.drain();
    const answer = await lab.call(vm, longCall("/longonce/"));
    t.is(answer.status, 503);
    t.is(errorOf(answer).ran, "no");
    t.is(lab.runners[0].arrivals.length, arrivals);
    await drained;
  });

  it("is refused at once, and not run, by a VM that waits for its first configuration", async (t) => {
    const lab = new GatewayLab();
    t.teardown(() => lab.close());
    const vm = await lab.addVm("north", { graceMs: GRACE_MS });
    const drained = vm.gateway.drain();
    const sentMs = performance.now();
    const answer = await lab.call(vm, longCall("/longonce/"));
    t.is(answer.status, 503);
    t.true(performance.now() - sentMs < CONFIG_WAIT_MS);
    await drained;
  });

  it("is served if its service answers as usual", async (t) => {
    const { lab, vm } = await openSilent(t);
    const drained = vm.gateway.drain();
    const answer = await lab.call(vm, longCall("/longonce/"));
    t.is(answer.status, 200);
    await drained;
  });

  it("is served at another VM of the region that it was relayed to", async (t) => {
    const { lab, vm, farVm } = await openSilentElsewhere(t);
    const otherFarVm = await lab.addVm("south", { graceMs: GRACE_MS });
    await lab.waitUntilReady(otherFarVm);
    await lab.waitUntilAllKnown();
    // So late that it refuses a plain call; the near VM may not have heard of the stop.
    const bounds = { ...farVm.settings.bounds, graceMs: 1_000 };
    farVm.gateway.reload({ ...farVm.settings, bounds });
    const drained = farVm.gateway.drain();
    const answers = await Promise.all(
      Array.from({ length: 20 }, () => lab.call(vm, longCall("/longsouth/"))),
    );
    t.deepEqual(new Set(answers.map(({ status }) => status)), new Set([200]));
    await drained;
  });
});
