import { Random } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { SharerCount } from "../region/mod.ts";
import { RetryBudget } from "./mod.ts";

const LIMITS = { ratio: 0.2, slack: 54, windowMs: 10_000 };
const STEP_MS = 50;
const DAY_MS = 60_000;
/** After the start of the faults, which is when most of the day's processes know the fleet. */
const FAULTS_FROM_MS = 20_000;
/** How long a new process hears nobody. */
const LEARN_MS = 250;
/** How long silent VMs are counted. */
const FORGET_MS = 15_000;

/** What happens on a simulated day. */
interface Day {
  readonly vms: number;
  readonly perS: (nowMs: number) => number;
  /** Whether a VM's process is killed and begins anew. */
  readonly restarts?: (vm: number, nowMs: number) => boolean;
  /** Whether a VM hears no other. */
  readonly isAlone?: (vm: number, nowMs: number) => boolean;
  readonly failures?: number;
}

/** One VM of the simulation. */
interface SimVm {
  budget: RetryBudget;
  sharers: SharerCount;
  bornMs: number;
  heardMs: number;
}

/** The repeats and requests of each step, and the share of the failed requests that were repeated. */
interface Outcome {
  readonly requests: readonly number[];
  readonly repeats: readonly number[];
  readonly repeatedShare: number;
}

function simulate(day: Day, seed: number): Outcome {
  const random = new Random(seed);
  const open = (nowMs: number): SimVm => ({
    budget: new RetryBudget(LIMITS, nowMs),
    sharers: new SharerCount(day.vms > 1, nowMs),
    bornMs: nowMs,
    heardMs: -Infinity,
  });
  const vms = Array.from({ length: day.vms }, () => open(-DAY_MS));
  const requests: number[] = [];
  const repeats: number[] = [];
  let failed = 0;
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += STEP_MS) {
    const hasFaults = nowMs >= FAULTS_FROM_MS;
    vms.forEach((vm, index) => {
      if (hasFaults && day.restarts?.(index, nowMs)) {
        Object.assign(vm, open(nowMs));
      }
      const isAlone = hasFaults && day.isAlone?.(index, nowMs);
      if (!isAlone && nowMs - vm.bornMs >= LEARN_MS) vm.heardMs = nowMs;
      vm.sharers.note(
        nowMs - vm.heardMs < FORGET_MS ? day.vms : 1,
        nowMs,
      );
    });
    const perStep = day.perS(nowMs) * STEP_MS / 1_000;
    const count = Math.floor(perStep) + (random.next() < perStep % 1 ? 1 : 0);
    requests.push(count);
    repeats.push(0);
    for (let i = 0; i < count; i++) {
      const { budget, sharers } = random.pick(vms);
      budget.countRequest(nowMs);
      if (random.next() >= (day.failures ?? 1)) continue;
      failed++;
      if (budget.tryTake(nowMs, sharers.count)) repeats[repeats.length - 1]++;
    }
  }
  const repeated = sum(repeats, 0, repeats.length);
  return { requests, repeats, repeatedShare: repeated / Math.max(1, failed) };
}

function sum(counts: readonly number[], from: number, to: number): number {
  let total = 0;
  for (let at = Math.max(0, from); at < to; at++) total += counts[at] ?? 0;
  return total;
}

/** The most repeats in any window, as a share of what operators allow in it. */
function worstShare({ requests, repeats }: Outcome): number {
  const steps = LIMITS.windowMs / STEP_MS;
  let worst = 0;
  for (let from = 0; from + steps <= requests.length; from += 4) {
    const counted = Math.max(
      ...[0, steps / 2, steps].map((back) =>
        sum(requests, from - back, from - back + steps)
      ),
    );
    const allowed = LIMITS.ratio * counted + LIMITS.slack;
    worst = Math.max(worst, sum(repeats, from, from + steps) / allowed);
  }
  return worst;
}

const every = (periodMs: number) => (_vm: number, nowMs: number) =>
  (nowMs - FAULTS_FROM_MS) % periodMs === 0;

/** Days on which every request fails. */
const DAYS: Readonly<Record<string, Day>> = {
  "nothing else happens": { vms: 7, perS: () => 30 },
  "three VMs all start anew four times in 9 s": {
    vms: 3,
    perS: () => 30,
    restarts: every(2_250),
  },
  "seven VMs all start anew every 1.3 s": {
    vms: 7,
    perS: () => 40,
    restarts: every(1_300),
  },
  "sixty VMs start anew one after the other, all within a window": {
    vms: 60,
    perS: () => 40,
    restarts: (vm, nowMs) => (nowMs / STEP_MS) % 200 === vm * 3,
  },
  "one VM starts anew every 2 s": {
    vms: 1,
    perS: () => 10,
    restarts: every(2_000),
  },
  "seven VMs are cut off each alone for 30 s": {
    vms: 7,
    perS: () => 10,
    isAlone: (_vm, nowMs) => nowMs < FAULTS_FROM_MS + 30_000,
  },
  "seven VMs start anew behind a cut, each alone": {
    vms: 7,
    perS: () => 10,
    restarts: every(DAY_MS),
    isAlone: () => true,
  },
  "a burst ends": {
    vms: 7,
    perS: (nowMs) => nowMs % 20_000 < 6_000 ? 120 : 1,
  },
  "two short bursts come one window apart": {
    vms: 7,
    perS: (nowMs) => nowMs % 9_500 < 500 ? 600 : 0,
  },
};

const SEEDS = [1, 2, 3];

describe("the retry budget over all VMs", () => {
  for (const [what, day] of Object.entries(DAYS)) {
    it(`is kept in every window where ${what}`, (t) => {
      for (const seed of SEEDS) {
        const share = worstShare(simulate(day, seed));
        t.true(share <= 1, `${share.toFixed(2)} with seed ${seed}`);
      }
    });
  }

  it("repeats nearly all of the few failures of a sound fleet", (t) => {
    for (const [vms, perS] of [[1, 5], [7, 30], [60, 300]]) {
      const day = { vms, perS: () => perS, failures: 0.03 };
      for (const seed of SEEDS) {
        const { repeatedShare } = simulate(day, seed);
        t.true(repeatedShare >= 0.97, `${repeatedShare} of ${vms} VMs`);
      }
    }
  });

  it("repeats the first failures at a VM that is alone and has just started", (t) => {
    const budget = new RetryBudget(LIMITS, 0);
    budget.countRequest(0);
    t.true(budget.tryTake(0, 1));
    budget.countRequest(1);
    t.true(budget.tryTake(1, 1));
  });

  it("repeats most of the few failures while each VM starts anew once a minute", (t) => {
    const day = {
      vms: 7,
      perS: () => 30,
      failures: 0.03,
      restarts: (vm: number, nowMs: number) =>
        nowMs === FAULTS_FROM_MS + vm * 4_000,
    };
    for (const seed of SEEDS) {
      const { repeatedShare } = simulate(day, seed);
      t.true(repeatedShare >= 0.8, `${repeatedShare}`);
    }
  });
});
