import { describe, it } from "../base/describe.ts";
import {
  firstTokenPercentileMs,
  lastUpstreamOf,
  runScenario,
  servedShare,
} from "../../bench/scenario.ts";

// These tests check what callers get from the real decision modules in front of simulated engines in virtual time;
// `npm run bench -- decisions` has the same engines and more policies. One pool of 6 upstreams serves about 30 requests
// per second.

describe("under load", () => {
  it("callers are served well again soon after a burst ends", (t) => {
    const outcomes = runScenario({
      requestsPerS: (ms) => (ms > 8000 && ms < 11_000 ? 60 : 12),
    });
    const after = outcomes.filter((o) => o.request.atMs > 20_000);
    t.is(servedShare(after), 1);
    t.true(firstTokenPercentileMs(after, 0.95) < 2500);
  });

  it("in saturation, refusals come at once and admitted requests are served in time", (t) => {
    const outcomes = runScenario({ requestsPerS: () => 90 });
    const late = outcomes.filter((o) => o.result === "late");
    t.true(late.length < outcomes.length * 0.01);
    const refused = outcomes.filter((o) => o.result === "refused");
    const atOnce = refused.filter((o) => o.refusedAfterMs! < 100);
    t.true(refused.length > 0);
    t.true(atOnce.length > refused.length * 0.8);
  });

  it("at five times its capacity a pool serves as much as at twice", (t) => {
    const work = (perS: number) =>
      runScenario({ requestsPerS: () => perS })
        .filter((o) => o.result === "served")
        .reduce((sum, o) => sum + o.request.promptTokens, 0);
    t.true(work(150) > 0.97 * work(60));
  });

  // One workspace sends five times the pool's capacity. Its own requests wait and are refused; the others are served as
  // before. In order of arrival, the others would find the queue full of the flood.
  it("a workspace that floods the pool is refused, and the others are not", (t) => {
    const outcomes = runScenario({ requestsPerS: () => 8, floodPerS: 100 });
    const others = outcomes.filter((o) => o.request.workspace !== "flood");
    const flood = outcomes.filter((o) => o.request.workspace === "flood");
    t.true(servedShare(others) > 0.98);
    t.true(servedShare(flood) < 0.7);
  });

  it("short requests stay fast beside long prompts", (t) => {
    const outcomes = runScenario({ requestsPerS: () => 14, longShare: 0.5 });
    const short = outcomes.filter((o) => o.request.type === "short");
    t.true(firstTokenPercentileMs(short, 0.99) < 1500);
  });
});

describe("with a faulty upstream", () => {
  // The upstream still answers, but ten times later, so requests placed on it wait. A second later no more may be
  // placed there, although it has fewer requests in flight than the others and looks least loaded.
  it("a slow upstream gets less work within a second", (t) => {
    const slowAtMs = 10_000;
    const outcomes = runScenario({
      requestsPerS: () => 14,
      schedule: (world) =>
        world.sim.after(
          slowAtMs,
          () => void (world.engines("agadir")[2].slowdown = 10),
        ),
    });
    const after = outcomes.filter((o) => o.request.atMs > slowAtMs + 1000);
    t.true(servedShare(after) > 0.99);
    t.true(firstTokenPercentileMs(after, 0.95) < 2000);
    const there = after.filter((o) => lastUpstreamOf(o) === "agadir-2");
    t.true(there.length < after.length * 0.06);
  });

  // The upstream's process is gone and connections are refused. The first request placed there is retried elsewhere and
  // loses a millisecond. Later ones must not be placed there until the process is back and a probe has found it.
  it("a dead upstream costs callers nothing, and is used again when it is back", (t) => {
    const outcomes = runScenario({
      requestsPerS: () => 14,
      endMs: 40_000,
      schedule: (world) => {
        const engine = world.engines("agadir")[2];
        world.sim.after(8000, () => engine.crash());
        world.sim.after(16_000, () => engine.restart());
      },
    });
    const after = outcomes.filter((o) => o.request.atMs > 8100);
    t.true(servedShare(after) > 0.99);
    const back = after.filter((o) => o.request.atMs > 34_000);
    t.true(back.some((o) => lastUpstreamOf(o) === "agadir-2"));
  });

  // The upstream takes requests, never answers and reports itself idle. Requests placed there miss their deadline. An
  // attempt whose first token is overdue counts against the upstream, so within a second only probes go there, fewer
  // and fewer. By its load reports it would get a sixth of all requests or more.
  it("a silent upstream that reports itself idle gets only probes", (t) => {
    const outcomes = runScenario({
      requestsPerS: () => 14,
      schedule: (world) =>
        world.sim.after(
          10_000,
          () => void (world.engines("agadir")[2].isSilent = true),
        ),
    });
    const there = outcomes.filter((o) => lastUpstreamOf(o) === "agadir-2");
    const soon = there.filter((o) => o.request.atMs > 11_000);
    t.true(soon.length < 0.03 * 14 * 14);
    t.true(there.filter((o) => o.request.atMs > 12_000).length <= 3);
    const rest = outcomes.filter((o) => lastUpstreamOf(o) !== "agadir-2");
    t.is(servedShare(rest), 1);
  });

  // A cause common to all upstreams (a slow link) makes two thirds of them slow at once. If all of these were ejected,
  // the load of six would be left to two, which would look slow in turn.
  it("no more than a third of the upstreams are ejected as slow", (t) => {
    let aside = 0;
    runScenario({
      requestsPerS: () => 10,
      schedule: (world) => {
        world.sim.after(8000, () => {
          for (const i of [0, 1, 2, 3]) {
            world.engines("agadir")[i].slowdown = 12;
          }
        });
        world.sim.every(100, () => {
          const { upstreams } = world.dump("agadir");
          const now = upstreams.filter((u) => u.health === "aside").length;
          aside = Math.max(aside, now);
        });
      },
    });
    t.true(aside > 0);
    t.true(aside <= 2);
  });
});

describe("between regions", () => {
  const regions = ["agadir", "marrakech"];

  it("after a region is lost, its free requests are served elsewhere and its bound ones never", (t) => {
    const outcomes = runScenario({
      regions,
      requestsPerS: () => 8,
      schedule: (world) =>
        world.sim.after(
          10_000,
          () => world.engines("agadir").forEach((engine) => engine.crash()),
        ),
    });
    const lost = outcomes.filter((o) =>
      o.request.region === "agadir" && o.request.atMs > 12_000
    );
    const free = lost.filter((o) => !o.request.bound);
    t.true(servedShare(free) > 0.8);
    t.is(lost.filter((o) => o.request.bound && o.servedIn).length, 0);
    t.true(outcomes.every((o) => o.moves <= 1));
  });

  // Neither region hears from the other. Each must go on serving its own callers, and lose no time with requests that
  // cannot arrive.
  it("both regions keep serving when the link between them is cut", (t) => {
    const outcomes = runScenario({
      regions,
      requestsPerS: () => 14,
      schedule: (world) =>
        world.sim.after(10_000, () => void world.cutRegions.add("agadir")),
    });
    const after = outcomes.filter((o) => o.request.atMs > 14_000);
    t.true(servedShare(after) > 0.97);
    t.is(after.filter((o) => o.moves > 0).length, 0);
  });

  it("cost and away weights send fewer requests away", (t) => {
    const countSent = (objective: object) =>
      runScenario({
        regions,
        objective,
        requestsPerS: (_, region) => (region === "agadir" ? 36 : 6),
      }).filter((o) => o.moves > 0).length;
    const latencyOnly = countSent({
      latencyWeight: 1,
      costWeight: 0,
      awayWeight: 0,
    });
    const penalized = countSent({
      latencyWeight: 1,
      costWeight: 4,
      awayWeight: 8,
    });
    t.true(latencyOnly > 0);
    t.true(penalized < latencyOnly);
  });
});
