import type { ExecutionContext } from "ava";
import { describe, itAlone as it } from "../src/base/describe.ts";
import { secretDigest } from "../src/base/mod.ts";
import { formatAnswer } from "../src/standins/mod.ts";
import {
  caller,
  Cluster,
  keyOf,
  refusal,
  sleep,
  standardRows,
  upstream,
  type Vm,
} from "./cluster.ts";

const HOME = "agadir";
const FAR = "marrakech";
const FREE_KEY = "key-of-free-workspace";

interface Bench {
  readonly cluster: Cluster;
  readonly home: Vm;
  readonly far: Vm;
}

/** Two regions of one VM and one engine each; the home's engine runs one request at a time. */
async function openRegions(t: ExecutionContext): Promise<Bench> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  const [near, far, ledger] = await cluster.startUpstreams(2, 1);
  await cluster.seed([
    ...standardRows([HOME, FAR], [
      upstream("near", "plan", HOME, near.url, { slots: 1 }),
      upstream("far", "plan", FAR, far.url, { slots: 16 }),
      upstream("ledger-1", "ledger", HOME, ledger.url),
    ]),
    { kind: "traffic", service: "plan", region: HOME, mayGoTo: [FAR] },
    {
      kind: "workspace",
      id: "free",
      home: HOME,
      bound: false,
      keyDigests: [secretDigest(FREE_KEY)],
    },
  ]);
  await cluster.startRegions([HOME, FAR], 1);
  const [homeVm, farVm] = [
    cluster.vms.get(`${HOME}-1`)!,
    cluster.vms.get(`${FAR}-1`)!,
  ];
  for (const vm of [homeVm, farVm]) {
    await cluster.until(vm, (status) => status.tableVersion === 1);
  }
  return { cluster, home: homeVm, far: farVm };
}

interface Told {
  readonly httpStatus: number;
  readonly region: string | undefined;
  readonly text: string;
}

async function ask(
  vm: Vm,
  key: string,
  nonce: string,
  tokens: number,
): Promise<Told> {
  const body = {
    model: "plan",
    max_tokens: tokens,
    messages: [{ role: "user", content: `nonce:${nonce} route` }],
  };
  const answer = await caller(vm, key, "/v1/chat/completions", { body });
  const text = answer.statusCode === 200
    ? JSON.parse(answer.body).choices[0].message.content
    : answer.body;
  return {
    httpStatus: answer.statusCode,
    region: answer.headers["x-ibisgap-region"] as string,
    text,
  };
}

/** Sends `count` requests side by side, enough to keep the home's one slot busy for seconds. */
function burst(vm: Vm, key: string, count: number): Promise<Told[]> {
  return Promise.all(
    Array.from({ length: count }, (_, i) => ask(vm, key, `${key}-${i}`, 60)),
  );
}

describe("shift, each part a process", () => {
  // The home has one slot and a burst to serve. The far region's digest says that it is idle, so part of the burst moves
  // there, once its digest is known; each caller gets its own whole answer, marked with the region that gave it. What
  // the table binds stays at home in the same burst.
  it("moves what may move, and nothing else", async (t) => {
    const { home } = await openRegions(t);
    const moved: Told[] = [];
    for (
      let round = 0;
      round < 10 && !moved.some((told) => told.region === FAR);
      round++
    ) {
      moved.push(...await burst(home, FREE_KEY, 8));
    }
    t.true(moved.some((told) => told.region === FAR), "nothing moved");
    for (const [i, told] of moved.entries()) {
      t.is(told.httpStatus, 200, told.text);
      t.is(told.text, formatAnswer(`${FREE_KEY}-${i % 8}`, 60));
    }
    const bound = await burst(home, keyOf(HOME), 8);
    t.deepEqual([...new Set(bound.map((told) => told.region))], [HOME]);
  });

  // The far region is cut off. Its digest ages, nothing is sent there, and the home serves its own as well as it can:
  // callers see waiting, not errors. When the link is back, requests move again.
  it("stays at home while the link is cut", async (t) => {
    const { cluster, home, far } = await openRegions(t);
    await cluster.setLinks(home, { cut: { peer: {}, cut: true } });
    await sleep(4000);
    const alone = await burst(home, FREE_KEY, 8);
    t.deepEqual([
      ...new Set(alone.map((told) => [told.httpStatus, told.region].join())),
    ], [`200,${HOME}`]);
    const foreign = await caller(far, keyOf(HOME), "/services/ledger/x", {
      body: {},
      headers: { "idempotency-key": "k" },
    });
    t.deepEqual([refusal(foreign).code, refusal(foreign).ran], [2008, "no"]);
    await cluster.setLinks(home, {});
    const regions = new Set<string | undefined>();
    for (let round = 0; round < 20 && !regions.has(FAR); round++) {
      for (const told of await burst(home, FREE_KEY, 8)) {
        regions.add(told.region);
      }
    }
    t.true(regions.has(FAR), "nothing moved after the link came back");
  });
});
