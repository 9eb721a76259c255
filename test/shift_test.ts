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

/** Opens two regions of one VM and one engine each. The home region's engine runs one request at a time. */
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

/** Sends `count` requests concurrently. 8 of them keep the home region's only slot busy for seconds. */
function sendBurst(vm: Vm, key: string, count: number): Promise<Reply[]> {
  return Promise.all(
    Array.from(
      { length: count },
      (_, i) => sendChat(vm, key, `${key}-${i}`, 60),
    ),
  );
}

describe("placement in other regions, with real daemons", () => {
  // The home region has one slot and gets a burst. The remote region's load digest says that it is idle, so the home
  // region sends part of the burst there once it has the digest. Each caller gets its own complete answer, marked with
  // the region that gave it. Requests of a bound workspace stay in the home region during an equal burst.
  it("moves requests of unbound workspaces only", async (t) => {
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

  // The link to the remote region is cut. Its load digest becomes stale, nothing is sent there, and the home region
  // serves its requests alone: callers wait longer but get no errors. Requests move again when the link is back.
  it("keeps requests in the home region while the link is cut", async (t) => {
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
