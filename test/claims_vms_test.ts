import type { ExecutionContext } from "ava";
import got, { type Response } from "got";
import { describe, itAlone as it } from "../src/base/describe.ts";
import type { RunRecord } from "../src/standins/records.ts";
import {
  caller,
  Cluster,
  keyOf,
  refusal,
  shardOf,
  sleep,
  standardRows,
  type StandIn,
  untilWitnessed,
  upstream,
  type Vm,
} from "./cluster.ts";

const REGION = "agadir";
const KEY = keyOf(REGION);
/** Longer than a failover after the owner was lost, or after the store was. */
const SETTLE_MS = 25_000;

/** Daemons of one region before a ledger, each in a process of its own. */
class ClaimsCluster {
  readonly cluster = new Cluster();
  ledger!: StandIn;

  static async open(t: ExecutionContext, vms: number): Promise<ClaimsCluster> {
    const opened = new ClaimsCluster();
    const { cluster } = opened;
    t.teardown(() => cluster.close());
    await cluster.startPlatform();
    [opened.ledger] = await cluster.startUpstreams(0, 1);
    await cluster.seed(standardRows([REGION], [
      upstream("ledger-1", "ledger", REGION, opened.ledger.url),
    ]));
    await cluster.startRegions([REGION], vms);
    for (const vm of cluster.vms.values()) {
      await cluster.until(
        vm,
        (status) => status.tableVersion === 1 && status.region.length === vms,
      );
    }
    await untilWitnessed(opened.vms);
    return opened;
  }

  get vms(): Vm[] {
    return [...this.cluster.vms.values()];
  }

  /** One departure; sends no more often than once. */
  log(vm: Vm, key: string): Promise<Response<string>> {
    return caller(vm, KEY, "/services/ledger/departures", {
      body: { truck: key },
      headers: { "idempotency-key": key },
    });
  }

  /** Repeats a departure until it is settled, as a caller does that is told when to come back. */
  async logUntilSettled(vm: Vm, key: string): Promise<Response<string>> {
    const endMs = Date.now() + SETTLE_MS;
    for (;;) {
      const answer = await this.log(vm, key);
      if (answer.statusCode !== 503 || Date.now() > endMs) return answer;
      await sleep(200);
    }
  }

  /** How often a departure ran, by the ledger's own record. */
  async runs(key: string): Promise<number> {
    const records = await got(`${this.ledger.controlUrl}/records`)
      .json<RunRecord[]>();
    return records.filter((record) =>
      record.idempotencyKey === key && record.startedAtMs !== undefined
    ).length;
  }

  async owner(): Promise<Vm> {
    const endMs = Date.now() + SETTLE_MS;
    while (Date.now() < endMs) {
      for (const vm of this.vms) {
        if (vm.proc.exitCode !== undefined) continue;
        if ((await shardOf(vm)).role === "owner") return vm;
      }
      await sleep(100);
    }
    throw new Error("no owner");
  }

  /** The first VM that is not `vm`. */
  other(vm: Vm): Vm {
    return this.vms.find((other) => other !== vm)!;
  }
}

const storeDown = [{ outage: "cut" }];

describe("claims of real daemons", () => {
  // The owner is killed after a departure ran. The caller, who lost its answer, repeats it at the other VM: it must get
  // the first answer, and the ledger must have one run.
  it("give the first answer after the owner was killed", async (t) => {
    const region = await ClaimsCluster.open(t, 2);
    const owner = await region.owner();
    const first = await region.log(owner, "d1");
    t.is(first.statusCode, 200, first.body);
    owner.proc.signal("SIGKILL");
    const again = await region.logUntilSettled(region.other(owner), "d1");
    t.is(again.body, first.body);
    t.is(again.headers["x-ibisgap-repeated"], "true");
    const next = await region.logUntilSettled(region.other(owner), "d2");
    t.is(next.statusCode, 200, next.body);
    t.deepEqual([await region.runs("d1"), await region.runs("d2")], [1, 1]);
  });

  // The store goes away for long. Clerks are served after some seconds, through either VM. Then the owner is killed and
  // the store comes back: what ran in the outage must not run again.
  it("serve clerks in an outage of the store, and forget nothing", async (t) => {
    const region = await ClaimsCluster.open(t, 2);
    const owner = await region.owner();
    const other = region.other(owner);
    await region.cluster.setPlatformFaults(storeDown);
    const first = await region.logUntilSettled(other, "d1");
    t.is(first.statusCode, 200, first.body);
    const second = await region.log(owner, "d2");
    t.is(second.statusCode, 200, second.body);
    owner.proc.signal("SIGKILL");
    await region.cluster.setPlatformFaults([]);
    for (const key of ["d1", "d2"]) {
      const again = await region.logUntilSettled(other, key);
      t.is(again.statusCode, 200, again.body);
      t.is(again.headers["x-ibisgap-repeated"], "true");
      t.is(await region.runs(key), 1);
    }
  });

  // The store is away and the owner's only witness is frozen: nobody promises not to replace the owner. The caller must
  // be told that its call was not run, and the ledger must have no run.
  it("refuse truthfully when no promise can be had", async (t) => {
    const region = await ClaimsCluster.open(t, 2);
    const owner = await region.owner();
    await region.cluster.setPlatformFaults(storeDown);
    region.other(owner).proc.signal("SIGSTOP");
    const answer = await region.log(owner, "d1");
    t.is(answer.statusCode, 503, answer.body);
    t.deepEqual([refusal(answer).code, refusal(answer).ran], [3009, "no"]);
    t.truthy(answer.headers["retry-after"]);
    t.is(await region.runs("d1"), 0);
  });

  // The owner is frozen beyond every lease and replaced; a departure runs at the new owner. The old one wakes and is asked
  // for the same departure at once: its write must fail, and nothing may run a second time.
  it("are fenced when a frozen owner wakes", async (t) => {
    const region = await ClaimsCluster.open(t, 3);
    const owner = await region.owner();
    owner.proc.signal("SIGSTOP");
    const first = await region.logUntilSettled(region.other(owner), "d1");
    t.is(first.statusCode, 200, first.body);
    owner.proc.signal("SIGCONT");
    const again = await region.logUntilSettled(owner, "d1");
    t.is(again.statusCode, 200, again.body);
    t.is(again.body, first.body);
    t.is(await region.runs("d1"), 1);
  });

  // The answers of the next writes are lost although they took effect; the departure still runs once, and so does its
  // repeat's answer come from the record.
  it("are settled when the store's answers are lost", async (t) => {
    const region = await ClaimsCluster.open(t, 2);
    const owner = await region.owner();
    await region.cluster.setPlatformFaults([
      { keyPrefix: "claims/", loseAnswers: 4 },
    ]);
    const first = await region.logUntilSettled(owner, "d1");
    t.is(first.statusCode, 200, first.body);
    const again = await region.logUntilSettled(region.other(owner), "d1");
    t.is(again.body, first.body);
    t.is(await region.runs("d1"), 1);
  });

  // The VM that dispatched a departure is killed while the ledger works on it. The repeat at another VM must not run: it is
  // told "running" until the VM is missed, then "unknown", and `GET /v1/requests/KEY` says so too.
  it("answer unknown when the VM that dispatched was killed", async (t) => {
    const region = await ClaimsCluster.open(t, 2);
    const owner = await region.owner();
    const other = region.other(owner);
    await got.post(`${region.ledger.controlUrl}/faults`, {
      json: { set: [{ type: "slow", factor: 800 }] },
    });
    const lost = region.log(other, "d1").catch(() => undefined);
    while ((await region.runs("d1")) === 0) await sleep(50);
    other.proc.signal("SIGKILL");
    await lost;
    const endMs = Date.now() + SETTLE_MS;
    let again = await region.log(owner, "d1");
    while (refusal(again).code === 3008 && Date.now() < endMs) {
      await sleep(200);
      again = await region.log(owner, "d1");
    }
    t.deepEqual([again.statusCode, refusal(again).code, refusal(again).ran], [
      409,
      4006,
      "unknown",
    ]);
    const found = await caller(owner, KEY, "/v1/requests/d1?service=ledger");
    t.is(JSON.parse(found.body).state, "unknown", found.body);
    t.is(await region.runs("d1"), 1);
  });
});
