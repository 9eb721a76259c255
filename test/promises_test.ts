/**
 * Guarantees to callers and operators under single and double faults, tested with real daemons of two regions.
 */
import type { ExecutionContext } from "ava";
import got from "got";
import { describe, itAlone as it } from "../src/base/describe.ts";
import { secretDigest } from "../src/base/mod.ts";
import { formatAnswer, type RunRecord } from "../src/standins/mod.ts";
import {
  callAdmin,
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

const HOME = "agadir";
const REMOTE = "marrakech";
const UNBOUND_KEY = "key-of-free-workspace";
const SETTLE_TIMEOUT_MS = 30_000;

interface TestRegions {
  readonly cluster: Cluster;
  readonly engines: readonly StandIn[];
  readonly ledgers: readonly StandIn[];
  vm(name: string): Vm;
}

/** Opens two regions with `perRegion` VMs, one engine and one ledger each. Either may send requests to the other. */
async function openRegions(
  t: ExecutionContext,
  perRegion: number,
  slots = 16,
): Promise<TestRegions> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  const standIns = await cluster.startUpstreams(2, 2);
  const regions = [HOME, REMOTE];
  await cluster.seedTable([
    ...standardRows(regions, [
      upstreamRow("engine-home", "plan", HOME, standIns[0].url, { slots }),
      upstreamRow("engine-far", "plan", REMOTE, standIns[1].url, { slots }),
      upstreamRow("ledger-home", "ledger", HOME, standIns[2].url),
      upstreamRow("ledger-far", "ledger", REMOTE, standIns[3].url),
    ]),
    { kind: "traffic", service: "plan", region: HOME, mayGoTo: [REMOTE] },
    { kind: "traffic", service: "plan", region: REMOTE, mayGoTo: [HOME] },
    {
      kind: "workspace",
      id: "free",
      home: HOME,
      bound: false,
      keyDigests: [secretDigest(UNBOUND_KEY)],
    },
  ]);
  await cluster.startRegions(regions, perRegion);
  for (const vm of cluster.vms.values()) {
    await cluster.waitFor(
      vm,
      (status) =>
        status.tableVersion === 1 && status.region.length === perRegion,
    );
  }
  return {
    cluster,
    engines: standIns.slice(0, 2),
    ledgers: standIns.slice(2),
    vm: (name) => cluster.vms.get(name)!,
  };
}

async function readRecords(standIn: StandIn): Promise<RunRecord[]> {
  return await got(`${standIn.controlUrl}/records`).json<RunRecord[]>();
}

async function sendChat(
  vm: Vm,
  key: string,
  nonce: string,
  maxTokens = 10,
  headers: Record<string, string> = {},
) {
  const body = {
    model: "plan",
    max_tokens: maxTokens,
    messages: [{ role: "user", content: `nonce:${nonce} route` }],
  };
  const answer = await callVm(vm, key, "/v1/chat/completions", {
    body,
    headers,
  });
  const text = answer.statusCode === 200
    ? JSON.parse(answer.body).choices[0].message.content
    : undefined;
  return { answer, text };
}

/** Sends a departure and retries while the answer is 503. */
async function sendDeparture(vm: Vm, key: string, id: string) {
  const deadlineMs = Date.now() + SETTLE_TIMEOUT_MS;
  for (;;) {
    const answer = await callVm(vm, key, "/services/ledger/departures", {
      body: { id },
      headers: { "idempotency-key": id },
    });
    if (answer.statusCode !== 503 || Date.now() > deadlineMs) return answer;
    await sleep(200);
  }
}

async function countRuns(
  ledgers: readonly StandIn[],
  id: string,
): Promise<number> {
  const all = (await Promise.all(ledgers.map(readRecords))).flat();
  return all.filter((record) =>
    record.idempotencyKey === id && record.startedAtMs !== undefined
  ).length;
}

/** Reads a stream to its end and returns its text, `undefined` if it does not end with `[DONE]`. */
async function readStream(
  vm: Vm,
  key: string,
  nonce: string,
  maxTokens: number,
): Promise<string | undefined> {
  const response = await fetch(`${vm.url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${key}` },
    body: JSON.stringify({
      model: "plan",
      stream: true,
      max_tokens: maxTokens,
      messages: [{ role: "user", content: `nonce:${nonce} route` }],
    }),
  });
  const events = (await response.text()).trim().split("\n\n").map((event) =>
    event.slice("data: ".length)
  );
  if (events.pop() !== "[DONE]") return undefined;
  return events.map((data) => JSON.parse(data).choices[0]?.delta?.content ?? "")
    .join("");
}

async function putRow(vm: Vm, row: object): Promise<number> {
  const answer = await callAdmin(vm, "POST", "/admin/table/edits", {
    id: `edit-${Math.random()}`,
    author: "test",
    changes: [{ type: "put", row }],
  });
  if (answer.statusCode !== 200) throw new Error(answer.body);
  return JSON.parse(answer.body).version;
}

describe("guarantees of real daemons", () => {
  // Double fault: the link between the regions is cut and the home region cannot reach the store. Its callers must not
  // notice: model calls are answered, and each departure runs once, even if it is sent to both VMs.
  it("an isolated region serves its workspaces without the store", async (t) => {
    const { cluster, ledgers, vm } = await openRegions(t, 2);
    await waitForWitnesses([vm(`${HOME}-1`), vm(`${HOME}-2`)]);
    await sendDeparture(vm(`${HOME}-1`), keyOf(HOME), "before");
    for (const n of [1, 2]) {
      await cluster.setLinkFaults(vm(`${HOME}-${n}`), {
        cut: { peer: { region: REMOTE }, cut: true },
      });
    }
    await cluster.setPlatformFaults([{ vm: `^${HOME}-`, outage: "cut" }]);
    for (let i = 0; i < 4; i++) {
      const { text } = await sendChat(
        vm(`${HOME}-${1 + i % 2}`),
        keyOf(HOME),
        `iso${i}`,
      );
      t.is(text, formatAnswer(`iso${i}`, 10));
    }
    const first = await sendDeparture(vm(`${HOME}-1`), keyOf(HOME), "cut-off");
    t.is(first.statusCode, 200, first.body);
    const retry = await sendDeparture(vm(`${HOME}-2`), keyOf(HOME), "cut-off");
    t.is(retry.body, first.body);
    t.is(await countRuns(ledgers, "cut-off"), 1);
    await cluster.setPlatformFaults([]);
    for (const n of [1, 2]) await cluster.setLinkFaults(vm(`${HOME}-${n}`), {});
    const later = await sendDeparture(vm(`${HOME}-2`), keyOf(HOME), "cut-off");
    t.is(later.body, first.body);
    t.is(await countRuns(ledgers, "cut-off"), 1);
  });

  // Double fault: a store outage begins and the region's other VM freezes at once. Until it resumes, a departure is
  // refused as not run; afterwards departures are served during the outage, each once.
  it("a region of two VMs serves claims in a store outage once its frozen VM resumes", async (t) => {
    const { cluster, ledgers, vm } = await openRegions(t, 2);
    const vms = [vm(`${HOME}-1`), vm(`${HOME}-2`)];
    await waitForWitnesses(vms);
    const roles = await Promise.all(vms.map(readShardState));
    const owner = vms.find((_, i) => roles[i].role === "owner")!;
    const other = vms.find((candidate) => candidate !== owner)!;
    await cluster.setPlatformFaults([{ outage: "cut" }]);
    other.proc.signal("SIGSTOP");
    await sleep(4000);
    const refused = await callVm(
      owner,
      keyOf(HOME),
      "/services/ledger/departures",
      {
        body: { id: "alone" },
        headers: { "idempotency-key": "alone" },
      },
    );
    t.deepEqual([readError(refused).code, readError(refused).ran], [
      3009,
      "no",
    ]);
    other.proc.signal("SIGCONT");
    for (const id of ["alone", "woken"]) {
      const answer = await sendDeparture(owner, keyOf(HOME), id);
      t.is(answer.statusCode, 200, answer.body);
      t.is(await countRuns(ledgers, id), 1);
    }
  });

  // Both regions are full, and each may send requests to the other. A request moves at most once: no attempt may come
  // back to its first region, and no engine may get a request twice.
  it("no request circulates between regions", async (t) => {
    const { engines, vm } = await openRegions(t, 1, 1);
    const requests = Array.from(
      { length: 24 },
      (_, i) =>
        sendChat(
          vm(`${i % 2 ? HOME : REMOTE}-1`),
          UNBOUND_KEY,
          `round${i}`,
          30,
        ),
    );
    const answers = await Promise.all(requests);
    const allRecords = (await Promise.all(engines.map(readRecords))).flat();
    for (const [i, { answer, text }] of answers.entries()) {
      const arrivals = allRecords.filter((record) =>
        record.nonce === `round${i}`
      ).length;
      if (answer.statusCode === 200) {
        t.is(text, formatAnswer(`round${i}`, 30));
        t.is(arrivals, 1);
      } else {
        t.is(
          readError(answer).ran,
          arrivals === 0 ? "no" : readError(answer).ran,
          answer.body,
        );
      }
    }
    t.true(answers.some(({ answer }) => answer.statusCode === 200));
  });

  // Double fault: the pool's lead is frozen while requests wait, and resumes later in the belief that it still leads.
  // Callers of the other VM must get a delay but no error, and each its own complete answer. Callers of the resumed VM
  // must not wait behind the stale requests in its sockets, which were served elsewhere.
  it("a frozen lead delays callers but fails no request", async (t) => {
    const { vm } = await openRegions(t, 2, 2);
    const isLead = async (name: string) =>
      `plan/${HOME}/0` in
        (JSON.parse((await callAdmin(vm(name), "GET", "/admin/dump")).body)
          .slots
          .leads.pools);
    const [lead, other] = await isLead(`${HOME}-1`)
      ? [`${HOME}-1`, `${HOME}-2`]
      : [`${HOME}-2`, `${HOME}-1`];
    vm(lead).proc.signal("SIGSTOP");
    const requests = Array.from(
      { length: 6 },
      (_, i) => sendChat(vm(other), keyOf(HOME), `frozen${i}`, 30),
    );
    const answers = await Promise.all(requests);
    vm(lead).proc.signal("SIGCONT");
    for (const [i, { answer, text }] of answers.entries()) {
      t.is(text, formatAnswer(`frozen${i}`, 30), answer.body);
    }
    const headers = { "x-ibisgap-deadline": String(Date.now() + 12_000) };
    await Promise.all([lead, other].map(async (name) => {
      const { answer, text } = await sendChat(
        vm(name),
        keyOf(HOME),
        `woken-${name}`,
        10,
        headers,
      );
      t.is(text, formatAnswer(`woken-${name}`, 10), answer.body);
    }));
  });

  // An operator sets an engine's row to leaving while streams run on it. The streams must complete. After a few seconds
  // the engine gets no new requests, and callers are served by the other engine.
  it("a leaving upstream gets no new requests and completes its streams", async (t) => {
    const { cluster, engines, vm } = await openRegions(t, 1);
    const [spare] = await cluster.startUpstreams(1, 0);
    await putRow(
      vm(`${HOME}-1`),
      upstreamRow("engine-spare", "plan", HOME, spare.url),
    );
    const streams = Array.from(
      { length: 6 },
      (_, i) => readStream(vm(`${HOME}-1`), keyOf(HOME), `leave${i}`, 300),
    );
    while ((await readRecords(engines[0])).length === 0) await sleep(20);
    const version = await putRow(
      vm(`${HOME}-1`),
      upstreamRow("engine-home", "plan", HOME, engines[0].url, {
        slots: 16,
        state: "leaving",
      }),
    );
    await cluster.waitFor(
      vm(`${HOME}-1`),
      (status) => status.tableVersion! >= version,
    );
    await sleep(1000);
    const countBefore = (await readRecords(engines[0])).length;
    for (let i = 0; i < 6; i++) {
      t.truthy(
        (await sendChat(vm(`${HOME}-1`), keyOf(HOME), `later${i}`)).text,
      );
    }
    t.is((await readRecords(engines[0])).length, countBefore);
    const texts = await Promise.all(streams);
    for (const [i, text] of texts.entries()) {
      t.is(text, formatAnswer(`leave${i}`, 300));
    }
  });

  // Double fault: the VM that made an edit is killed right after its answer, and the store is restored from an older
  // backup. The edit must be in force in both regions and stay so.
  it("an accepted edit comes into force in every region and is never reverted", async (t) => {
    const { cluster, vm } = await openRegions(t, 2);
    await got.post(`${cluster.storeUrl}/save/old`);
    const row = { kind: "region", id: HOME, weight: 7 };
    const version = await putRow(vm(`${HOME}-1`), row);
    vm(`${HOME}-1`).proc.signal("SIGKILL");
    const others = [`${HOME}-2`, `${REMOTE}-1`, `${REMOTE}-2`].map(vm);
    for (const other of others) {
      await cluster.waitFor(other, (status) => status.tableVersion! >= version);
    }
    await got.post(`${cluster.storeUrl}/restore/old`);
    await sleep(2500);
    for (const other of others) {
      const answer = await callAdmin(
        other,
        "GET",
        `/admin/table?key=region/${HOME}`,
      );
      t.is(JSON.parse(answer.body).rows[0].row.weight, 7, answer.body);
      t.is(
        (await sendChat(other, keyOf(other.region), `after-${other.id}`)).answer
          .statusCode,
        200,
      );
    }
  });

  // A VM is killed during its streams: these must end with a broken connection, never with a clean end. The other VM's
  // streams continue, and the killed VM's slots are freed, so that the engine serves as many requests as before.
  it("a killed VM breaks only its own streams", async (t) => {
    const { vm } = await openRegions(t, 2, 4);
    const broken = Array.from(
      { length: 2 },
      (_, i) =>
        readStream(vm(`${HOME}-1`), keyOf(HOME), `lost${i}`, 400).catch(() =>
          undefined
        ),
    );
    const unaffected = Array.from(
      { length: 2 },
      (_, i) => readStream(vm(`${HOME}-2`), keyOf(HOME), `kept${i}`, 400),
    );
    await sleep(1000);
    vm(`${HOME}-1`).proc.signal("SIGKILL");
    t.deepEqual(await Promise.all(broken), [undefined, undefined]);
    for (const [i, text] of (await Promise.all(unaffected)).entries()) {
      t.is(text, formatAnswer(`kept${i}`, 400));
    }
    const after = await Promise.all(
      Array.from(
        { length: 8 },
        (_, i) => sendChat(vm(`${HOME}-2`), keyOf(HOME), `after${i}`),
      ),
    );
    for (const { answer } of after) t.is(answer.statusCode, 200, answer.body);
  });
});
