import type { ExecutionContext } from "ava";
import got, { type Response } from "got";
import { describe, itAlone as it } from "../src/base/describe.ts";
import type { RunRecord } from "../src/standins/records.ts";
import {
  callVm,
  Cluster,
  keyOf,
  readError,
  readShardState,
  sleep,
  standardRows,
  type StandIn,
  upstreamRow,
  type Vm,
  waitForWitnesses,
} from "./cluster.ts";

const REGION = "agadir";
const KEY = keyOf(REGION);
/** Longer than a failover after the owner was lost, or after the store was. */
const SETTLE_TIMEOUT_MS = 25_000;

/** Daemons of one region before a ledger, each in a process of its own. */
class ClaimsCluster {
  readonly cluster = new Cluster();
  ledger!: StandIn;

  static async open(
    t: ExecutionContext,
    vmCount: number,
  ): Promise<ClaimsCluster> {
    const claims = new ClaimsCluster();
    const { cluster } = claims;
    t.teardown(() => cluster.close());
    await cluster.startPlatform();
    [claims.ledger] = await cluster.startUpstreams(0, 1);
    await cluster.seedTable(standardRows([REGION], [
      upstreamRow("ledger-1", "ledger", REGION, claims.ledger.url),
    ]));
    await cluster.startRegions([REGION], vmCount);
    for (const vm of cluster.vms.values()) {
      await cluster.waitFor(
        vm,
        (status) =>
          status.tableVersion === 1 && status.region.length === vmCount,
      );
    }
    await waitForWitnesses(claims.vms);
    return claims;
  }

  get vms(): Vm[] {
    return [...this.cluster.vms.values()];
  }

  /** One departure; sends no more often than once. */
  sendDeparture(vm: Vm, key: string): Promise<Response<string>> {
    return callVm(vm, KEY, "/services/ledger/departures", {
      body: { truck: key },
      headers: { "idempotency-key": key },
    });
  }

  /** Repeats a departure until it is settled, as a caller does that is told when to come back. */
  async sendUntilSettled(vm: Vm, key: string): Promise<Response<string>> {
    const deadlineMs = Date.now() + SETTLE_TIMEOUT_MS;
    for (;;) {
      const answer = await this.sendDeparture(vm, key);
      if (answer.statusCode !== 503 || Date.now() > deadlineMs) return answer;
      await sleep(200);
    }
  }

  /** How often a departure ran, by the ledger's own record. */
  async countRuns(key: string): Promise<number> {
    const records = await got(`${this.ledger.controlUrl}/records`)
      .json<RunRecord[]>();
    return records.filter((record) =>
      record.idempotencyKey === key && record.startedAtMs !== undefined
    ).length;
  }

  async waitForOwner(): Promise<Vm> {
    const deadlineMs = Date.now() + SETTLE_TIMEOUT_MS;
    while (Date.now() < deadlineMs) {
      for (const vm of this.vms) {
        if (vm.proc.exitCode !== undefined) continue;
        if ((await readShardState(vm)).role === "owner") return vm;
      }
      await sleep(100);
    }
    throw new Error("no owner");
  }

  /** The first VM that is not `vm`. */
  findOther(vm: Vm): Vm {
    return this.vms.find((other) => other !== vm)!;
  }
}

const STORE_DOWN = [{ outage: "cut" }];

describe("claims of real daemons", () => {
  // The owner is killed after a departure ran. The caller, who lost its answer, repeats it at the other VM: it must get
  // the first answer, and the ledger must have one run.
  it("give the first answer after the owner was killed", async (t) => {
    const claims = await ClaimsCluster.open(t, 2);
    const owner = await claims.waitForOwner();
    const first = await claims.sendDeparture(owner, "d1");
    t.is(first.statusCode, 200, first.body);
    owner.proc.signal("SIGKILL");
    const retry = await claims.sendUntilSettled(claims.findOther(owner), "d1");
    t.is(retry.body, first.body);
    t.is(retry.headers["x-ibisgap-repeated"], "true");
    const next = await claims.sendUntilSettled(claims.findOther(owner), "d2");
    t.is(next.statusCode, 200, next.body);
    t.deepEqual([await claims.countRuns("d1"), await claims.countRuns("d2")], [
      1,
      1,
    ]);
  });

  // The store goes away for long. Clerks are served after some seconds, through either VM. Then the owner is killed and
  // the store comes back: what ran in the outage must not run again.
  it("serve clerks in an outage of the store, and forget nothing", async (t) => {
    const claims = await ClaimsCluster.open(t, 2);
    const owner = await claims.waitForOwner();
    const other = claims.findOther(owner);
    await claims.cluster.setPlatformFaults(STORE_DOWN);
    const first = await claims.sendUntilSettled(other, "d1");
    t.is(first.statusCode, 200, first.body);
    const second = await claims.sendDeparture(owner, "d2");
    t.is(second.statusCode, 200, second.body);
    owner.proc.signal("SIGKILL");
    await claims.cluster.setPlatformFaults([]);
    for (const key of ["d1", "d2"]) {
      const retry = await claims.sendUntilSettled(other, key);
      t.is(retry.statusCode, 200, retry.body);
      t.is(retry.headers["x-ibisgap-repeated"], "true");
      t.is(await claims.countRuns(key), 1);
    }
  });

  // The store is away and the owner's only witness is frozen: nobody promises not to replace the owner. The caller must
  // be told that its call was not run, and the ledger must have no run.
  it("refuse truthfully when no promise can be had", async (t) => {
    const claims = await ClaimsCluster.open(t, 2);
    const owner = await claims.waitForOwner();
    await claims.cluster.setPlatformFaults(STORE_DOWN);
    claims.findOther(owner).proc.signal("SIGSTOP");
    const answer = await claims.sendDeparture(owner, "d1");
    t.is(answer.statusCode, 503, answer.body);
    t.deepEqual([readError(answer).code, readError(answer).ran], [3009, "no"]);
    t.truthy(answer.headers["retry-after"]);
    t.is(await claims.countRuns("d1"), 0);
  });

  // The owner is frozen beyond every lease and replaced; a departure runs at the new owner. The old one wakes and is asked
  // for the same departure at once: its write must fail, and nothing may run a second time.
  it("are fenced when a frozen owner wakes", async (t) => {
    const claims = await ClaimsCluster.open(t, 3);
    const owner = await claims.waitForOwner();
    owner.proc.signal("SIGSTOP");
    const first = await claims.sendUntilSettled(claims.findOther(owner), "d1");
    t.is(first.statusCode, 200, first.body);
    owner.proc.signal("SIGCONT");
    const retry = await claims.sendUntilSettled(owner, "d1");
    t.is(retry.statusCode, 200, retry.body);
    t.is(retry.body, first.body);
    t.is(await claims.countRuns("d1"), 1);
  });

  // The answers of the next writes are lost although they took effect; the departure still runs once, and so does its
  // repeat's answer come from the record.
  it("are settled when the store's answers are lost", async (t) => {
    const claims = await ClaimsCluster.open(t, 2);
    const owner = await claims.waitForOwner();
    await claims.cluster.setPlatformFaults([
      { keyPrefix: "claims/", loseAnswers: 4 },
    ]);
    const first = await claims.sendUntilSettled(owner, "d1");
    t.is(first.statusCode, 200, first.body);
    const retry = await claims.sendUntilSettled(claims.findOther(owner), "d1");
    t.is(retry.body, first.body);
    t.is(await claims.countRuns("d1"), 1);
  });

  // The VM that dispatched a departure is killed while the ledger works on it. The repeat at another VM must not run: it is
  // told "running" until the VM is missed, then "unknown", and `GET /v1/requests/KEY` says so too.
  it("answer unknown when the VM that dispatched was killed", async (t) => {
    const claims = await ClaimsCluster.open(t, 2);
    const owner = await claims.waitForOwner();
    const other = claims.findOther(owner);
    await got.post(`${claims.ledger.controlUrl}/faults`, {
      json: { set: [{ type: "slow", factor: 800 }] },
    });
    const lostRequest = claims.sendDeparture(other, "d1").catch(() =>
      undefined
    );
    while ((await claims.countRuns("d1")) === 0) await sleep(50);
    other.proc.signal("SIGKILL");
    await lostRequest;
    const deadlineMs = Date.now() + SETTLE_TIMEOUT_MS;
    let retry = await claims.sendDeparture(owner, "d1");
    while (readError(retry).code === 3008 && Date.now() < deadlineMs) {
      await sleep(200);
      retry = await claims.sendDeparture(owner, "d1");
    }
    t.deepEqual(
      [retry.statusCode, readError(retry).code, readError(retry).ran],
      [
        409,
        4006,
        "unknown",
      ],
    );
    const found = await callVm(owner, KEY, "/v1/requests/d1?service=ledger");
    t.is(JSON.parse(found.body).state, "unknown", found.body);
    t.is(await claims.countRuns("d1"), 1);
  });
});
