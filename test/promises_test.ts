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
  caller,
  Cluster,
  keyOf,
  operator,
  refusal,
  shardOf,
  sleep,
  standardRows,
  type StandIn,
  untilWitnessed,
  upstream,
  type Vm,
} from "./cluster.ts";

const HOME = "agadir";
const FAR = "marrakech";
const FREE_KEY = "key-of-free-workspace";
const SETTLE_MS = 30_000;

interface Bench {
  readonly cluster: Cluster;
  readonly engines: readonly StandIn[];
  readonly ledgers: readonly StandIn[];
  vm(name: string): Vm;
}

/** Two regions with `perRegion` VMs, one engine and one ledger each; either may send to the other. */
async function open(
  t: ExecutionContext,
  perRegion: number,
  slots = 16,
): Promise<Bench> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  const standIns = await cluster.startUpstreams(2, 2);
  const regions = [HOME, FAR];
  await cluster.seed([
    ...standardRows(regions, [
      upstream("engine-home", "plan", HOME, standIns[0].url, { slots }),
      upstream("engine-far", "plan", FAR, standIns[1].url, { slots }),
      upstream("ledger-home", "ledger", HOME, standIns[2].url),
      upstream("ledger-far", "ledger", FAR, standIns[3].url),
    ]),
    { kind: "traffic", service: "plan", region: HOME, mayGoTo: [FAR] },
    { kind: "traffic", service: "plan", region: FAR, mayGoTo: [HOME] },
    {
      kind: "workspace",
      id: "free",
      home: HOME,
      bound: false,
      keyDigests: [secretDigest(FREE_KEY)],
    },
  ]);
  await cluster.startRegions(regions, perRegion);
  for (const vm of cluster.vms.values()) {
    await cluster.until(
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

async function records(standIn: StandIn): Promise<RunRecord[]> {
  return await got(`${standIn.controlUrl}/records`).json<RunRecord[]>();
}

async function ask(
  vm: Vm,
  key: string,
  nonce: string,
  tokens = 10,
  headers: Record<string, string> = {},
) {
  const body = {
    model: "plan",
    max_tokens: tokens,
    messages: [{ role: "user", content: `nonce:${nonce} route` }],
  };
  const answer = await caller(vm, key, "/v1/chat/completions", {
    body,
    headers,
  });
  const text = answer.statusCode === 200
    ? JSON.parse(answer.body).choices[0].message.content
    : undefined;
  return { answer, text };
}

/** A departure, repeated as the answers advise until it is settled. */
async function depart(vm: Vm, key: string, id: string) {
  const endMs = Date.now() + SETTLE_MS;
  for (;;) {
    const answer = await caller(vm, key, "/services/ledger/departures", {
      body: { id },
      headers: { "idempotency-key": id },
    });
    if (answer.statusCode !== 503 || Date.now() > endMs) return answer;
    await sleep(200);
  }
}

async function runs(ledgers: readonly StandIn[], id: string): Promise<number> {
  const all = (await Promise.all(ledgers.map(records))).flat();
  return all.filter((record) =>
    record.idempotencyKey === id && record.startedAtMs !== undefined
  ).length;
}

/** Reads a stream to its end; `undefined` if it does not end with its end mark. */
async function streamed(
  vm: Vm,
  key: string,
  nonce: string,
  tokens: number,
): Promise<string | undefined> {
  const response = await fetch(`${vm.url}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${key}` },
    body: JSON.stringify({
      model: "plan",
      stream: true,
      max_tokens: tokens,
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

async function put(vm: Vm, row: object): Promise<number> {
  const answer = await operator(vm, "POST", "/admin/table/edits", {
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
    const { cluster, ledgers, vm } = await open(t, 2);
    await untilWitnessed([vm(`${HOME}-1`), vm(`${HOME}-2`)]);
    await depart(vm(`${HOME}-1`), keyOf(HOME), "before");
    for (const n of [1, 2]) {
      await cluster.setLinks(vm(`${HOME}-${n}`), {
        cut: { peer: { region: FAR }, cut: true },
      });
    }
    await cluster.setPlatformFaults([{ vm: `^${HOME}-`, outage: "cut" }]);
    for (let i = 0; i < 4; i++) {
      const { text } = await ask(
        vm(`${HOME}-${1 + i % 2}`),
        keyOf(HOME),
        `iso${i}`,
      );
      t.is(text, formatAnswer(`iso${i}`, 10));
    }
    const first = await depart(vm(`${HOME}-1`), keyOf(HOME), "cut-off");
    t.is(first.statusCode, 200, first.body);
    const again = await depart(vm(`${HOME}-2`), keyOf(HOME), "cut-off");
    t.is(again.body, first.body);
    t.is(await runs(ledgers, "cut-off"), 1);
    await cluster.setPlatformFaults([]);
    for (const n of [1, 2]) await cluster.setLinks(vm(`${HOME}-${n}`), {});
    const healed = await depart(vm(`${HOME}-2`), keyOf(HOME), "cut-off");
    t.is(healed.body, first.body);
    t.is(await runs(ledgers, "cut-off"), 1);
  });

  // Double fault: the store goes away while the other VM of the region is frozen. Until it wakes, the clerk is told that
  // the call was not run; afterwards departures are served through the outage, each once.
  it("a region of two goes on in an outage that began with one of them frozen", async (t) => {
    const { cluster, ledgers, vm } = await open(t, 2);
    const vms = [vm(`${HOME}-1`), vm(`${HOME}-2`)];
    await untilWitnessed(vms);
    const roles = await Promise.all(vms.map(shardOf));
    const owner = vms.find((_, i) => roles[i].role === "owner")!;
    const other = vms.find((each) => each !== owner)!;
    await cluster.setPlatformFaults([{ outage: "cut" }]);
    other.proc.signal("SIGSTOP");
    await sleep(4000);
    const refused = await caller(
      owner,
      keyOf(HOME),
      "/services/ledger/departures",
      {
        body: { id: "alone" },
        headers: { "idempotency-key": "alone" },
      },
    );
    t.deepEqual([refusal(refused).code, refusal(refused).ran], [3009, "no"]);
    other.proc.signal("SIGCONT");
    for (const id of ["alone", "woken"]) {
      const answer = await depart(owner, keyOf(HOME), id);
      t.is(answer.statusCode, 200, answer.body);
      t.is(await runs(ledgers, id), 1);
    }
  });

  // Both regions are full, and each may send to the other. A request moves once at most, whatever it meets: no attempt
  // may come back, and no engine may see one caller's request twice.
  it("no request goes round between regions", async (t) => {
    const { engines, vm } = await open(t, 1, 1);
    const callers = Array.from(
      { length: 24 },
      (_, i) => ask(vm(`${i % 2 ? HOME : FAR}-1`), FREE_KEY, `round${i}`, 30),
    );
    const answers = await Promise.all(callers);
    const seen = (await Promise.all(engines.map(records))).flat();
    for (const [i, { answer, text }] of answers.entries()) {
      const arrivals = seen.filter((record) =>
        record.nonce === `round${i}`
      ).length;
      if (answer.statusCode === 200) {
        t.is(text, formatAnswer(`round${i}`, 30));
        t.is(arrivals, 1);
      } else {
        t.is(
          refusal(answer).ran,
          arrivals === 0 ? "no" : refusal(answer).ran,
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
    const { vm } = await open(t, 2, 2);
    const leads = async (name: string) =>
      `plan/${HOME}/0` in
        (JSON.parse((await operator(vm(name), "GET", "/admin/dump")).body).slots
          .leads.pools);
    const [lead, other] = await leads(`${HOME}-1`)
      ? [`${HOME}-1`, `${HOME}-2`]
      : [`${HOME}-2`, `${HOME}-1`];
    vm(lead).proc.signal("SIGSTOP");
    const waiting = Array.from(
      { length: 6 },
      (_, i) => ask(vm(other), keyOf(HOME), `frozen${i}`, 30),
    );
    const answers = await Promise.all(waiting);
    vm(lead).proc.signal("SIGCONT");
    for (const [i, { answer, text }] of answers.entries()) {
      t.is(text, formatAnswer(`frozen${i}`, 30), answer.body);
    }
    const deadline = { "x-ibisgap-deadline": String(Date.now() + 12_000) };
    await Promise.all([lead, other].map(async (name) => {
      const { answer, text } = await ask(
        vm(name),
        keyOf(HOME),
        `woken-${name}`,
        10,
        deadline,
      );
      t.is(text, formatAnswer(`woken-${name}`, 10), answer.body);
    }));
  });

  // An operator sets an engine's row to leaving while streams run on it. The streams end whole; after a few seconds
  // nothing new arrives there, and callers are served elsewhere.
  it("a leaving upstream gets nothing new and cuts nothing off", async (t) => {
    const { cluster, engines, vm } = await open(t, 1);
    const [spare] = await cluster.startUpstreams(1, 0);
    await put(
      vm(`${HOME}-1`),
      upstream("engine-spare", "plan", HOME, spare.url),
    );
    const streams = Array.from(
      { length: 6 },
      (_, i) => streamed(vm(`${HOME}-1`), keyOf(HOME), `leave${i}`, 300),
    );
    while ((await records(engines[0])).length === 0) await sleep(20);
    const version = await put(
      vm(`${HOME}-1`),
      upstream("engine-home", "plan", HOME, engines[0].url, {
        slots: 16,
        state: "leaving",
      }),
    );
    await cluster.until(
      vm(`${HOME}-1`),
      (status) => status.tableVersion! >= version,
    );
    await sleep(1000);
    const before = (await records(engines[0])).length;
    for (let i = 0; i < 6; i++) {
      t.truthy((await ask(vm(`${HOME}-1`), keyOf(HOME), `later${i}`)).text);
    }
    t.is((await records(engines[0])).length, before);
    const texts = await Promise.all(streams);
    for (const [i, text] of texts.entries()) {
      t.is(text, formatAnswer(`leave${i}`, 300));
    }
  });

  // Double fault: an edit's answer is lost in the store, and the VM that made it is killed at once. The edit is either
  // in force in both regions or in none, and it stays so when the store comes back with an older copy of itself.
  it("an accepted edit holds in every region and never reverts", async (t) => {
    const { cluster, vm } = await open(t, 2);
    await got.post(`${cluster.storeUrl}/save/old`);
    const row = { kind: "region", id: HOME, weight: 7 };
    const version = await put(vm(`${HOME}-1`), row);
    vm(`${HOME}-1`).proc.signal("SIGKILL");
    const rest = [`${HOME}-2`, `${FAR}-1`, `${FAR}-2`].map(vm);
    for (const each of rest) {
      await cluster.until(each, (status) => status.tableVersion! >= version);
    }
    await got.post(`${cluster.storeUrl}/restore/old`);
    await sleep(2500);
    for (const each of rest) {
      const got = await operator(
        each,
        "GET",
        `/admin/table?key=region/${HOME}`,
      );
      t.is(JSON.parse(got.body).rows[0].row.weight, 7, got.body);
      t.is(
        (await ask(each, keyOf(each.region), `after-${each.id}`)).answer
          .statusCode,
        200,
      );
    }
  });

  // A VM is killed in the middle of its streams: those end in a broken connection, never in a clean end. The other VM's
  // streams go on, and the killed VM's slots come back, so that the engine serves as many as before.
  it("a killed VM takes only its own streams with it", async (t) => {
    const { vm } = await open(t, 2, 4);
    const lost = Array.from(
      { length: 2 },
      (_, i) =>
        streamed(vm(`${HOME}-1`), keyOf(HOME), `lost${i}`, 400).catch(() =>
          undefined
        ),
    );
    const kept = Array.from(
      { length: 2 },
      (_, i) => streamed(vm(`${HOME}-2`), keyOf(HOME), `kept${i}`, 400),
    );
    await sleep(1000);
    vm(`${HOME}-1`).proc.signal("SIGKILL");
    t.deepEqual(await Promise.all(lost), [undefined, undefined]);
    for (const [i, text] of (await Promise.all(kept)).entries()) {
      t.is(text, formatAnswer(`kept${i}`, 400));
    }
    const after = await Promise.all(
      Array.from(
        { length: 8 },
        (_, i) => ask(vm(`${HOME}-2`), keyOf(HOME), `after${i}`),
      ),
    );
    for (const { answer } of after) t.is(answer.statusCode, 200, answer.body);
  });
});
