import { describe, it } from "../src/base/describe.ts";
import { isReader, orderLeads, type VmRecord } from "../src/region/mod.ts";
import { drawPlan, type Fault } from "./plan.ts";

const SEEDS = 50;
const OPTIONS = { vms: 6, runners: 8, domains: 2, faultsMs: 10_000 };
const OWN_KINDS = new Set(["silence", "killRegion", "lapseOutage", "evacuate"]);

/** The faults as sorted texts, since faults of one moment may be in any order. */
function formatSorted(faults: readonly Fault[]): string[] {
  return faults.map((fault) => JSON.stringify(fault)).sort();
}

function placeAmongKills(atMs: number, kills: readonly Fault[]): string {
  if (atMs < kills[0].atMs) return "before";
  const isAway = kills.some((kill) =>
    atMs >= kill.atMs && atMs <= kill.atMs + kill.forMs
  );
  return isAway ? "away" : "between";
}

describe("a soak's plan", () => {
  it("keeps a seed's other faults when lapses come beside them", (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      for (const crashes of ["none", "beside"] as const) {
        const options = { ...OPTIONS, crashes };
        const others = drawPlan(seed, options);
        const lapses = drawPlan(seed, { ...OPTIONS, lapses: "only" });
        const both = drawPlan(seed, { ...options, lapses: "beside" });
        t.deepEqual(formatSorted(both), formatSorted([...others, ...lapses]));
        t.true(lapses.every(({ kind }) => OWN_KINDS.has(kind)));
      }
    }
  });

  it("keeps a seed's other faults when notices come beside them", (t) => {
    const kinds = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const others = drawPlan(seed, OPTIONS);
      const notices = drawPlan(seed, { ...OPTIONS, notices: "only" });
      const both = drawPlan(seed, { ...OPTIONS, notices: "beside" });
      t.deepEqual(formatSorted(both), formatSorted([...others, ...notices]));
      for (const { kind } of notices) kinds.add(kind);
    }
    t.deepEqual([...kinds].sort(), ["config", "farewell", "rest", "restore"]);
  });

  it("keeps a seed's other faults when a store that comes back without a configuration comes beside them", (t) => {
    const victimCounts = new Set<number>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const others = drawPlan(seed, OPTIONS);
      const returns = drawPlan(seed, { ...OPTIONS, returns: "only" });
      const both = drawPlan(seed, { ...OPTIONS, returns: "beside" });
      t.deepEqual(formatSorted(both), formatSorted([...others, ...returns]));
      for (const fault of returns) {
        if (fault.kind !== "lostConfig") return t.fail(fault.kind);
        t.true(fault.killDelayMs < fault.rewriteDelayMs);
        victimCounts.add(fault.vms.length);
      }
    }
    t.false(victimCounts.has(OPTIONS.vms));
    t.true(victimCounts.has(OPTIONS.vms / OPTIONS.domains));
  });

  it("keeps a seed's other faults when endings of answers come beside them", (t) => {
    const drawn = new Set<string | undefined>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const others = drawPlan(seed, OPTIONS);
      const endings = drawPlan(seed, { ...OPTIONS, endings: "only" });
      const both = drawPlan(seed, { ...OPTIONS, endings: "beside" });
      t.deepEqual(formatSorted(both), formatSorted([...others, ...endings]));
      for (const fault of endings) {
        if (fault.kind !== "ending") return t.fail(fault.kind);
        const isUntellable = fault.framing === "unframed" &&
          fault.plainEnding === "closeInEvent";
        t.false(isUntellable);
        drawn.add(fault.ending).add(fault.crash);
      }
    }
    const streamEndings = ["closeInEvent", "resetInEvent", "resetAfterEvent"];
    t.deepEqual(
      [...drawn].sort(),
      ["whole", ...streamEndings, undefined, "close", "reset"].sort(),
    );
  });

  it("keeps a seed's other faults when replacements by other versions come beside them", (t) => {
    const drawn = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const others = drawPlan(seed, OPTIONS);
      const versions = drawPlan(seed, { ...OPTIONS, versions: "only" });
      const both = drawPlan(seed, { ...OPTIONS, versions: "beside" });
      t.deepEqual(formatSorted(both), formatSorted([...others, ...versions]));
      for (const fault of versions) {
        const isReplace = fault.kind === "replace";
        drawn.add(isReplace ? `${fault.version} ${fault.keepsId}` : fault.kind);
      }
    }
    const replacements = ["v1", "v2", "v3"].flatMap((version) =>
      [true, false].map((keepsId) => `${version} ${keepsId}`)
    );
    t.deepEqual(
      [...drawn].sort(),
      [...replacements, "kill", "stop", "drain"].sort(),
    );
  });

  it("keeps a seed's other faults when kills of all VMs come beside them", (t) => {
    const drawn = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const others = drawPlan(seed, OPTIONS);
      const kills = drawPlan(seed, { ...OPTIONS, fleetKills: "only" });
      const both = drawPlan(seed, { ...OPTIONS, fleetKills: "beside" });
      t.deepEqual(formatSorted(both), formatSorted([...others, ...kills]));
      for (const { kind } of kills) drawn.add(kind);
    }
    t.deepEqual(
      [...drawn].sort(),
      [...OWN_KINDS, "killFleet", "release", "store"].filter((kind) =>
        kind !== "killRegion"
      ).sort(),
    );
  });

  it("replaces upstreams before all VMs are killed, while they are away and between two kills", (t) => {
    const places = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const faults = drawPlan(seed, {
        ...OPTIONS,
        faultsMs: 1,
        fleetKills: "only",
      });
      const kills = faults.filter(({ kind }) => kind === "killFleet");
      for (const fault of faults) {
        if (fault.kind !== "release") continue;
        places.add(`${fault.from} ${fault.keepsId}`);
        places.add(placeAmongKills(fault.atMs, kills));
      }
      places.add(`${kills.length}`);
    }
    const versions = ["v1", "v2", "v3", "undefined"].flatMap((from) =>
      [true, false].map((keepsId) => `${from} ${keepsId}`)
    );
    t.deepEqual(
      [...places].sort(),
      ["1", "2", "3", ...versions, "before", "away", "between"].sort(),
    );
  });

  it("keeps a seed's other faults when stops among silent upstreams come beside them", (t) => {
    const drawn = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const others = drawPlan(seed, OPTIONS);
      const stops = drawPlan(seed, { ...OPTIONS, stops: "only" });
      const both = drawPlan(seed, { ...OPTIONS, stops: "beside" });
      t.deepEqual(formatSorted(both), formatSorted([...others, ...stops]));
      for (const fault of stops) {
        drawn.add(fault.kind === "quiet" ? fault.how : fault.kind);
      }
    }
    const quiet = ["silent", "headOnly", "paused", "slow", "slowEvents"];
    const planned = ["stop", "hangUp", "config", "drain"];
    t.deepEqual([...drawn].sort(), [...quiet, ...planned].sort());
  });

  it("stops VMs of both regions in turn, at one moment and overlapping, some again while they stop or start", (t) => {
    const rhythms = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      const options = { ...OPTIONS, faultsMs: 1, stops: "only" } as const;
      const stops = drawPlan(seed, options).flatMap((fault) =>
        fault.kind === "stop" ? [fault] : []
      );
      const firstOf = new Map<number, Fault>();
      for (const stop of stops) {
        const first = firstOf.get(stop.vm);
        if (!first) firstOf.set(stop.vm, stop);
        else if (stop.forMs === 0) rhythms.add("again while it stops");
        else rhythms.add("again when it may start");
      }
      const [first, second] = [...firstOf];
      const gapMs = second[1].atMs - first[1].atMs;
      t.not(first[0] % OPTIONS.domains, second[0] % OPTIONS.domains);
      if (gapMs === 0) rhythms.add("at one moment");
      else rhythms.add(gapMs > first[1].forMs ? "in turn" : "overlapping");
    }
    t.deepEqual([...rhythms].sort(), [
      "again when it may start",
      "again while it stops",
      "at one moment",
      "in turn",
      "overlapping",
    ]);
  });

  const findKilled = (vms: number): string[] => {
    const options = { ...OPTIONS, vms, lapses: "only" } as const;
    const killed = new Set<string>();
    for (let seed = 1; seed <= SEEDS; seed++) {
      for (const fault of drawPlan(seed, options)) {
        if (fault.kind === "killRegion") killed.add([...fault.vms].join());
      }
    }
    return [...killed].sort();
  };

  it("kills all VMs of a small region, or all but one", (t) => {
    const north = ["0,2", "0,2,4", "0,4", "2,4"];
    const south = ["1,3", "1,3,5", "1,5", "3,5"];
    t.deepEqual(findKilled(6), [...north, ...south].sort());
  });

  it("kills the readers of a larger region", (t) => {
    const findReaders = (region: number) => {
      const vms = [0, 1, 2, 3, 4].map((place) => ({
        id: `vm-${2 * place + region}`,
        failureDomain: "a",
        cores: 1,
      }));
      const order = orderLeads(vms as unknown as VmRecord[])
        .map((vm) => ({ ...vm, isServed: true }));
      return order.filter(({ id }) => isReader(id, order))
        .map(({ id }) => Number(id.slice("vm-".length))).join();
    };
    t.deepEqual(findKilled(10), [findReaders(0), findReaders(1)].sort());
  });
});
