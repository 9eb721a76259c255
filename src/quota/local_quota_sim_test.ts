import { Random } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import type { QuotaLimit } from "../workspaces/mod.ts";
import { EqualShares, LocalQuota, RegionQuota } from "./mod.ts";

const REGIONS = ["north", "south", "west"];
const VMS_PER_REGION = 21;
const VMS = REGIONS.length * VMS_PER_REGION;
const STEP_MS = 10;
const WINDOW_MS = 8_000;
const SECONDS = 30;
const WORKSPACE = "convoys";
const SLACK = { excess: 0.1, slackUnits: 72_000, windowMs: WINDOW_MS };
/** A lead regards a VM as silent after this time. */
const SILENT_MS = 1_500;

interface Cut {
  readonly isCut: (vm: number, nowMs: number) => boolean;
  /** Whether a VM restarts at a time. */
  readonly restarts?: (vm: number, nowMs: number) => boolean;
}

/**
 * Simulates all VMs of three regions under a flood. A VM asks its region's lead, or uses its own part while it is cut off.
 * The lead does not use the parts of VMs that it doesn't hear, once it has noticed. Returns the maximum units in any
 * window, as a share of what operators tolerate.
 */
function simulate(
  limit: QuotaLimit,
  units: number,
  { isCut, restarts }: Cut,
  seed: number,
): number {
  const random = new Random(seed);
  const limitOf = () => limit;
  const leads = REGIONS.map((region) =>
    new RegionQuota(new EqualShares(region, REGIONS), limitOf, SLACK, 0)
  );
  const createQuota = (vm: number, nowMs: number) =>
    new LocalQuota(`vm-${vm}`, limitOf, SLACK, nowMs);
  const quotas = Array.from({ length: VMS }, (_, vm) => createQuota(vm, 0));
  const heardMs = quotas.map(() => 0);
  const passed: number[] = [];
  const use = { workspace: WORKSPACE, units };
  for (let nowMs = 0; nowMs < SECONDS * 1_000; nowMs += STEP_MS) {
    for (let vm = 0; vm < VMS; vm++) {
      if (restarts?.(vm, nowMs)) quotas[vm] = createQuota(vm, nowMs);
      if (!isCut(vm, nowMs)) heardMs[vm] = nowMs;
    }
    const heardShares = REGIONS.map((_, region) => {
      const vms = heardMs.filter((ms, vm) =>
        vm % REGIONS.length === region && nowMs - ms < SILENT_MS
      );
      return vms.length / VMS_PER_REGION;
    });
    let sum = 0;
    for (let call = 0; call < VMS; call++) {
      const vm = random.int(VMS);
      const region = vm % REGIONS.length;
      if (isCut(vm, nowMs)) {
        if (quotas[vm].waitMs(use, VMS, nowMs) > 0) continue;
        quotas[vm].take(use, VMS, nowMs);
      } else {
        if (leads[region].waitMs(use, heardShares[region], nowMs) > 0) continue;
        leads[region].take(use, heardShares[region], nowMs);
      }
      sum += units;
    }
    passed.push(sum);
  }
  const steps = WINDOW_MS / STEP_MS;
  let most = 0;
  let window = 0;
  passed.forEach((sum, at) => {
    window += sum - (passed[at - steps] ?? 0);
    most = Math.max(most, window);
  });
  const allowed = (limit.unitsPerS * WINDOW_MS / 1_000 + limit.burstUnits) *
      (1 + SLACK.excess) + SLACK.slackUnits;
  return most / allowed;
}

function limitOf(unitsPerS: number): QuotaLimit {
  return { unit: "tokens", unitsPerS, burstUnits: unitsPerS, plainTokens: 200 };
}

// VMs that are cut off from all other VMs still have callers, and reach engines. What they admit together with the leads
// must stay within what operators tolerate, for a workspace of any size.
describe("parts of cut-off VMs", () => {
  const isOn = (nowMs: number) => nowMs >= 6_000 && nowMs < 18_000;
  const cuts: Record<string, Cut> = {
    "no VM cut": { isCut: () => false },
    "a third cut": { isCut: (vm, nowMs) => vm % 3 === 0 && isOn(nowMs) },
    "a region's VMs cut": {
      isCut: (vm, nowMs) => vm % REGIONS.length === 0 && isOn(nowMs),
    },
    "all cut": { isCut: (_vm, nowMs) => isOn(nowMs) },
    "a quarter cut again and again": {
      isCut: (vm, nowMs) => vm % 4 === 0 && nowMs % 4_000 < 2_000,
    },
    "all cut and restarted": {
      isCut: (_vm, nowMs) => isOn(nowMs),
      restarts: (_vm, nowMs) => nowMs === 9_000,
    },
  };
  for (const [name, cut] of Object.entries(cuts)) {
    for (const unitsPerS of [18_000, 100_000, 1_250_000]) {
      for (const units of [200, 1_100, 9_240]) {
        it(`stay within the bound with ${name}, ${unitsPerS} a second, ${units} a request`, (t) => {
          for (const seed of [1, 2]) {
            const most = simulate(limitOf(unitsPerS), units, cut, seed);
            t.true(most <= 1, `${most}`);
          }
        });
      }
    }
  }

  it("admit requests while all VMs are cut off", (t) => {
    const limit = limitOf(1_250_000);
    t.true(simulate(limit, 1_100, cuts["all cut"], 1) > 0.5);
  });
});
