import { setImmediate } from "node:timers/promises";
import { describe, it } from "../base/describe.ts";
import {
  type CrashRow,
  type StoredSuspect,
  SuspectPublisher,
  SuspectRecords,
  SuspectTracker,
} from "./mod.ts";

const SENT_AGO_MS = 3_600_000;
const TICK_MS = 2_000;

class SilentPublisher extends SuspectPublisher {
  publish(_rows: readonly CrashRow[]): void {}
  noteEvent(): void {}
}

/** A store that can be out of service, and whose writes can take their time. */
class Records extends SuspectRecords {
  readonly stored = new Map<string, readonly string[]>();
  isOut = false;
  /** What a write waits for before it takes effect. */
  delay: Promise<void> = Promise.resolve();

  list(): Promise<readonly StoredSuspect[]> {
    return Promise.resolve(
      [...this.stored].map(([digest, upstreams]) => ({ digest, upstreams })),
    );
  }

  async put({ digest, upstreams }: StoredSuspect): Promise<boolean> {
    await this.delay;
    if (!this.isOut) this.stored.set(digest, upstreams);
    return !this.isOut;
  }

  acquireTrial(): Promise<boolean> {
    return Promise.resolve(true);
  }

  releaseTrial(): Promise<void> {
    return Promise.resolve();
  }

  async delete(digest: string): Promise<boolean> {
    if (!this.isOut) this.stored.delete(digest);
    return await Promise.resolve(!this.isOut);
  }
}

class Vm {
  nowMs = 0;
  readonly tracker: SuspectTracker;

  constructor(records: Records) {
    this.tracker = new SuspectTracker(
      new SilentPublisher(),
      records,
      () => this.nowMs,
      { sleep: () => Promise.resolve(), mayAsk: () => true },
    );
  }

  crash(...upstreams: string[]): void {
    for (const upstream of upstreams) {
      this.tracker.noteCrash(["r"], upstream, SENT_AGO_MS);
    }
  }

  async tick(): Promise<void> {
    this.nowMs += TICK_MS;
    this.tracker.republish(false);
    await setImmediate();
  }
}

describe("suspects", () => {
  describe("in the store", () => {
    it("are deleted once it is back, if it was out of service when they were cleared", async (t) => {
      const records = new Records();
      const vm = new Vm(records);
      vm.crash("u", "v", "w");
      await vm.tick();
      t.deepEqual(records.stored.get("r"), ["u", "v", "w"]);
      records.isOut = true;
      vm.tracker.clear(["r"]);
      await vm.tick();
      records.isOut = false;
      await vm.tick();
      t.false(records.stored.has("r"));
    });

    it("are stored once it is back, if it was out of service when they crashed upstreams", async (t) => {
      const records = new Records();
      const vm = new Vm(records);
      records.isOut = true;
      vm.crash("u", "v", "w");
      await vm.tick();
      records.isOut = false;
      await vm.tick();
      t.deepEqual(records.stored.get("r"), ["u", "v", "w"]);
    });

    it("are stored again if the store has lost them, unless they are no longer suspected", async (t) => {
      const records = new Records();
      const vm = new Vm(records);
      vm.crash("u", "v", "w");
      await vm.tick();
      records.stored.clear();
      vm.tracker.storeAgain();
      await vm.tick();
      t.deepEqual(records.stored.get("r"), ["u", "v", "w"]);
      vm.tracker.clear(["r"]);
      await vm.tick();
      vm.tracker.storeAgain();
      await vm.tick();
      t.false(records.stored.has("r"));
    });

    it("are deleted if they are cleared while a slow write stores them", async (t) => {
      const records = new Records();
      const vm = new Vm(records);
      let finish = () => {};
      records.delay = new Promise((resolve) => finish = resolve);
      vm.crash("u", "v", "w");
      vm.tracker.clear(["r"]);
      await setImmediate();
      finish();
      await vm.tick();
      await vm.tick();
      t.false(records.stored.has("r"));
    });
  });
});
