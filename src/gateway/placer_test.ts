import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import type { Kernel } from "../kernel/mod.ts";
import type { DatagramHandler } from "./datagrams.ts";
import { GatewayMetrics } from "./metrics.ts";
import type { PlacementRequest } from "./local_placement.ts";
import { Placer, type PlacerOptions } from "./placer.ts";

/** Longer than a VM waits for an answer of its lead. */
const BLOCKED_MS = 120;

const REQUEST = {
  service: { name: "s" },
  prompt: { parts: [], tokens: 0 },
  arrivedMs: 0,
  deadlineMs: Infinity,
  objectiveMs: 400,
  eventGapMs: 0,
  endGapMs: Infinity,
  tried: new Set(),
  triedRegions: new Set(),
  homeRegions: [],
  isRelayed: false,
  isSuspect: false,
  quota: undefined,
} as unknown as PlacementRequest;

function block(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

describe("placer", () => {
  // The VM's event loop is blocked for longer than the query timeout, and the lead's answer arrives meanwhile. A VM
  // that took the query for unanswered would place the request alone, by stale load counts, just when the region is at
  // its peak.
  it("accepts an answer that arrived while the VM was busy", async (t) => {
    const handlers = new Map<string, DatagramHandler>();
    const metrics = new GatewayMetrics();
    const placer = new Placer({
      self: { id: "vm-1", region: "north" },
      datagrams: {
        on: (method: string, run: DatagramHandler) => handlers.set(method, run),
        send: (_method: string, { question }: { question: number }) => {
          const answer = { question, verdict: { type: "wait", waitMs: 40 } };
          setImmediate(() => {
            block(BLOCKED_MS);
            setImmediate(() => handlers.get("placed")!(answer, "10.0.0.2"));
          });
        },
      },
      members: { hearsAll: false, leads: [{ id: "vm-2", ip: "10.0.0.2" }] },
      upstreams: { asideKeys: () => [], resting: () => [] },
      metrics,
    } as unknown as PlacerOptions);
    await placer.start({ clock: systemClock } as unknown as Kernel);
    const { step } = await placer.place(REQUEST);
    t.is(step.type, "wait");
    t.regex(metrics.renderPage(), /placed_total\{by="lead"\} 1/);
  });
});
