import type { ExecutionContext } from "ava";
import {
  HttpCallerDirectory,
  HttpWeightStore,
  type Weights,
} from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { Random, systemClock } from "../base/mod.ts";
import { Kernel, openLog } from "../kernel/mod.ts";
import { openPlatform, type Platform } from "../standins/mod.ts";
import { FakeMembers, FakeTable } from "../../test/fakes.ts";
import { tableOf, until } from "../../test/vms.ts";
import type { VmInfo } from "./messages.ts";
import { publisherOf, PublisherService } from "./publisher.ts";

const rows = (state: string) => [
  { kind: "service", id: "plan", type: "model" },
  { kind: "region", id: "agadir" },
  ...[["u1", "active"], ["u2", state], ["u3", "active"]].map(([id, state]) => ({
    kind: "upstream",
    id,
    service: "plan",
    region: "agadir",
    failureDomain: "a",
    url: "http://127.0.0.1:1",
    slots: 10,
    state,
  })),
];

const vm = (id: string, state: "live" | "leaving" = "live"): VmInfo => ({
  id,
  incarnation: 1,
  region: "agadir",
  failureDomain: "a",
  peerAddress: "127.0.0.1:1",
  callerUrl: `http://${id}`,
  state,
  tableVersion: 1,
});

/** The publishers of these VMs, which share what membership says. */
async function open(t: ExecutionContext, platform: Platform, ids: string[]) {
  const seen = new FakeMembers();
  seen.vms = ids.map((id) => vm(id));
  const table = new FakeTable();
  table.table = tableOf(1, rows("active"));
  const kernels = new Map<string, Kernel>();
  for (const id of ids) {
    const kernel = new Kernel(systemClock, openLog("silent"));
    const options = { urls: [platform.url], vmId: id };
    await kernel.start(seen);
    await kernel.start(table);
    await kernel.start(
      new PublisherService({
        vm: { id, region: "agadir" },
        weights: new HttpWeightStore(options),
        directory: new HttpCallerDirectory(options),
        random: new Random(1),
      }),
    );
    kernels.set(id, kernel);
  }
  t.teardown(async () => {
    for (const kernel of kernels.values()) await kernel.close(Date.now());
    await platform.close();
  });
  return { seen, table, kernels };
}

const weightsAt = (platform: Platform) =>
  (platform.weights.get("plan/agadir") as { weights: Weights } | undefined)
    ?.weights;

const urlsAt = (platform: Platform) =>
  (platform.directory.get("agadir") as
    | { entries: { vmId: string }[] }
    | undefined)?.entries.map((entry) => entry.vmId);

describe("publisher", () => {
  it("publishes once what does not change, by one VM", async (t) => {
    const platform = await openPlatform();
    const { table, kernels } = await open(t, platform, ["a", "b", "c"]);
    await until("published", () => urlsAt(platform)?.length === 3);
    await until("weights", () => weightsAt(platform)?.u2 === 1 / 3);
    table.table = tableOf(2, rows("leaving"));
    await until("weights change", () => weightsAt(platform)?.u2 === 0);
    t.deepEqual(weightsAt(platform), { u1: 0.5, u2: 0, u3: 0.5 });
    const published = [...kernels.values()].map((kernel) =>
      (kernel.dump().publisher as { published: number }).published
    );
    t.deepEqual(published.sort(), [0, 0, 3]);
  });

  // The publisher leaves and another VM crashes. Callers must not be sent to either: the next in the order publishes a
  // directory without them, within a period or two.
  it("is replaced when it leaves, and the leaving VM is out of the directory", async (t) => {
    const platform = await openPlatform();
    const { seen } = await open(t, platform, ["a", "b", "c"]);
    await until("published", () => urlsAt(platform)?.length === 3);
    const first = publisherOf("agadir", seen.vms)!;
    const [crashed, left] = ["a", "b", "c"].filter((id) => id !== first);
    seen.vms = [vm(first, "leaving"), vm(left)];
    await until(
      "the directory follows",
      () => urlsAt(platform)?.join() === left,
    );
    t.false(urlsAt(platform)?.includes(crashed));
  });

  // The platform refuses, first by an outage, then by its rate. Nothing is lost: the newest state is written when it
  // takes it again.
  it("tries again after an outage and at the rate limit", async (t) => {
    const platform = await openPlatform({ weightWritesPerS: 1 });
    platform.faults.set([{ outage: "refuse" }]);
    const { kernels } = await open(t, platform, ["a"]);
    const error = () =>
      (kernels.get("a")!.dump().publisher as { error?: { kind: string } })
        .error;
    await until("refused", () => error()?.kind === "unavailable");
    t.is(weightsAt(platform), undefined);
    platform.faults.clear();
    await until("published", () => weightsAt(platform) !== undefined);
    await until("no error", () => error() === undefined);
  });
});
