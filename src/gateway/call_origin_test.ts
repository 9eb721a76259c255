import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { Kernel } from "../kernel/mod.ts";
import { ORIGIN_TTL_MS } from "../region/mod.ts";
import { MemoryKeyValue } from "../standins/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import type { CallInput } from "./call_input.ts";
import { CallOrigin } from "./call_origin.ts";
import type { CallRecord } from "./call_record.ts";
import type { GatewayContext } from "./context.ts";
import { GatewayMetrics } from "./metrics.ts";
import { StreamOrigins } from "./origins.ts";
import { RunVersion } from "./run_version.ts";
import type { Send } from "./send.ts";
import type { ServiceConfig } from "../routing/mod.ts";

const SERVICE = { name: "s" } as ServiceConfig;

/** A VM without others, at which one caller begins a stream and takes it up again. */
class Lab {
  readonly clock = new ManualClock();
  versions = ["v1", "v2"];
  readonly #origins = new StreamOrigins({
    self: { ip: "10.0.0.1", region: "north", processId: "a" },
    datagrams: { on: () => {}, send: () => {} },
    members: {
      isLead: true,
      order: [],
      vmCount: () => 1,
      sharerCount: () => 1,
      vmsForCallers: () => [],
      otherRegions: () => [],
    },
    fleet: {
      services: () => [SERVICE.name],
      versionsOf: () => new Set(this.versions),
    },
    store: new MemoryKeyValue({ clock: this.clock }),
    routes: () => [],
    leastLeaseMs: 1_000,
    storeWritesPerS: 400,
    storeReadsPerS: 2_000,
    isFirstStart: true,
    metrics: new GatewayMetrics(),
    entriesAgeMs: () => 0,
    refreshEntries: () => Promise.resolve(true),
  });

  async start(): Promise<void> {
    await this.#origins.start(new Kernel(this.clock, SILENT_LOG));
  }

  /** Makes the origin of one try; `lastEvent` is what its caller has of the try "first". */
  open(attemptId: string, lastEvent?: string): CallOrigin {
    const context = {
      origins: this.#origins,
      metrics: new GatewayMetrics(),
      upstreams: {
        fleet: {
          usableInRegions: () => this.versions.map((version) => ({ version })),
        },
      },
    };
    const resumed = { resumesAfter: lastEvent, firstAttemptId: "first" };
    const input = {
      route: {
        kind: "stream",
        resumable: true,
        host: "h",
        pathPrefix: "/",
        targets: [{ service: SERVICE.name, weight: 1 }],
      },
      relayed: false,
      head: lastEvent === undefined ? { attemptId } : { attemptId, ...resumed },
      caller: { homeRegions: undefined },
    };
    const run = new RunVersion();
    run.noteAnswer({ version: "v1", upstream: undefined }, "u1", false);
    return new CallOrigin(
      context as unknown as GatewayContext,
      input as unknown as CallInput,
      SERVICE,
      { run, noteOrigin: () => {} } as unknown as CallRecord,
    );
  }
}

/** A send to a process that has said which one it is. */
const PROVEN = { findProcess: () => "confirmed" } as unknown as Send;

describe("the origin of a stream that is taken up again", () => {
  /** Guards against a continuation at another version after a resumed try that ran for longer than origins are kept. */
  it("is kept while a resumed try runs, and after it broke off", async (t) => {
    const lab = new Lab();
    await lab.start();
    const first = lab.open("first");
    first.noteBegun(PROVEN);
    first.noteEnded(false);
    await lab.clock.advance(1_000);
    const second = lab.open("second", "3");
    t.deepEqual(await second.resolve(), { type: "goOn", version: "v1" });
    second.noteBegun(PROVEN);
    lab.versions = ["v2"];
    await lab.clock.advance(2 * ORIGIN_TTL_MS);
    second.noteEnded(false);
    t.deepEqual(await lab.open("third", "9").resolve(), { type: "refused" });
    lab.versions = ["v1", "v2"];
    t.deepEqual(await lab.open("fourth", "9").resolve(), {
      type: "goOn",
      version: "v1",
    });
  });
});
