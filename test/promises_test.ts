/**
 * Promises of the brief under single and double faults, against real daemons of two regions. Each case is told as the
 * caller sees it.
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

/** Two regions with `perRegion` VMs, one engine and one ledger each; either may send to the other. */
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

/** A departure, repeated as the answers advise until it is settled. */
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

/** Reads a stream to its end; `undefined` if it does not end with its end mark. */
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

describe("promises, each part a process", () => {
  // Double fault: the link between the regions is cut and the store is out of the home's reach. Drivers and clerks of the
  // home see nothing of it: plans are answered, and each departure runs once, also when it is sent to both VMs.
  it("an isolated region serves its own, without the store", async (t) => {
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

  // Double fault: the store goes away while the other VM of the region is frozen. Until it wakes, the clerk is told that
  // the call was not run; afterwards departures are served through the outage, each once.
  it("a region of two goes on in an outage that began with one of them frozen", async (t) => {
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

  // Both regions are full, and each may send to the other. A request moves once at most, whatever it meets: no attempt
  // may come back, and no engine may see one caller's request twice.
  it("no request goes round between regions", async (t) => {
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

  // Double fault: the VM that leads the pool is frozen while requests wait, and wakes later believing that it still
  // leads. Callers of the other VM see a pause, not an error, and each gets its own whole answer. Callers of the woken VM
  // must not wait behind the requests that it finds in its sockets: they were served elsewhere.
  it("a frozen lead costs its callers a pause", async (t) => {
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

  // An operator sets an engine's row to leaving while streams run on it. The streams end whole; after a few seconds
  // nothing new arrives there, and callers are served elsewhere.
  it("a leaving upstream gets nothing new and cuts nothing off", async (t) => {
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

  // Double fault: an edit's answer is lost in the store, and the VM that made it is killed at once. The edit is either
  // in force in both regions or in none, and it stays so when the store comes back with an older copy of itself.
  it("an accepted edit holds in every region and never reverts", async (t) => {
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

  // A VM is killed in the middle of its streams: those end in a broken connection, never in a clean end. The other VM's
  // streams go on, and the killed VM's slots come back, so that the engine serves as many as before.
  it("a killed VM takes only its own streams with it", async (t) => {
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
