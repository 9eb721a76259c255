import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import type { Runner } from "../src/standins/mod.ts";
import { GatewayLab, ROUTES } from "./gateway_lab.ts";
import { callSteadily } from "./steady_calls.ts";

const COLD_PER_S = 1.5;
/** The most requests in a second that a cold upstream withstands. */
const MOST_PER_S = COLD_PER_S * 1.5 + 3;
const UPSTREAMS = 4;
/** How late the entry of a new start is read at most. */
const NEWS_DELAY_MS = 1_300;
const DOWN_MS = 500;

/** The most arrivals in any second since `sinceMs`. */
function mostPerSecond({ arrivals }: Runner, sinceMs: number): number {
  const times = arrivals.map(({ arrivedMonoMs }) => arrivedMonoMs)
    .filter((ms) => ms >= sinceMs);
  return Math.max(
    0,
    ...times.map((endMs) =>
      times.filter((ms) => ms <= endMs && ms > endMs - 1_000).length
    ),
  );
}

/** Opens a region whose upstreams are cold when they start again, and whose entries then come late. */
async function openRegion(
  t: ExecutionContext,
  vmCount: number,
): Promise<GatewayLab> {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  lab.configure(ROUTES, { cold_s: 3, cold_rate_s: COLD_PER_S });
  for (let i = 0; i < UPSTREAMS; i++) {
    const runner = await lab.addRunner();
    runner.downMs = DOWN_MS;
    runner.onRestart = () => {
      const fields = { born: Date.now(), cold_left_ms: 3_000 };
      setTimeout(
        () => lab.register(runner, "north", fields),
        NEWS_DELAY_MS,
      );
    };
  }
  for (let i = 0; i < vmCount; i++) await lab.waitUntilReady(await lab.addVm());
  await lab.waitUntilAllKnown();
  return lab;
}

/** Guards against an upstream that is back under its id, cold, and gets all its usual requests until its entry is read. */
describe("gateway, an upstream that starts again under its id", () => {
  for (const vmCount of [3, 6]) {
    it(`gets few requests at once from ${vmCount} VMs, before they have read its entry`, async (t) => {
      const lab = await openRegion(t, vmCount);
      const [runner] = lab.runners;
      const calls = callSteadily(
        lab,
        lab.vms,
        { path: "/safe/" },
        { forMs: 5_000, perS: 150 },
      );
      await sleep(1_500);
      runner.crash();
      const backMs = performance.now() + DOWN_MS;
      await calls;
      const most = mostPerSecond(runner, backMs);
      t.true(most <= MOST_PER_S, `${most} requests in a second`);
    });
  }
});
