import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { fileURLToPath } from "node:url";
import { describe, it } from "../src/base/describe.ts";
import { DEFAULT_STREAM_EVENTS, formatStream } from "../src/standins/mod.ts";
import { openLab, waitUntil, waitUntilServedBy } from "./gateway_lab.ts";

describe("gateway", () => {
  describe("a request", () => {
    it("reaches its upstream as it was sent, and the answer its caller", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const answer = await lab.call(vm, {
        path: "/once/x?y=%20z",
        method: "POST",
        body: "the body",
        headers: {
          "attempt-id": "9c41",
          hold: "7",
          "kv-backup": "x",
          model: "m",
          "deadline-ms": "1200",
        },
      });
      t.is(answer.status, 200);
      t.is(answer.body, `served by ${lab.runners[0].id}`);
      t.is(answer.headers["response-stamp"], `stamp-${lab.runners[0].id}`);
      const [arrival] = lab.runners[0].arrivals;
      t.is(arrival.target, "/once/x?y=%20z");
      t.is(arrival.body, "the body");
      t.is(arrival.headers["attempt-id"], "9c41");
      t.is(arrival.headers.model, "m");
      t.is(arrival.headers.hold, undefined);
      t.is(arrival.headers["kv-backup"], undefined);
      t.is(arrival.headers["expect-instance"], lab.runners[0].id);
      const leftMs = Number(arrival.headers["deadline-ms"]);
      t.true(leftMs > 0 && leftMs <= 1_200, `${leftMs}`);
    });

    it("with a body in chunks arrives whole", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const answer = await lab.call(vm, {
        path: "/once/",
        method: "POST",
        headers: { "transfer-encoding": "chunked" },
        body: "in chunks",
      });
      t.is(answer.status, 200);
      t.is(lab.runners[0].arrivals[0].body, "in chunks");
    });

    it("to an unknown path is told so", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      t.is((await lab.call(vm, { path: "/nowhere/" })).status, 404);
    });

    it("too large in head or body is refused and not run", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const largeBody = await lab.call(vm, {
        path: "/once/",
        method: "POST",
        body: "x".repeat(10_001),
      });
      t.is(largeBody.status, 413);
      const largeHead = await lab.call(vm, {
        path: "/once/",
        headers: { "x-long": "y".repeat(5_000) },
      });
      t.is(largeHead.status, 431);
      t.is(lab.runners[0].arrivals.length, 0);
    });

    // A second request hides in the body of the first, by two lengths that contradict each other.
    it("smuggled inside another is refused", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const [host, port] = vm.settings.listen.callers.split(":");
      const socket = connect(Number(port), host);
      socket.write(
        "POST /once/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nContent-Length: 6\r\n" +
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
      );
      const [chunk] = await once(socket, "data") as [Buffer];
      socket.destroy();
      t.regex(chunk.toString(), /^HTTP\/1.1 400/);
      t.is(lab.runners[0].arrivals.length, 0);
    });
  });

  describe("an upstream that fails", () => {
    it("by refusing is replaced by another", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      lab.runners[0].behavior = "shed";
      for (let i = 0; i < 6; i++) {
        t.is(
          (await lab.call(vm, { path: "/once/", method: "POST" })).status,
          200,
        );
      }
      t.is(lab.runners[1].arrivals.length, 6);
    });

    it("by refusing alone leaves a promise that nothing was run, with a time", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "shed";
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 503);
      t.true(Number(answer.headers["retry-after"]) > 0);
    });

    // The upstream runs the call and its answer is lost. Sent again, the convoy would depart twice; told "not run", its
    // caller would send it again.
    it("after it ran an at-most-once call is not replaced, and nothing is promised", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      for (const runner of lab.runners) runner.behavior = "reset";
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 502);
      t.is(lab.runners[0].arrivals.length + lab.runners[1].arrivals.length, 1);
    });

    it("after it ran an idempotent call is replaced", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      lab.runners[0].behavior = "reset";
      for (let i = 0; i < 4; i++) {
        t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      }
    });

    it("by silence is replaced for an idempotent call", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      lab.runners[0].behavior = "silent";
      for (let i = 0; i < 3; i++) {
        t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      }
    });

    it("by silence ends an at-most-once call at its deadline, without a promise", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "silent";
      const answer = await lab.call(vm, {
        path: "/once/",
        method: "POST",
        headers: { "deadline-ms": "300" },
      });
      t.is(answer.status, 504);
      await waitUntil(() => lab.runners[0].arrivals[0].isCut);
    });

    it("with an error of its own passes it on if nobody else is there", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "error";
      const answer = await lab.call(vm, { path: "/safe/" });
      t.is(answer.status, 500);
      t.is(answer.headers["response-stamp"], `stamp-${lab.runners[0].id}`);
    });

    // The answer has no length: it ends with its connection. A reset looks like that end, and half an answer would pass
    // for a whole one.
    it("in the middle of an answer without a length breaks the caller's connection", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "resetUnframed";
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.false(answer.isComplete && answer.status === 200);
    });

    it("with an answer to another attempt, or unsigned, gives its caller none of it", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      for (const mood of ["crossed", "unsigned"] as const) {
        lab.runners[0].behavior = mood;
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.is(answer.status, 502, mood);
        t.false(answer.body.includes("served by"));
      }
    });

    // A second answer follows the first on the kept connection; read as the answer to the next request, it would be
    // somebody else's.
    it("with a second answer loses its connection, and the next request gets its own", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "surplus";
      for (let i = 0; i < 4; i++) {
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.is(answer.body, `served by ${lab.runners[0].id}`);
      }
    });

    // Its address was given to another upstream, which would run what is meant for the first.
    it("and whose address another has now is passed over", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      const [replaced, current] = lab.runners;
      lab.store.put(`servers/${replaced.id}`, {
        service: "s",
        address: current.address,
        zone: "north-a",
        slots: 8,
        state: "ready",
        seq: 2,
      });
      await waitUntil(() =>
        JSON.stringify(vm.gateway.dump().beliefs).split(
          current.address.split(":")[1],
        ).length > 2
      );
      for (let i = 0; i < 4; i++) {
        t.is(
          (await lab.call(vm, { path: "/once/", method: "POST" })).status,
          200,
        );
      }
      t.is(replaced.arrivals.length, 0);
    });
  });

  describe("a stream", () => {
    it("is passed on whole", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const answer = await lab.call(vm, {
        path: "/streamonce/",
        method: "POST",
      });
      t.is(answer.body, formatStream());
      t.true(answer.isComplete);
    });

    // Its engine stops in the middle of an event. The caller sees one stream, each event once, with the first engine's
    // head.
    it("that can be resumed goes on elsewhere after its last whole event", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      for (const runner of lab.runners) runner.behavior = "halfStream";
      const call = lab.call(vm, { path: "/stream/", method: "POST" });
      await waitUntil(() =>
        lab.runners.some(({ arrivals }) => arrivals.length > 0)
      );
      const first = lab.runners.find(({ arrivals }) => arrivals.length > 0)!;
      for (const runner of lab.runners) {
        if (runner !== first) runner.behavior = "well";
      }
      const answer = await call;
      t.is(answer.body, formatStream());
      t.true(answer.isComplete);
      t.is(answer.headers["response-stamp"], `stamp-${first.id}`);
      const second = lab.runners.find((runner) => runner !== first)!;
      t.is(
        second.arrivals[0].headers["last-event-id"],
        String(DEFAULT_STREAM_EVENTS / 2),
      );
    });

    it("that cannot be resumed breaks visibly", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      for (const runner of lab.runners) runner.behavior = "halfStream";
      const answer = await lab.call(vm, {
        path: "/streamonce/",
        method: "POST",
      });
      t.is(answer.status, 200);
      t.false(answer.isComplete);
      t.is(lab.runners[0].arrivals.length + lab.runners[1].arrivals.length, 1);
    });
  });

  describe("a caller that leaves", () => {
    it("ends its work at the upstream", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "silent";
      await lab.call(vm, {
        path: "/once/",
        method: "POST",
        abortWhen: () => lab.runners[0].arrivals.length > 0,
      });
      await waitUntil(() => lab.runners[0].arrivals[0]?.isCut);
      t.pass();
    });

    it("ends it through the other region too", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const remoteRunner = await lab.addRunner("south");
      const remoteVm = await lab.addVm("south");
      await lab.waitUntilReady(remoteVm);
      await waitUntilServedBy(lab, vm, remoteRunner.id);
      remoteRunner.behavior = "silent";
      const before = remoteRunner.arrivals.length;
      await lab.call(vm, {
        path: "/south/",
        method: "POST",
        abortWhen: () => remoteRunner.arrivals.length > before,
      });
      await waitUntil(() => remoteRunner.arrivals.at(-1)?.isCut ?? false);
      t.pass();
    });
  });

  describe("another region", () => {
    it("serves what is bound to it, and only that region runs it", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const remoteRunner = await lab.addRunner("south");
      const remoteVm = await lab.addVm("south");
      await lab.waitUntilReady(remoteVm);
      await waitUntilServedBy(lab, vm, remoteRunner.id);
      t.is(lab.runners[0].arrivals.length, 0);
    });

    // The VM that hands a request over may give up waiting and send it elsewhere itself. If the other VM used the rest of
    // the route's upstreams meanwhile, the request would run on more than it may.
    it("sends what it was handed to one upstream only", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const remoteRunners = [
        await lab.addRunner("south"),
        await lab.addRunner("south"),
      ];
      const remoteVm = await lab.addVm("south");
      await lab.waitUntilReady(remoteVm);
      for (const runner of remoteRunners) runner.behavior = "error";
      await waitUntil(async () => {
        const answer = await lab.call(vm, { path: "/southsafe/" });
        return answer.status === 500;
      });
      t.is(
        remoteRunners[0].arrivals.length + remoteRunners[1].arrivals.length,
        1,
      );
    });

    // One VM of the other region loses power. Its heartbeats are missed only after a second or more; until then half of
    // the hand-overs went to it, and each one that failed gave up the whole region.
    it("that lost one VM serves on through another", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const runner = await lab.addRunner("south");
      const lostVm = await lab.addVm("south");
      await waitUntilServedBy(lab, vm, runner.id);
      const otherVm = await lab.addVm("south");
      await lab.waitUntilReady(otherVm);
      await waitUntil(() => {
        const { regions } = vm.gateway.dump().members as {
          regions: { digest: { from: { region: string }; ready: string[] } }[];
        };
        return regions.some(({ digest }) =>
          digest.from.region === "south" && digest.ready.length === 2
        );
      });
      await lostVm.gateway.close();
      // A request that crosses the close of a kept connection may have run; that is another case.
      await waitUntil(() => {
        const { idleConnections } = vm.gateway.dump().relays as {
          idleConnections: Record<string, number>;
        };
        return idleConnections[lostVm.settings.vm.ip] === 0;
      });
      for (let i = 0; i < 6; i++) {
        const answer = await lab.call(vm, { path: "/south/", method: "POST" });
        t.is(answer.status, 200);
      }
    });

    it("that is gone leaves a bound request refused, not run", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const answer = await lab.call(vm, { path: "/south/", method: "POST" });
      t.is(answer.status, 503);
      t.is(lab.runners[0].arrivals.length, 0);
    });
  });

  // Whoever reads the log stalls: a pipe that nobody empties would stop a process that writes to it synchronously.
  it("a reader of the log that stalls costs lines and no service", async (t) => {
    const script = fileURLToPath(new URL("./log_flood.js", import.meta.url));
    const child = spawn(process.execPath, [script], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    t.teardown(() => child.kill("SIGKILL"));
    const [output] = await once(child.stderr, "data") as [Buffer];
    t.regex(output.toString(), /^written 20000, waiting \d+/);
    t.true(Number(/waiting (\d+)/.exec(output.toString())?.[1]) < 400_000);
  });
});
