import { describe, it } from "../base/describe.ts";
import {
  lastOf,
  outcomesOf,
  percentileOf,
  servedShare,
} from "../../bench/scenario.ts";

// These look at what callers get from the real decision modules in front of engines in virtual time;
// `npm run bench -- decisions` has the same engines and more policies. One pool of 6 upstreams serves about 30 requests a second.

describe("under load", () => {
  it("a burst is over for the callers soon after it ends", (t) => {
    const outcomes = outcomesOf({
      perS: (ms) => (ms > 8000 && ms < 11_000 ? 60 : 12),
    });
    const after = outcomes.filter((o) => o.ask.atMs > 20_000);
    t.is(servedShare(after), 1);
    t.true(percentileOf(after, 0.95) < 2500);
  });

  it("refusals in saturation come at once and keep what is admitted in time", (t) => {
    const outcomes = outcomesOf({ perS: () => 90 });
    const late = outcomes.filter((o) => o.result === "late");
    t.true(late.length < outcomes.length * 0.01);
    const refused = outcomes.filter((o) => o.result === "refused");
    const atOnce = refused.filter((o) => o.refusedAfterMs! < 100);
    t.true(refused.length > 0);
    t.true(atOnce.length > refused.length * 0.8);
  });

  it("saturation at five times capacity serves as much as at twice", (t) => {
    const work = (perS: number) =>
      outcomesOf({ perS: () => perS })
        .filter((o) => o.result === "served")
        .reduce((sum, o) => sum + o.ask.promptTokens, 0);
    t.true(work(150) > 0.97 * work(60));
  });

  // One workspace sends five times the pool's capacity. Its own requests wait and are refused; the others ask as
  // before. If order were by arrival, they would find the queue full of the flood.
  it("one workspace's flood is refused to it and not to others", (t) => {
    const outcomes = outcomesOf({ perS: () => 8, floodPerS: 100 });
    const others = outcomes.filter((o) => o.ask.workspace !== "flood");
    const flood = outcomes.filter((o) => o.ask.workspace === "flood");
    t.true(servedShare(others) > 0.98);
    t.true(servedShare(flood) < 0.7);
  });

  it("short questions keep their time beside long prompts", (t) => {
    const outcomes = outcomesOf({ perS: () => 14, longShare: 0.5 });
    const short = outcomes.filter((o) => o.ask.type === "short");
    t.true(percentileOf(short, 0.99) < 1500);
  });
});

describe("with an ill upstream", () => {
  // It still answers, ten times later. Callers placed there wait; those that come a second later must not be, though
  // it has fewer requests in flight than the others and looks least loaded.
  it("a slow one gets less work within a second", (t) => {
    const slowAtMs = 10_000;
    const outcomes = outcomesOf({
      perS: () => 14,
      during: (world) =>
        world.sim.after(
          slowAtMs,
          () => void (world.engines("agadir")[2].slow = 10),
        ),
    });
    const after = outcomes.filter((o) => o.ask.atMs > slowAtMs + 1000);
    t.true(servedShare(after) > 0.99);
    t.true(percentileOf(after, 0.95) < 2000);
    const there = after.filter((o) => lastOf(o) === "agadir-2");
    t.true(there.length < after.length * 0.06);
  });

  // Its process is gone: connections are refused. The first caller placed there is retried elsewhere and pays a
  // millisecond; later ones must not be placed there, until it is back and a probe has found it.
  it("a dead one costs callers nothing, and is used again", (t) => {
    const outcomes = outcomesOf({
      perS: () => 14,
      endMs: 40_000,
      during: (world) => {
        const engine = world.engines("agadir")[2];
        world.sim.after(8000, () => engine.die());
        world.sim.after(16_000, () => engine.revive());
      },
    });
    const after = outcomes.filter((o) => o.ask.atMs > 8100);
    t.true(servedShare(after) > 0.99);
    const back = after.filter((o) => o.ask.atMs > 34_000);
    t.true(back.some((o) => lastOf(o) === "agadir-2"));
  });

  // It takes requests and never answers, and reports itself idle. Callers placed there are lost to their deadline. An
  // attempt whose first token is overdue speaks against it, so within a second only probes go there, ever fewer; by
  // its reports it would get a sixth of all or more.
  it("a silent one that reports itself idle draws only probes", (t) => {
    const outcomes = outcomesOf({
      perS: () => 14,
      during: (world) =>
        world.sim.after(
          10_000,
          () => void (world.engines("agadir")[2].silent = true),
        ),
    });
    const there = outcomes.filter((o) => lastOf(o) === "agadir-2");
    const soon = there.filter((o) => o.ask.atMs > 11_000);
    t.true(soon.length < 0.03 * 14 * 14);
    t.true(there.filter((o) => o.ask.atMs > 12_000).length <= 3);
    const rest = outcomes.filter((o) => lastOf(o) !== "agadir-2");
    t.is(servedShare(rest), 1);
  });

  // Something common to all upstreams (a slow link) makes two thirds of them slow at once. Setting all of these aside
  // would leave the load of six to two, which would look slow in turn.
  it("no more than a third are set aside as slow", (t) => {
    let aside = 0;
    outcomesOf({
      perS: () => 10,
      during: (world) => {
        world.sim.after(8000, () => {
          for (const i of [0, 1, 2, 3]) world.engines("agadir")[i].slow = 12;
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

  it("a lost region's free requests are served elsewhere, its bound ones never", (t) => {
    const outcomes = outcomesOf({
      regions,
      perS: () => 8,
      during: (world) =>
        world.sim.after(
          10_000,
          () => world.engines("agadir").forEach((engine) => engine.die()),
        ),
    });
    const lost = outcomes.filter((o) =>
      o.ask.region === "agadir" && o.ask.atMs > 12_000
    );
    const free = lost.filter((o) => !o.ask.bound);
    t.true(servedShare(free) > 0.8);
    t.is(lost.filter((o) => o.ask.bound && o.servedIn).length, 0);
    t.true(outcomes.every((o) => o.moves <= 1));
  });

  // Neither region hears the other. Each must go on serving its own callers, and waste no time on sends that cannot
  // arrive.
  it("a cut leaves both regions serving", (t) => {
    const outcomes = outcomesOf({
      regions,
      perS: () => 14,
      during: (world) =>
        world.sim.after(10_000, () => void world.cut.add("agadir")),
    });
    const after = outcomes.filter((o) => o.ask.atMs > 14_000);
    t.true(servedShare(after) > 0.97);
    t.is(after.filter((o) => o.moves > 0).length, 0);
  });

  it("weights against sending away send less", (t) => {
    const countSent = (objective: object) =>
      outcomesOf({
        regions,
        objective,
        perS: (_, region) => (region === "agadir" ? 36 : 6),
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
