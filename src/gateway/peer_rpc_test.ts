import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "../base/describe.ts";
import { systemClock } from "../base/mod.ts";
import { Kernel } from "../kernel/mod.ts";
import { SILENT_LOG } from "../../test/silent_log.ts";
import type { Members } from "./members.ts";
import { PeerRpc } from "./peer_rpc.ts";
import type { Relays } from "./relays.ts";
import { StoreView } from "./store_view.ts";

const HOST = "127.0.0.1";
const WAIT_MS = 10_000;
const POLL_MS = 20;

describe("peer calls", () => {
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
    const members = {
      newsSources: () => [
        { id: "peer", ip: HOST, region: "north", isServed: true, copies },
      ],
      onRosterReceived: () => {},
    } as unknown as Members;
    const relays = {
      agent: () => undefined,
      port: (peer.address() as AddressInfo).port,
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
    await kernel.start(new PeerRpc(view, members, relays, "north"));
    const endMs = systemClock.monoMs() + WAIT_MS;
    while (questions < 2 && systemClock.monoMs() < endMs) {
      await systemClock.sleep(POLL_MS);
    }
    t.true(questions >= 2);
    await kernel.close(systemClock.nowMs());
    peer.closeAllConnections();
    peer.close();
  });
});
