import type { ExecutionContext } from "ava";
import { describe, itAlone as it } from "../src/base/describe.ts";
import { secretDigest } from "../src/base/mod.ts";
import { formatAnswer } from "../src/standins/mod.ts";
import {
  callVm,
  Cluster,
  keyOf,
  readError,
  sleep,
  standardRows,
  upstreamRow,
  type Vm,
} from "./cluster.ts";

const HOME = "agadir";
const REMOTE = "marrakech";
const UNBOUND_KEY = "key-of-free-workspace";

interface TestRegions {
  readonly cluster: Cluster;
  readonly home: Vm;
  readonly remote: Vm;
}

/** Two regions of one VM and one engine each; the home's engine runs one request at a time. */
async function openRegions(t: ExecutionContext): Promise<TestRegions> {
  const cluster = new Cluster();
  t.teardown(() => cluster.close());
  await cluster.startPlatform();
  const [homeEngine, remoteEngine, ledger] = await cluster.startUpstreams(2, 1);
  await cluster.seedTable([
    ...standardRows([HOME, REMOTE], [
      upstreamRow("near", "plan", HOME, homeEngine.url, { slots: 1 }),
      upstreamRow("far", "plan", REMOTE, remoteEngine.url, { slots: 16 }),
      upstreamRow("ledger-1", "ledger", HOME, ledger.url),
    ]),
    { kind: "traffic", service: "plan", region: HOME, mayGoTo: [REMOTE] },
    {
      kind: "workspace",
      id: "free",
      home: HOME,
      bound: false,
      keyDigests: [secretDigest(UNBOUND_KEY)],
    },
  ]);
  await cluster.startRegions([HOME, REMOTE], 1);
  const [homeVm, remoteVm] = [
    cluster.vms.get(`${HOME}-1`)!,
    cluster.vms.get(`${REMOTE}-1`)!,
  ];
  for (const vm of [homeVm, remoteVm]) {
    await cluster.waitFor(vm, (status) => status.tableVersion === 1);
  }
  return { cluster, home: homeVm, remote: remoteVm };
}

interface Reply {
  readonly httpStatus: number;
  readonly region: string | undefined;
  readonly text: string;
}

async function sendChat(
  vm: Vm,
  key: string,
  nonce: string,
  maxTokens: number,
): Promise<Reply> {
  const body = {
    model: "plan",
    max_tokens: maxTokens,
    messages: [{ role: "user", content: `nonce:${nonce} route` }],
  };
  const answer = await callVm(vm, key, "/v1/chat/completions", { body });
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
function sendBurst(vm: Vm, key: string, count: number): Promise<Reply[]> {
  return Promise.all(
    Array.from(
      { length: count },
      (_, i) => sendChat(vm, key, `${key}-${i}`, 60),
    ),
  );
}

describe("shift, each part a process", () => {
  // The home has one slot and a burst to serve. The far region's digest says that it is idle, so part of the burst moves
  // there, once its digest is known; each caller gets its own whole answer, marked with the region that gave it. What
  // the table binds stays at home in the same burst.
  it("moves what may move, and nothing else", async (t) => {
    const { home } = await openRegions(t);
    const replies: Reply[] = [];
    for (
      let round = 0;
      round < 10 && !replies.some((reply) => reply.region === REMOTE);
      round++
    ) {
      replies.push(...await sendBurst(home, UNBOUND_KEY, 8));
    }
    t.true(replies.some((reply) => reply.region === REMOTE), "nothing moved");
    for (const [i, reply] of replies.entries()) {
      t.is(reply.httpStatus, 200, reply.text);
      t.is(reply.text, formatAnswer(`${UNBOUND_KEY}-${i % 8}`, 60));
    }
    const boundReplies = await sendBurst(home, keyOf(HOME), 8);
    t.deepEqual([...new Set(boundReplies.map((reply) => reply.region))], [
      HOME,
    ]);
  });

  // The far region is cut off. Its digest ages, nothing is sent there, and the home serves its own as well as it can:
  // callers see waiting, not errors. When the link is back, requests move again.
  it("stays at home while the link is cut", async (t) => {
    const { cluster, home, remote } = await openRegions(t);
    await cluster.setLinkFaults(home, { cut: { peer: {}, cut: true } });
    await sleep(4000);
    const localReplies = await sendBurst(home, UNBOUND_KEY, 8);
    t.deepEqual([
      ...new Set(
        localReplies.map((reply) => [reply.httpStatus, reply.region].join()),
      ),
    ], [`200,${HOME}`]);
    const refused = await callVm(remote, keyOf(HOME), "/services/ledger/x", {
      body: {},
      headers: { "idempotency-key": "k" },
    });
    t.deepEqual([readError(refused).code, readError(refused).ran], [
      2008,
      "no",
    ]);
    await cluster.setLinkFaults(home, {});
    const regions = new Set<string | undefined>();
    for (let round = 0; round < 20 && !regions.has(REMOTE); round++) {
      for (const reply of await sendBurst(home, UNBOUND_KEY, 8)) {
        regions.add(reply.region);
      }
    }
    t.true(regions.has(REMOTE), "nothing moved after the link came back");
  });
});
