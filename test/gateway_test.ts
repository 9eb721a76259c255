import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { fileURLToPath } from "node:url";
import { describe, it } from "../src/base/describe.ts";
import { DEFAULT_STREAM_EVENTS, formatStream } from "../src/standins/mod.ts";
import { openLab, waitUntil, waitUntilServedBy } from "./gateway_lab.ts";

describe("gateway", () => {
  describe("a request", () => {
    it("reaches its upstream as it was sent, and its caller gets the answer", async (t) => {
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

    it("with a chunked body arrives complete", async (t) => {
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

    it("to an unknown path is answered with 404", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      t.is((await lab.call(vm, { path: "/nowhere/" })).status, 404);
    });

    it("with too large a head or body is refused and not run", async (t) => {
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

    // Request smuggling: two lengths that contradict each other hide a second request in the body of the first.
    it("that hides another one in its body is refused", async (t) => {
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

  describe("upstream failures", () => {
    it("retries on another upstream after a refusal", async (t) => {
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

    it("tells the caller that nothing was run, and when to retry, if the only upstream refuses", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "shed";
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 503);
      t.true(Number(answer.headers["retry-after"]) > 0);
    });

    // The upstream runs the call and its answer is lost. A retry by the gateway would make the convoy depart twice, and
    // a caller that is told "not run" would send the call again.
    it("does not retry an at-most-once call that was run, nor tell the caller that it was not run", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      for (const runner of lab.runners) runner.behavior = "reset";
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 502);
      t.is(lab.runners[0].arrivals.length + lab.runners[1].arrivals.length, 1);
    });

    it("retries an idempotent call after a reset, though it was run", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      lab.runners[0].behavior = "reset";
      for (let i = 0; i < 4; i++) {
        t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      }
    });

    it("retries an idempotent call if the upstream does not answer", async (t) => {
      const { lab, vm } = await openLab(t, 2);
      lab.runners[0].behavior = "silent";
      for (let i = 0; i < 3; i++) {
        t.is((await lab.call(vm, { path: "/safe/" })).status, 200);
      }
    });

    it("ends an at-most-once call at its deadline if the upstream does not answer, without telling the caller that it was not run", async (t) => {
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

    it("passes on the upstream's own error if there is no other upstream", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "error";
      const answer = await lab.call(vm, { path: "/safe/" });
      t.is(answer.status, 500);
      t.is(answer.headers["response-stamp"], `stamp-${lab.runners[0].id}`);
    });

    // The answer has no length: the end of its connection ends it. A reset looks like that end, and half an answer
    // would pass for a whole one.
    it("breaks the caller's connection after a reset in the middle of an answer without a length", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "resetUnframed";
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.false(answer.isComplete && answer.status === 200);
    });

    it("passes on nothing of an answer that is unsigned or belongs to another attempt", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      for (const mood of ["crossed", "unsigned"] as const) {
        lab.runners[0].behavior = mood;
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.is(answer.status, 502, mood);
        t.false(answer.body.includes("served by"));
      }
    });

    // A second answer follows the first on the keep-alive connection. If the gateway read it as the answer to the next
    // request, that caller would get somebody else's answer.
    it("closes a connection with a surplus answer, and the next request gets its own answer", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      lab.runners[0].behavior = "surplus";
      for (let i = 0; i < 4; i++) {
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.is(answer.body, `served by ${lab.runners[0].id}`);
      }
    });

    // The address of one upstream was given to another, which would run requests that are meant for the first.
    it("skips an upstream whose address now belongs to another one", async (t) => {
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
    it("is passed on complete", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const answer = await lab.call(vm, {
        path: "/streamonce/",
        method: "POST",
      });
      t.is(answer.body, formatStream());
      t.true(answer.isComplete);
    });

    // The engine stops in the middle of an event. The caller sees one stream with each event once, and with the first
    // engine's head.
    it("that can be resumed continues on another engine after its last complete event", async (t) => {
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

    it("that cannot be resumed breaks visibly for its caller", async (t) => {
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

  describe("a caller that disconnects", () => {
    it("has its request canceled at the upstream", async (t) => {
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

    it("has its request canceled in another region too", async (t) => {
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
    it("serves the requests that are bound to it, and no other region runs them", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const remoteRunner = await lab.addRunner("south");
      const remoteVm = await lab.addVm("south");
      await lab.waitUntilReady(remoteVm);
      await waitUntilServedBy(lab, vm, remoteRunner.id);
      t.is(lab.runners[0].arrivals.length, 0);
    });

    // The VM that hands a request over may time out and send it elsewhere itself. If the other VM meanwhile tried the
    // rest of the route's upstreams, the request would run on more upstreams than it may.
    it("sends a request that was handed over to it to one upstream only", async (t) => {
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

    // One VM of the other region loses power. Its missing heartbeats are noticed only after a second or more. Until
    // then, half of the handovers went to it, and each one that failed made the sender give up the whole region.
    it("that has lost one VM is still served through another", async (t) => {
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
      // A request that is sent while its keep-alive connection is being closed may have run; this test excludes that
      // case.
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

    it("that is unreachable has its requests refused and not run", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const answer = await lab.call(vm, { path: "/south/", method: "POST" });
      t.is(answer.status, 503);
      t.is(lab.runners[0].arrivals.length, 0);
    });
  });

  // The reader of the log stalls. A pipe that nobody reads would block a process that writes to it synchronously.
  it("drops log lines and keeps running when the reader of its log stalls", async (t) => {
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
