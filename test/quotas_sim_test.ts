import { Random } from "../src/base/mod.ts";
import { describe, it } from "../src/base/describe.ts";
import type { QuotaLimit } from "../src/workspaces/mod.ts";
import { QuotaLab } from "./quota_lab.ts";

const FLOOD = 3;
const SETTLE_MS = 12_000;

function limitOf(unitsPerS: number): QuotaLimit {
  return { unit: "tokens", unitsPerS, burstUnits: unitsPerS, plainTokens: 200 };
}

/** Kinds of deployments: how many regions and VMs, and a limit that is large or small for the requests. */
const SITES = {
  "one region": { regions: ["north"], vmsPerRegion: 3, unitsPerS: 1_250_000 },
  "three regions": {
    regions: ["north", "south", "west"],
    vmsPerRegion: 3,
    unitsPerS: 1_250_000,
  },
  "a small limit": { regions: ["north"], vmsPerRegion: 6, unitsPerS: 18_000 },
};
type Site = keyof typeof SITES;

function openLab(site: Site, seed = 1, loss = 0): QuotaLab {
  const { unitsPerS, ...rest } = SITES[site];
  const units = unitsPerS > 100_000 ? 9_244 : 1_100;
  const limit = limitOf(unitsPerS);
  const lab = new QuotaLab({ ...rest, limit, units, seed, loss });
  lab.run(SETTLE_MS);
  return lab;
}

describe("a limit that all VMs share", () => {
  const troubles: Record<string, (lab: QuotaLab, counter: string) => void> = {
    "stops as planned": (lab, counter) => {
      lab.stop(counter);
      lab.run(8_000);
    },
    "is killed": (lab, counter) => {
      lab.kill(counter, 500);
      lab.run(8_000);
    },
    "is killed again and again": (lab) => {
      for (let i = 0; i < 4; i++) {
        lab.kill(lab.counterOf("north")!, 500);
        lab.run(2_500);
      }
      lab.run(4_000);
    },
    "stands still twice": (lab, counter) => {
      for (let i = 0; i < 2; i++) {
        lab.freeze(counter, 2_000);
        lab.run(3_200);
      }
      lab.run(4_000);
    },
    "stands still with its monotonic clock, twice": (lab, counter) => {
      for (let i = 0; i < 2; i++) {
        lab.freeze(counter, 2_000, true);
        lab.run(3_200);
      }
      lab.run(4_000);
    },
    "is late to answer again and again": (lab, counter) => {
      for (let i = 0; i < 7; i++) {
        lab.freeze(counter, 150);
        lab.run(1_200);
      }
    },
  };
  for (const site of Object.keys(SITES) as Site[]) {
    for (const [name, run] of Object.entries(troubles)) {
      it(`is not granted twice when the VM that counts ${name}, ${site}`, (t) => {
        const lab = openLab(site);
        lab.demand = FLOOD;
        lab.run(800);
        run(lab, lab.counterOf("north")!);
        t.log({ most: lab.mostInWindow, served: lab.servedShare(8_000) });
        t.true(lab.mostInWindow <= 1, `${lab.mostInWindow} of it`);
      });
    }
  }

  /** Stops, kills or pauses VMs in series, mostly the one that counts. */
  function disturb(
    lab: QuotaLab,
    seed: number,
    kinds: readonly ("stop" | "kill" | "freeze" | "suspend")[],
  ): void {
    const random = new Random(seed);
    for (let i = 0; i < 12; i++) {
      lab.run(200 + random.int(3_000));
      const ips = lab.ips;
      const ip = random.next() < 0.7
        ? lab.counterOf("north")
        : ips[random.int(ips.length)];
      if (ip === undefined) continue;
      const kind = kinds[random.int(kinds.length)];
      if (kind === "stop") lab.stop(ip);
      else if (kind === "kill") lab.kill(ip, 300 + random.int(1_500));
      else lab.freeze(ip, 100 + random.int(4_000), kind === "suspend");
    }
    lab.run(8_000);
  }

  for (const site of Object.keys(SITES) as Site[]) {
    for (let seed = 1; seed <= 10; seed++) {
      it(`is not granted twice over stops and kills in series, ${site}, seed ${seed}`, (t) => {
        const lab = openLab(site, seed, 0.02);
        lab.demand = FLOOD;
        disturb(lab, seed, ["stop", "kill"]);
        t.true(lab.mostInWindow <= 1, `${lab.mostInWindow} of it`);
      });
    }
    for (let seed = 1; seed <= 30; seed++) {
      it(`is not granted twice over stops, kills and pauses in series, ${site}, seed ${seed}`, (t) => {
        const lab = openLab(site, seed, 0.02);
        lab.demand = FLOOD;
        disturb(lab, seed, ["stop", "kill", "suspend", "freeze"]);
        t.true(lab.mostInWindow <= 1, `${lab.mostInWindow} of it`);
      });
    }
  }

  it("is used in full while nothing happens", (t) => {
    // Slack is most of what a small limit allows.
    for (const site of ["one region", "three regions"] as const) {
      const lab = openLab(site);
      lab.demand = FLOOD;
      lab.run(8_000);
      t.log(site, { most: lab.mostInWindow, served: lab.servedShare(8_000) });
      t.true(lab.mostInWindow >= 0.94, `${site}: ${lab.mostInWindow} of it`);
    }
  });

  it("is used in full around a planned stop of the VM that counts", (t) => {
    const lab = openLab("one region");
    lab.demand = FLOOD;
    lab.run(4_000);
    lab.stop(lab.counterOf("north")!);
    for (let second = 0; second < 10; second++) {
      lab.run(1_000);
      const served = lab.servedShare(1_000);
      t.true(served >= 0.95, `${served} of the rate in second ${second}`);
    }
  });

  it("keeps its unused burst when the VM that counts stops as planned", (t) => {
    const lab = openLab("one region");
    lab.stop(lab.counterOf("north")!);
    lab.run(200);
    lab.demand = FLOOD;
    lab.run(500);
    t.true(lab.servedShare(500) >= 0.95 * FLOOD, `${lab.servedShare(500)}`);
  });

  // Half of the limit is asked for, and most VMs count alone most of the time.
  it("serves callers below it while the VM that counts is late to answer", (t) => {
    const limit = limitOf(1_250_000);
    for (let seed = 1; seed <= 4; seed++) {
      const options = { regions: ["north"], vmsPerRegion: 21 };
      const lab = new QuotaLab({ ...options, limit, units: 9_244, seed });
      lab.run(SETTLE_MS);
      lab.demand = 0.5;
      lab.run(2_000);
      const counter = lab.counterOf("north")!;
      for (let i = 0; i < 7; i++) {
        lab.freeze(counter, 150);
        lab.run(1_200);
      }
      const served = lab.servedShare(8_400) / lab.demand;
      t.true(served >= 0.95, `${served} of the requests, seed ${seed}`);
    }
  });

  it("is counted by one VM of a region again soon after each trouble", (t) => {
    const lab = openLab("one region");
    lab.freeze(lab.counterOf("north")!, 2_000);
    lab.run(4_000);
    t.is(lab.countersIn("north"), 1);
    lab.kill(lab.counterOf("north")!, 500);
    lab.run(4_000);
    t.is(lab.countersIn("north"), 1);
  });
});
