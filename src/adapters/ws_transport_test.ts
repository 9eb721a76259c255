import type { ExecutionContext } from "ava";
import { WebSocket } from "ws";
import { describe, it } from "../base/describe.ts";
import { WsTransport, type WsTransportOptions } from "./ws_transport.ts";

/** An address of this process: a port that is closed and opened again there goes to no other process meanwhile. */
const HOST = `127.10.${process.pid >> 8 & 255}.${1 + process.pid % 254}`;

async function open(
  t: ExecutionContext,
  vmId: string,
  more: Partial<WsTransportOptions> = {},
): Promise<WsTransport> {
  const transport = await WsTransport.open({
    vmId,
    region: "agadir",
    secret: "s3cret",
    host: HOST,
    port: 0,
    handshakeTimeoutMs: 300,
    ...more,
  });
  t.teardown(() => transport.close());
  return transport;
}

const longDeadlineMs = () => Date.now() + 10_000;
const shortDeadlineMs = () => Date.now() + 200;

describe("transport", () => {
  it("passes the sender's VM id and region to the handler and counts bytes", async (t) => {
    const a = await open(t, "a");
    const b = await open(t, "b");
    b.handle("echo.say", (params, from) => ({ params, from }));
    const answer = await a.call(
      b.address,
      "echo.say",
      { x: 1 },
      longDeadlineMs(),
    );
    t.deepEqual(answer._unsafeUnwrap(), {
      params: { x: 1 },
      from: { vmId: "a", region: "agadir" },
    });
    t.is(a.bytes().sent, b.bytes().received);
    t.is(a.bytes().received, b.bytes().sent);
    t.deepEqual(Object.keys(b.bytesByService()), ["echo"]);
  });

  it("delivers a notification and returns a handler's error", async (t) => {
    const a = await open(t, "a");
    const b = await open(t, "b");
    const heard = new Promise((resolve) => b.handle("x.note", resolve));
    b.handle("x.fail", () => {
      throw new Error("no such thing");
    });
    a.notify(b.address, "x.note", [7]);
    t.deepEqual(await heard, [7]);
    const answer = await a.call(b.address, "x.fail", {}, longDeadlineMs());
    t.like(answer._unsafeUnwrapErr(), {
      kind: "failed",
      message: "no such thing",
    });
  });

  it("refuses a wrong secret, another protocol version and a peer without a VM id", async (t) => {
    const a = await open(t, "a", { secret: "wrong" });
    const b = await open(t, "b");
    const answer = await a.call(b.address, "echo.say", {}, longDeadlineMs());
    t.is(answer._unsafeUnwrapErr().kind, "unreachable");
    const status = (protocol: string, headers: Record<string, string>) =>
      new Promise<number | undefined>((resolve) => {
        const socket = new WebSocket(`ws://${b.address}`, protocol, {
          headers,
        });
        socket.on("unexpected-response", (_request, response) => {
          resolve(response.statusCode);
          response.destroy();
        });
        socket.on("error", () => {});
      });
    const authorization = "Bearer s3cret";
    t.is(await status("ibisgap.1", {}), 401);
    t.is(await status("ibisgap.9", { authorization }), 426);
    t.is(await status("ibisgap.1", { authorization }), 400);
  });

  // The credential is changed VM by VM: first all VMs accept the new one too, then each VM presents it.
  it("accepts a second credential while the credential is changed", async (t) => {
    const changed = await open(t, "a", { secret: "new-one" });
    const old = await open(t, "b", { alsoAccepted: "new-one" });
    old.handle("echo.say", (params) => params);
    const answer = await changed.call(
      old.address,
      "echo.say",
      {},
      longDeadlineMs(),
    );
    t.true(answer.isOk());
  });

  describe("when a peer crashes", () => {
    // A call is pending when the peer's connections end. It may have been handled, so the caller gets `lost`, at once
    // and not at its deadline. A later call finds no listener and is never sent, so its caller gets `unreachable`.
    it("fails pending calls at once as lost and later calls as unreachable", async (t) => {
      const a = await open(t, "a");
      const b = await open(t, "b");
      const arrived = new Promise<void>((resolve) =>
        b.handle("x.hang", () => {
          resolve();
          return new Promise(() => {});
        })
      );
      const farMs = Date.now() + 1_000_000;
      const pending = a.call(b.address, "x.hang", {}, farMs);
      await arrived;
      const address = b.address;
      await b.terminate();
      t.is((await pending)._unsafeUnwrapErr().kind, "lost");
      const later = await a.call(address, "x.hang", {}, farMs);
      t.is(later._unsafeUnwrapErr().kind, "unreachable");
    });

    // A new process replaces a VM at the same address, and the old connection ends. Calls fail until the link has
    // reconnected, which the backoff delays by at most a second; then they reach the new process.
    it("reconnects to the replacement at the same address", async (t) => {
      const a = await open(t, "a");
      const old = await open(t, "b");
      old.handle("x.who", () => "old");
      const port = Number(old.address.split(":")[1]);
      t.is(
        (await a.call(old.address, "x.who", {}, longDeadlineMs()))
          ._unsafeUnwrap(),
        "old",
      );
      const address = old.address;
      await old.terminate();
      const replacement = await open(t, "b", { port });
      replacement.handle("x.who", () => "new");
      let who: unknown;
      while (who !== "new") {
        await new Promise((resolve) => setTimeout(resolve, 20));
        who = (await a.call(address, "x.who", {}, longDeadlineMs())).unwrapOr(
          "",
        );
      }
      t.is(who, "new");
    });
  });

  describe("link faults", () => {
    // A link is cut in one direction while a connection is open: the other VM handles the call and its answer never
    // arrives. The caller must get `lost` and not `unreachable`, because the call may have been handled.
    it("reports a call as lost when only the answer's direction is cut", async (t) => {
      const a = await open(t, "a");
      const b = await open(t, "b");
      let handled = 0;
      b.handle("x.count", () => ++handled);
      await a.call(b.address, "x.count", {}, longDeadlineMs());
      a.faults.set("deaf", { peer: { vmId: "b" }, direction: "in", cut: true });
      const answer = await a.call(b.address, "x.count", {}, shortDeadlineMs());
      t.is(answer._unsafeUnwrapErr().kind, "lost");
      t.is(handled, 2);
      a.faults.clear();
      t.true((await a.call(b.address, "x.count", {}, longDeadlineMs())).isOk());
    });

    // A link is cut before any connection is made. The handshake hangs as it does when packets are dropped, and at its
    // deadline the call fails as never sent.
    it("reports a call as unreachable when no connection can be made", async (t) => {
      const a = await open(t, "a");
      const b = await open(t, "b");
      b.handle("x.count", () => 1);
      b.faults.set("wall", { peer: { region: "agadir" }, cut: true });
      const blocked = await a.call(b.address, "x.count", {}, shortDeadlineMs());
      t.true(blocked.isErr());
      a.faults.set("wall", { peer: { address: b.address }, cut: true });
      const unsent = await a.call(b.address, "x.count", {}, shortDeadlineMs());
      t.is(unsent._unsafeUnwrapErr().kind, "unreachable");
    });

    it("delays messages on a slow link and keeps their order", async (t) => {
      const a = await open(t, "a");
      const b = await open(t, "b");
      const seen: unknown[] = [];
      b.handle("x.see", (params) => seen.push(params));
      a.faults.set("slow", { peer: {}, direction: "out", delayMs: 40 });
      const answers = [1, 2, 3].map((n) =>
        a.call(b.address, "x.see", n, longDeadlineMs())
      );
      await Promise.all(answers);
      t.deepEqual(seen, [1, 2, 3]);
    });
  });

  it("limits the size of messages in both directions", async (t) => {
    const a = await open(t, "a", { mostMessageBytes: 2000 });
    const b = await open(t, "b", { mostMessageBytes: 2000 });
    b.handle("x.big", (size) => "y".repeat(size as number));
    const tooMuch = "y".repeat(3000);
    const sent = await a.call(b.address, "x.big", tooMuch, longDeadlineMs());
    t.is(sent._unsafeUnwrapErr().kind, "unreachable");
    const answer = await a.call(b.address, "x.big", 3000, longDeadlineMs());
    t.is(answer._unsafeUnwrapErr().kind, "failed");
    const fits = await a.call(b.address, "x.big", 1000, longDeadlineMs());
    t.is((fits._unsafeUnwrap() as string).length, 1000);
  });
});
