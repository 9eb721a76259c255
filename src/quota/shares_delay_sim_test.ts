import { Random } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { MovingShares, type ShareReport } from "./mod.ts";

const REGIONS = ["north", "south", "west"];
const STEP_MS = 10;
const TICK_MS = 250;
const LINK_DELAY_MS = 80;
/** When a new first lead begins to count for its region, and hears its callers. */
const AUTHORITY_DELAY_MS = 750;
const MAX_DELAY_MS = 20_000;
const UNITS_PER_STEP = 1_000;
const EQUAL_SHARE = 0.333;

interface Restart {
  /** Workspaces that callers use in the other regions. */
  readonly workspaces: number;
  /** Workspaces among them that callers of the restarted region use. */
  readonly used: number;
  readonly loss: number;
}

/**
 * The north's lead starts without standby state. Returns how long it may use less than an equal share of a workspace that
 * its callers use, from the moment at which it counts for its region: the last workspace, and half of them.
 */
function measureDelay(
  { workspaces, used, loss }: Restart,
  seed: number,
): { readonly lastMs: number; readonly halfMs: number } {
  const random = new Random(seed);
  const names = Array.from({ length: workspaces }, (_, at) => `w${at}`);
  // Neither the first nor the last of a round.
  const usedNames = names.filter((_, at) =>
    Math.floor(at * used / workspaces) !==
      Math.floor((at + 1) * used / workspaces)
  );
  const leads = new Map(
    REGIONS.map((region) => [region, new MovingShares(region, REGIONS, 0)]),
  );
  const phaseMs = new Map(
    REGIONS.map((
      region,
    ) => [region, Math.floor(random.next() * TICK_MS / STEP_MS) * STEP_MS]),
  );
  const startMs = 5_000 + phaseMs.get("north")!;
  const inFlight: { atMs: number; to: string; report: ShareReport }[] = [];
  const fullMs = new Map<string, number>();
  for (let nowMs = 0; nowMs < startMs + MAX_DELAY_MS; nowMs += STEP_MS) {
    if (nowMs === startMs) {
      const next = new MovingShares("north", REGIONS, nowMs);
      next.startLeading(nowMs);
      leads.set("north", next);
    }
    while (inFlight.length > 0 && inFlight[0].atMs <= nowMs) {
      const { to, report } = inFlight.shift()!;
      leads.get(to)!.applyReport(report, nowMs);
    }
    for (const [region, lead] of leads) {
      const isNorth = region === "north";
      const isDeaf = isNorth && nowMs >= startMs &&
        nowMs < startMs + AUTHORITY_DELAY_MS;
      if (isDeaf) continue;
      for (const name of isNorth ? usedNames : names) {
        lead.noteDemand(name, UNITS_PER_STEP, nowMs);
      }
    }
    for (const [region, lead] of leads) {
      if (nowMs % TICK_MS !== phaseMs.get(region)) continue;
      for (const to of REGIONS) {
        if (to === region || random.next() < loss) continue;
        const report = lead.buildReport(to, nowMs)!;
        inFlight.push({ atMs: nowMs + LINK_DELAY_MS, to, report });
      }
    }
    if (nowMs < startMs + AUTHORITY_DELAY_MS) continue;
    for (const name of usedNames) {
      if (fullMs.has(name)) continue;
      if (leads.get("north")!.shareOf(name, nowMs) < EQUAL_SHARE) continue;
      fullMs.set(name, nowMs - startMs - AUTHORITY_DELAY_MS);
    }
    if (fullMs.size === usedNames.length) break;
  }
  const delays = usedNames.map((name) => fullMs.get(name) ?? Infinity)
    .sort((a, b) => a - b);
  return {
    lastMs: delays.at(-1)!,
    halfMs: delays[Math.floor(delays.length / 2)],
  };
}

describe("shares of a limit", () => {
  // Whatever a new lead doesn't know, it may not use; its callers are refused for that time.
  describe("are fully used by a new lead that was told nothing", () => {
    const cases: readonly (Restart & { readonly maxMs: number })[] = [
      { workspaces: 48, used: 48, loss: 0, maxMs: 0 },
      { workspaces: 48, used: 48, loss: 0.33, maxMs: 1_000 },
      { workspaces: 100, used: 100, loss: 0, maxMs: 0 },
      { workspaces: 300, used: 30, loss: 0, maxMs: 700 },
      { workspaces: 300, used: 300, loss: 0, maxMs: 2_000 },
      { workspaces: 1_000, used: 30, loss: 0, maxMs: 700 },
      { workspaces: 1_000, used: 30, loss: 0.33, maxMs: 2_500 },
      { workspaces: 1_000, used: 1_000, loss: 0, maxMs: 6_000 },
    ];
    for (const { maxMs, ...restart } of cases) {
      const { workspaces, used, loss } = restart;
      it(`within ${maxMs} ms, ${used} of ${workspaces} workspaces, ${loss} lost`, (t) => {
        const runs = Array.from(
          { length: 10 },
          (_, seed) => measureDelay(restart, seed + 1),
        );
        const lastMs = Math.max(...runs.map(({ lastMs }) => lastMs));
        const halfMs = Math.max(...runs.map(({ halfMs }) => halfMs));
        t.log({ lastMs, halfMs });
        t.true(lastMs <= maxMs, `${lastMs} ms`);
      });
    }
  });
});
