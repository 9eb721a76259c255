import type { ExecutionContext } from "ava";
import { err, ok, type Result } from "neverthrow";
import { FixedTable, makeTable } from "../../test/vms.ts";
import {
  CallerDirectory,
  type DirectoryEntry,
  type PlatformError,
  type Weights,
  WeightStore,
} from "../adapters/mod.ts";
import { ManualClock } from "../base/mod.ts";
import { describe, it } from "../base/describe.ts";
import { type Handlers, Kernel, openLog, Task } from "../kernel/mod.ts";
import { DirectoryService } from "./directory.ts";
import type { DirectoryMessages, MembersMessages, VmInfo } from "./messages.ts";

function vm(id: string, more: Partial<VmInfo> = {}): VmInfo {
  return {
    id,
    incarnation: 1,
    region: "agadir",
    failureDomain: "agadir-1",
    peerAddress: `${id}:1`,
    callerUrl: `http://${id}`,
    state: "live",
    tableVersion: 1,
    ...more,
  };
}

class FixedMembers extends Task<MembersMessages> {
  readonly name = "members";
  vms: VmInfo[] = [];
  others = new Map<string, VmInfo[]>();
  protected readonly handlers: Handlers<MembersMessages> = {
    region: () => this.vms,
    others: () => this.others,
    leave: () => {},
    check: () => {},
    publish: () => {},
    topics: () => new Map(),
  };
  async start(): Promise<void> {}
  async close(): Promise<void> {}
  dump(): unknown {
    return {};
  }
}

/** Accepts one call per `periodMs` and counts the calls that it refuses. */
class RateLimitedStore extends WeightStore {
  readonly published: [service: string, weights: Weights][] = [];
  refused = 0;
  readonly #clock: ManualClock;
  readonly #periodMs: number;
  #nextMs = 0;

  constructor(clock: ManualClock, periodMs: number) {
    super();
    this.#clock = clock;
    this.#periodMs = periodMs;
  }
  publish(
    service: string,
    _region: string,
    weights: Weights,
  ): Promise<Result<void, PlatformError>> {
    if (this.#clock.nowMs() < this.#nextMs) {
      this.refused++;
      return Promise.resolve(err({ kind: "limited", message: "too many" }));
    }
    this.#nextMs = this.#clock.nowMs() + this.#periodMs;
    this.published.push([service, weights]);
    return Promise.resolve(ok(undefined));
  }
  async close(): Promise<void> {}
}

class RecordingDirectory extends CallerDirectory {
  readonly published: (readonly DirectoryEntry[])[] = [];
  publish(
    _region: string,
    entries: readonly DirectoryEntry[],
  ): Promise<Result<void, PlatformError>> {
    this.published.push(entries);
    return Promise.resolve(ok(undefined));
  }
  async close(): Promise<void> {}
}

const upstream = (id: string, state: string, slots: number) => ({
  kind: "upstream",
  id,
  service: "plan",
  region: "agadir",
  failureDomain: "agadir-1",
  url: `http://127.0.0.1:1/${id}`,
  state,
  slots,
});
const table = makeTable(1, [
  { kind: "service", id: "plan", type: "model" },
  upstream("u1", "active", 16),
  upstream("u2", "leaving", 16),
  upstream("u3", "active", 8),
  { kind: "workspace", id: "bound", home: "muscat", bound: true },
  { kind: "workspace", id: "free", home: "muscat", bound: false },
]);

async function startDirectories(t: ExecutionContext, clock: ManualClock) {
  const members = new FixedMembers();
  members.vms = ["a", "b", "c"].map((id) => vm(id));
  const kernels = new Map<string, Kernel>();
  const directories = new Map<string, RecordingDirectory>();
  const store = new RateLimitedStore(clock, 3000);
  for (const { id: vmId, region } of members.vms) {
    const kernel = new Kernel(clock, openLog("silent"));
    await kernel.start(new FixedTable(table));
    await kernel.start(members);
    const callerDirectory = new RecordingDirectory();
    directories.set(vmId, callerDirectory);
    await kernel.start(
      new DirectoryService({
        vmId,
        region,
        weightStore: store,
        callerDirectory,
      }),
    );
    kernels.set(vmId, kernel);
    t.teardown(() => kernel.close(clock.nowMs()));
  }
  const directory = kernels.get("a")!.get<DirectoryMessages>("directory");
  return { members, store, directory, directories };
}

describe("directory", () => {
  it("ranks this region's VMs without leaving ones", async (t) => {
    const clock = new ManualClock();
    const { members, directory } = await startDirectories(t, clock);
    members.vms[1] = vm("b", { state: "leaving" });
    const answer = await directory.ask("lookup", { workspace: "free" });
    t.deepEqual(answer.vms.map(({ id }) => id).sort(), ["a", "c"]);
    const waitMs = answer.askAgainAtMs - clock.nowMs();
    t.true(waitMs >= 7000 && waitMs <= 10_000);
  });

  it("sends the callers of a bound workspace to its home region", async (t) => {
    const clock = new ManualClock();
    const { members, directory } = await startDirectories(t, clock);
    members.others.set("muscat", [vm("m", { region: "muscat" })]);
    const bound = await directory.ask("lookup", { workspace: "bound" });
    t.deepEqual(bound.vms.map(({ id }) => id), ["m"]);
    const free = await directory.ask("lookup", { workspace: "free" });
    t.is(free.vms.length, 3);
  });

  // The platform's store accepts one call per 3 s. One VM must publish what the region holds without a burst of refused
  // calls, and another VM must take over when it is gone.
  it("publishes from one VM within the platform's rate limit", async (t) => {
    const clock = new ManualClock();
    const { members, store, directories } = await startDirectories(t, clock);
    await clock.advance(60_000);
    t.deepEqual(store.published, [["plan", { u1: 1, u2: 0, u3: 0.5 }]]);
    t.is(store.refused, 0);
    const publishers = () =>
      [...directories].filter(([, { published }]) => published.length > 0);
    t.is(publishers().length, 1);
    const [gone] = publishers()[0];
    members.vms = members.vms.filter(({ id }) => id !== gone);
    await clock.advance(60_000);
    t.is(publishers().length, 2);
    const last = publishers().find(([id]) => id !== gone)![1].published.at(-1)!;
    t.deepEqual(last.map(({ vmId }) => vmId), members.vms.map(({ id }) => id));
  });

  it("backs off when the platform refuses, and publishes in the end", async (t) => {
    const clock = new ManualClock();
    const { store } = await startDirectories(t, clock);
    await store.publish("other", "agadir", {});
    await clock.advance(120_000);
    t.true(store.refused <= 2);
    t.true(store.published.some(([service]) => service === "plan"));
  });
});
