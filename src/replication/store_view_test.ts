import { ok } from "neverthrow";
import type { Entry, WatchEvent } from "../adapters/mod.ts";
import { describe, it } from "../base/describe.ts";
import { ManualClock } from "../base/mod.ts";
import { Kernel, type TaskPort } from "../kernel/mod.ts";
import { UPSTREAM_PREFIX } from "../platform/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import type { FollowedStore } from "./follower_options.ts";
import type { News } from "./replica.ts";
import { StoreView } from "./store_view.ts";
import type { StoreViewMessages } from "./store_view_messages.ts";

const VMS = 6;
const READERS = 3;
const UPSTREAMS = 20;
const HEARTBEAT_MS = 1_200;
/** How often VMs compare their copies here. */
const PULL_EVERY_MS = 250;
/** The longest poll for what operators write. */
const OPERATOR_POLL_MS = 3_000;
const EVACUATION = "op/evacuate/north-a";
const DOMAINS = { "north-a": "north" };

type Value = Readonly<Record<string, unknown>>;

/** A store whose answers come at once; a poll without changes waits as long as it may. */
class ModelStore implements FollowedStore {
  readonly #clock: ManualClock;
  readonly #entries = new Map<string, Entry>();
  readonly #events: WatchEvent[] = [];
  #rev = 1;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  put(key: string, value: Value): void {
    const entry = { key, value: JSON.stringify(value), rev: ++this.#rev };
    this.#entries.set(key, entry);
    this.#events.push({ type: "put", entry });
  }

  delete(key: string): void {
    this.#entries.delete(key);
    this.#events.push({ type: "delete", key, rev: ++this.#rev });
  }

  list(prefix: string) {
    const entries = [...this.#entries.values()]
      .filter(({ key }) => key.startsWith(prefix));
    return Promise.resolve(ok({ entries, rev: this.#rev, more: false }));
  }

  async changes(prefix: string, afterRev: number, waitMs: number) {
    const find = () =>
      this.#events.filter((event) =>
        event.type !== "lost" && keyOf(event).startsWith(prefix) &&
        revOf(event) > afterRev
      );
    if (find().length === 0) await this.#clock.sleep(waitMs);
    return ok({ events: find(), rev: this.#rev });
  }
}

type Change = Exclude<WatchEvent, { type: "lost" }>;

function keyOf(event: Change): string {
  return event.type === "put" ? event.entry.key : event.key;
}

function revOf(event: Change): number {
  return event.type === "put" ? event.entry.rev : event.rev;
}

/** A VM that follows the store, or learns from those that do. */
class Vm {
  readonly view: StoreView;
  readonly #kernel: Kernel;

  constructor(store: FollowedStore, clock: ManualClock, isReader: boolean) {
    this.view = new StoreView({
      vmId: "vm",
      store,
      failureDomains: DOMAINS,
      isReader: () => isReader,
    });
    this.#kernel = new Kernel(clock, SILENT_LOG);
  }

  async start(): Promise<void> {
    await this.#kernel.start(this.view);
  }

  get #port(): TaskPort<StoreViewMessages> {
    return this.#kernel.get<StoreViewMessages>("beliefs");
  }

  answer(request: StoreViewMessages["news"]["in"]): Promise<News> {
    return this.#port.ask("news", request);
  }

  /** Asks another VM if that one is ahead. Returns the number of entries that were sent. */
  async pullFrom(
    other: Vm,
    matter: "upstreams" | "operators" = "upstreams",
  ): Promise<number> {
    if (!this.view.notePeer(matter, other.view.copies[matter], true)) return 0;
    const request = { matter, ...this.view.newsRequest(matter) } as const;
    const news = await other.answer(request);
    await this.#port.ask("adopt", { matter, news, from: "peer" });
    return news.entries.length;
  }
}

/** VMs of one region, of which some read the store, and upstreams that renew their entries. */
class World {
  readonly clock = new ManualClock();
  readonly store = new ModelStore(this.clock);
  readonly vms: Vm[] = [];
  readonly #fields: Value;
  sentEntries = 0;

  constructor(fields: Value) {
    this.#fields = fields;
    for (let i = 0; i < VMS; i++) {
      this.vms.push(new Vm(this.store, this.clock, i < READERS));
    }
  }

  async start(): Promise<void> {
    for (let i = 0; i < UPSTREAMS; i++) this.write(i);
    for (const vm of this.vms) await vm.start();
    await this.run(5_000);
    this.sentEntries = 0;
  }

  write(index: number, changes: Value = {}): void {
    this.store.put(`${UPSTREAM_PREFIX}i-${index}`, {
      service: "model",
      address: `10.0.0.${index + 1}:80`,
      zone: "north-a",
      slots: 4,
      state: "ready",
      cold_left_ms: 0,
      seq: this.clock.nowMs(),
      born: 1,
      ...this.#fields,
      ...changes,
    });
  }

  evacuate(): void {
    this.store.put(EVACUATION, {});
  }

  takeBack(): void {
    this.store.delete(EVACUATION);
  }

  /** How many upstreams each VM may send requests to, and how many of them count as cold there. */
  countUsable(): { readonly usable: number; readonly cold: number }[] {
    const nowMs = this.clock.monoMs();
    return this.vms.map(({ view: { fleet } }) => {
      const upstreams = fleet.usableIn("model", "north");
      const cold = upstreams.filter(({ coldUntilMs }) => coldUntilMs > nowMs);
      return { usable: upstreams.length, cold: cold.length };
    });
  }

  lapse(index: number): void {
    this.store.delete(`${UPSTREAM_PREFIX}i-${index}`);
  }

  /** Lets time pass; upstreams renew, and VMs ask those that are ahead. */
  async run(ms: number, silent: readonly number[] = []): Promise<void> {
    for (let atMs = 0; atMs < ms; atMs += PULL_EVERY_MS) {
      await this.clock.advance(PULL_EVERY_MS);
      for (let i = 0; i < UPSTREAMS; i++) {
        const isDue = (this.clock.nowMs() + i * 50) % HEARTBEAT_MS <
          PULL_EVERY_MS;
        if (isDue && !silent.includes(i)) this.write(i);
      }
      await this.#pullAll();
    }
  }

  async #pullAll(): Promise<void> {
    for (const vm of this.vms) {
      for (const other of this.vms) {
        if (vm === other) continue;
        await vm.pullFrom(other, "operators");
        this.sentEntries += await vm.pullFrom(other);
      }
    }
  }
}

async function openWorld(fields: Value = {}): Promise<World> {
  const world = new World(fields);
  await world.start();
  return world;
}

describe("store view", () => {
  const RENEWED: readonly (readonly [name: string, fields: Value])[] = [
    ["upstreams", {}],
    ["upstreams of an unknown failure domain", { zone: "unknown" }],
    ["unreadable entries", { slots: "many" }],
  ];
  for (const [name, fields] of RENEWED) {
    it(`sends other VMs no entries while ${name} are only renewed`, async (t) => {
      const world = await openWorld(fields);
      await world.run(20_000);
      t.is(world.sentEntries, 0);
    });
  }

  it("sends each other VM a changed entry once", async (t) => {
    const world = await openWorld();
    world.write(3, { state: "draining" });
    await world.run(5_000, [3]);
    t.true(
      world.vms.every(({ view }) =>
        view.fleet.get("i-3")?.state === "draining"
      ),
    );
    t.true(world.sentEntries >= VMS - READERS && world.sentEntries < VMS);
  });

  it("gets back an upstream that lapsed and returned unchanged, on every VM", async (t) => {
    const world = await openWorld();
    world.lapse(3);
    await world.run(5_000, [3]);
    t.true(world.vms.every(({ view }) => !view.fleet.get("i-3")));
    world.write(3);
    await world.run(5_000);
    t.true(world.vms.every(({ view }) => view.fleet.get("i-3") !== undefined));
  });

  it("tells every VM of an upstream that is cold again", async (t) => {
    const world = await openWorld();
    world.write(3, { cold_left_ms: 8_000 });
    await world.run(4_000, [3]);
    const nowMs = world.clock.monoMs();
    t.true(
      world.vms.every(({ view }) => view.fleet.get("i-3")!.coldUntilMs > nowMs),
    );
  });

  it("tells every VM of an upstream whose cold time stands still", async (t) => {
    const world = await openWorld({ cold_left_ms: 3_000 });
    await world.run(10_000);
    const nowMs = world.clock.monoMs();
    t.deepEqual(
      world.vms.map(({ view }) => view.fleet.get("i-3")!.coldUntilMs > nowMs),
      world.vms.map(() => true),
    );
  });

  it("ends a cold time that runs out on time", async (t) => {
    const world = await openWorld();
    world.write(3, { cold_left_ms: 3_000 });
    await world.run(1_200, [3]);
    world.write(3, { cold_left_ms: 1_800 });
    await world.run(1_200, [3]);
    world.write(3, { cold_left_ms: 600 });
    await world.run(1_200, [3]);
    world.write(3);
    await world.run(3_000);
    const nowMs = world.clock.monoMs();
    t.true(
      world.vms.every(({ view }) =>
        view.fleet.get("i-3")!.coldUntilMs <= nowMs
      ),
    );
  });

  // Guards against upstreams that became cold in an evacuation and get all their requests until their entries are read.
  it("takes upstreams back as cold, on every VM, until their entries tell that they are warm", async (t) => {
    const world = await openWorld();
    const all = [...Array(UPSTREAMS).keys()];
    world.evacuate();
    await world.run(OPERATOR_POLL_MS + HEARTBEAT_MS);
    t.true(world.countUsable().every(({ usable }) => usable === 0));
    world.takeBack();
    await world.run(OPERATOR_POLL_MS + PULL_EVERY_MS, all);
    t.deepEqual(
      world.countUsable(),
      world.vms.map(() => ({ usable: UPSTREAMS, cold: UPSTREAMS })),
    );
    await world.run(5_000);
    t.true(world.countUsable().every(({ cold }) => cold === 0));
  });

  it("knows since when its copy may differ from the store's", async (t) => {
    const world = await openWorld();
    const [, , , other] = world.vms;
    t.true(other.view.agreedAgoMs("upstreams") < 2_000);
    await world.clock.advance(60_000);
    t.true(other.view.agreedAgoMs("upstreams") >= 60_000);
  });

  it("takes its configuration for the newest one only until it hears of a newer one", async (t) => {
    const world = await openWorld();
    const [{ view }] = world.vms;
    t.true(view.isConfigNewest);
    const newer = { rev: view.copies.operators.rev + 1, digest: "newer" };
    view.notePeer("operators", newer, true);
    t.false(view.isConfigNewest);
  });

  // Nothing but a change brings a VM an entry again, so it has to keep those that it can't use yet.
  it("uses an upstream as soon as the settings name its failure domain", async (t) => {
    const world = await openWorld();
    world.write(3, { zone: "north-b" });
    await world.run(5_000, [3]);
    for (const { view } of world.vms) {
      t.is(view.fleet.get("i-3"), undefined);
      view.setFailureDomains({ ...DOMAINS, "north-b": "north" });
      t.is(view.fleet.get("i-3")?.region, "north");
      view.setFailureDomains({ ...DOMAINS, "north-b": "south" });
      t.is(view.fleet.get("i-3")?.region, "south");
    }
  });
});
