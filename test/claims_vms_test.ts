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
/** Must be longer than a failover, after the loss of the owner as well as after the loss of the store. */
const SETTLE_TIMEOUT_MS = 25_000;

/** Daemons of one region and a ledger upstream, each in a process of its own. */
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

  /** Sends a departure to the ledger, without retries. */
  sendDeparture(vm: Vm, key: string): Promise<Response<string>> {
    return callVm(vm, KEY, "/services/ledger/departures", {
      body: { truck: key },
      headers: { "idempotency-key": key },
    });
  }

  /** Retries a departure while the answer is 503, as a caller does that gets a Retry-After header. */
  async sendUntilSettled(vm: Vm, key: string): Promise<Response<string>> {
    const deadlineMs = Date.now() + SETTLE_TIMEOUT_MS;
    for (;;) {
      const answer = await this.sendDeparture(vm, key);
      if (answer.statusCode !== 503 || Date.now() > deadlineMs) return answer;
      await sleep(200);
    }
  }

  /** Returns how often a departure ran, according to the ledger's records. */
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

  /** Returns the first VM other than `vm`. */
  findOther(vm: Vm): Vm {
    return this.vms.find((other) => other !== vm)!;
  }
}

const STORE_DOWN = [{ outage: "cut" }];

describe("claims of real daemons", () => {
  // The owner is killed after a departure ran. The caller lost the answer and retries at the other VM: it must get the
  // first answer, and the ledger must have one run.
  it("return the first answer to a retry after the owner was killed", async (t) => {
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

  // The store has a long outage. After some seconds departures are served again, through either VM. Then the owner is
  // killed and the store comes back: departures that ran during the outage must not run again.
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

  // The store is unreachable and the owner's only witness is frozen, so no VM promises not to take over the shard. The
  // caller must be told that its call was not run, and the ledger must have no run.
  it("are refused as not run when no witness promises", async (t) => {
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

  // The owner is frozen for longer than any lease and replaced, and a departure runs through the new owner. The old
  // owner resumes and receives the same departure at once: its write must fail, and nothing may run a second time.
  it("are fenced when a frozen owner resumes", async (t) => {
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

  // The answers to the next writes are lost although the writes take effect. The departure still runs once, and its
  // retry is answered from the claim's record.
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

  // The VM that dispatched a departure is killed while the ledger runs it. The retry at another VM must not run: the
  // answer is "running" until the VM counts as gone, then "unknown", also from `GET /v1/requests/KEY`.
  it("are unknown after the VM that dispatched was killed", async (t) => {
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
