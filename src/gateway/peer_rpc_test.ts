import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import { Kernel } from "../kernel/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import type { ReplicaStates } from "../region/mod.ts";
import { openUnframedServer } from "../../test/unframed_server.ts";
import type { Members } from "./members.ts";
import { GatewayMetrics } from "./metrics.ts";
import { PeerRpc } from "./peer_rpc.ts";
import type { Relays } from "./relays.ts";
import { Replica } from "./replica.ts";
import { StoreView } from "./store_view.ts";

const HOST = "127.0.0.1";
const WAIT_MS = 10_000;
const POLL_MS = 20;

/** Opens a VM that can read no store, and knows one other VM, which is ahead. */
async function openPeerRpc(address: string, copies: ReplicaStates) {
  const [ip, port] = address.split(":");
  const members = {
    newsSources: () => [
      { id: "peer", ip, region: "north", isServed: true, copies },
    ],
    onRosterReceived: () => {},
  } as unknown as Members;
  const relays = {
    agent: () => undefined,
    port: Number(port),
  } as unknown as Relays;
  const never = () => new Promise<never>(() => {});
  const view = new StoreView({
    vmId: "vm",
    store: { list: never, changes: never },
    failureDomains: {},
    isReader: () => false,
  });
  const kernel = new Kernel(systemClock, SILENT_LOG);
  await kernel.start(view);
  const metrics = new GatewayMetrics();
  await kernel.start(
    new PeerRpc({ storeView: view, members, relays, metrics, region: "north" }),
  );
  return { view, kernel };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const endMs = systemClock.monoMs() + WAIT_MS;
  while (!condition() && systemClock.monoMs() < endMs) {
    await systemClock.sleep(POLL_MS);
  }
}

describe("peer calls", () => {
  it("take nothing from a part of an answer", async (t) => {
    const peer = new Replica({
      contentOf: ({ value }) => value,
      onPut: () => {},
      onDelete: () => {},
    });
    const entries = [{ key: "k/1", value: "{}", rev: 9 }];
    peer.applyListing({ entries, rev: 9, more: false });
    const news = peer.newsFor({ sinceRev: 0, heldHashes: {} });
    const whole = JSON.stringify({ jsonrpc: "2.0", id: 1, result: news });
    const half = whole.slice(0, whole.length / 2);
    const answers = ["", half, whole.slice(0, -1), whole];
    const held: number[] = [];
    const address = await openUnframedServer(t, () => {
      held.push(view.copies.operators.rev);
      return { body: answers[Math.min(held.length, answers.length) - 1] };
    });
    const copies = {
      operators: peer.state,
      upstreams: { rev: 0, digest: "0" },
    };
    const { view, kernel } = await openPeerRpc(address, copies);
    await waitUntil(() => view.copies.operators.rev === 9);
    await kernel.close(systemClock.nowMs());
    t.deepEqual(held, [0, 0, 0, 0]);
    t.deepEqual(view.copies.operators, peer.state);
  });

  it("go on after an answer that belongs to no question", async (t) => {
    let questions = 0;
    const peer = createServer((_request, response) => {
      questions++;
      response.end('{"jsonrpc":"2.0","id":null,"result":{}}');
    });
    await new Promise<void>((resolve) => peer.listen(0, HOST, resolve));
    const copies = {
      operators: { rev: 9, digest: "other" },
      upstreams: { rev: 0, digest: "0" },
    };
    const address = `${HOST}:${(peer.address() as AddressInfo).port}`;
    const { kernel } = await openPeerRpc(address, copies);
    await waitUntil(() => questions >= 2);
    t.true(questions >= 2);
    await kernel.close(systemClock.nowMs());
    peer.closeAllConnections();
    peer.close();
  });
});
