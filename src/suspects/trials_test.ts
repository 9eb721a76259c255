import { describe, it } from "../base/describe.ts";
import {
  type CrashRow,
  type StoredSuspect,
  SuspectPublisher,
  SuspectRecords,
  SuspectTracker,
  type SuspectVerdict,
  type Traits,
} from "./mod.ts";

const SENT_AGO_MS = 3_600_000;
const MOST_WAIT_MS = 2_000;

/** A store that grants a trial to one VM at a time. */
class Records extends SuspectRecords {
  readonly trials = new Set<string>();
  /** How often it was asked for a trial. */
  asked = 0;

  list(): Promise<readonly StoredSuspect[]> {
    return Promise.resolve([]);
  }

  put(): Promise<boolean> {
    return Promise.resolve(true);
  }

  acquireTrial(trait: string): Promise<boolean> {
    this.asked++;
    const isFree = !this.trials.has(trait);
    this.trials.add(trait);
    return Promise.resolve(isFree);
  }

  releaseTrial(trait: string): Promise<void> {
    this.trials.delete(trait);
    return Promise.resolve();
  }

  delete(): Promise<boolean> {
    return Promise.resolve(true);
  }
}

/** VMs that tell each other of crashes at once, on one clock that runs while they wait. */
class Vms {
  nowMs = 0;
  readonly records = new Records();
  readonly trackers: SuspectTracker[];
  /** What happens at which time. */
  readonly later = new Map<number, () => void>();

  constructor(count: number) {
    this.trackers = Array.from({ length: count }, () => this.#open());
  }

  /** Two requests with the part, no two alike, crash an upstream each. */
  crashTwice(): this {
    for (const at of [1, 2]) {
      this.trackers[0].noteCrash([`r${at}`, "pd"], `u${at}`, SENT_AGO_MS);
    }
    return this;
  }

  decide(vm: number, request: string): Promise<SuspectVerdict> {
    const traits: Traits = [request, "pd"];
    return this.trackers[vm].decide(traits, false, MOST_WAIT_MS);
  }

  #open(): SuspectTracker {
    const publish = (rows: readonly CrashRow[]) => {
      for (const other of this.trackers) other.merge(rows, false);
    };
    const publisher = new (class extends SuspectPublisher {
      publish(rows: readonly CrashRow[]): void {
        publish(rows);
      }
      noteEvent(): void {}
    })();
    const sleep = async (ms: number) => {
      await Promise.resolve();
      this.nowMs += ms;
      for (const [atMs, run] of this.later) {
        if (atMs > this.nowMs) continue;
        this.later.delete(atMs);
        run();
      }
    };
    return new SuspectTracker(
      publisher,
      this.records,
      () => this.nowMs,
      { sleep, mayAsk: () => true },
    );
  }
}

describe("suspects", () => {
  describe("trials of a part", () => {
    it("take place one at a time over all VMs, and others are refused after a wait", async (t) => {
      const vms = new Vms(3).crashTwice();
      const trial = await vms.decide(1, "r3");
      t.like(trial, { type: "runs", hasLeave: true, trialOf: "pd" });
      t.like(await vms.decide(2, "r4"), {
        type: "refused",
        code: "onTrialElsewhere",
      });
      t.is(vms.nowMs, MOST_WAIT_MS);
    });

    it("let the requests that wait run once one lives on", async (t) => {
      const vms = new Vms(3).crashTwice();
      await vms.decide(1, "r3");
      vms.later.set(700, () => vms.trackers[1].clear(["r3", "pd"]));
      t.like(await vms.decide(2, "r4"), { type: "runs", hasLeave: false });
      t.is(vms.nowMs, 700);
    });

    it("have the requests that wait refused once one has crashed its upstream", async (t) => {
      const vms = new Vms(3).crashTwice();
      await vms.decide(1, "r3");
      vms.later.set(300, () => {
        vms.trackers[1].noteCrash(["r3", "pd"], "u3", SENT_AGO_MS, true);
      });
      t.like(await vms.decide(2, "r4"), {
        type: "refused",
        code: "partEndsUpstreams",
        comeBackMs: 30_000,
      });
    });

    it("begin again at another VM once one is over without a result", async (t) => {
      const vms = new Vms(3).crashTwice();
      await vms.decide(1, "r3");
      vms.later.set(300, () => vms.trackers[1].releaseTrial("pd", false));
      const second = await vms.decide(2, "r4");
      t.like(second, { type: "runs", hasLeave: true });
    });

    it("ask the store once a second at most on each VM", async (t) => {
      const vms = new Vms(2).crashTwice();
      await vms.decide(0, "r3");
      const { asked } = vms.records;
      await vms.decide(1, "r4");
      t.true(vms.records.asked - asked <= 3);
    });
  });
});
