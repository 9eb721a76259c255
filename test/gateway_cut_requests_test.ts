import { connect, type Socket } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "./cluster.ts";
import { openLab } from "./gateway_lab.ts";

const ENDS = ["close", "reset"] as const;
/** Long enough for a request that is passed on to reach its upstream. */
const ARRIVE_MS = 300;
/** Pause between the pieces of a head that trickles. */
const PIECE_GAP_MS = 5;
const PIECE_BYTES = 12;

function formatRequest(path: string, attemptId: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\n` +
    `Attempt-Id: ${attemptId}\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n`;
}

function open(address: string): Socket {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port), noDelay: true });
  socket.on("error", () => {});
  return socket;
}

function readStatus(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once("data", (chunk) => resolve(String(chunk).slice(9, 12)));
    socket.once("close", () => resolve("none"));
  });
}

/** Guards against a request that is passed on though part of its head is missing, and against one that ends a VM. */
describe("gateway, a request whose head is cut", () => {
  for (const listener of ["callers", "peers"] as const) {
    for (const end of ENDS) {
      it(`at any byte, is not passed on: ${listener}, ${end}`, async (t) => {
        const { lab, vm } = await openLab(t, 1);
        const address = vm.settings.listen[listener];
        const whole = formatRequest("/once/", "cut");
        for (let at = 0; at < whole.length; at++) {
          const socket = open(address);
          socket.write(whole.slice(0, at) || "\r\n", () => {
            if (end === "close") socket.end();
            else socket.resetAndDestroy();
          });
        }
        await sleep(ARRIVE_MS);
        t.deepEqual(lab.runners[0].arrivals, []);
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.is(answer.status, 200);
      });
    }
  }
});

/** Guards against a request that goes unanswered as its head comes in pieces. */
describe("gateway, a request whose head trickles", () => {
  it("is answered if it is whole in time, each time on a kept connection", async (t) => {
    const { vm } = await openLab(t, 1);
    const socket = open(vm.settings.listen.callers);
    t.teardown(() => void socket.destroy());
    for (let i = 0; i < 3; i++) {
      const text = formatRequest("/once/", `trickle-${i}`);
      const status = readStatus(socket);
      for (let at = 0; at < text.length; at += PIECE_BYTES) {
        socket.write(text.slice(at, at + PIECE_BYTES));
        await sleep(PIECE_GAP_MS);
      }
      t.is(await status, "200");
    }
  });

  it("is answered by 408 if it isn't", async (t) => {
    const { lab, vm } = await openLab(t, 1);
    // The configuration's timeouts hold for connections that come after the first request.
    await lab.call(vm, { path: "/once/", method: "POST" });
    const socket = open(vm.settings.listen.callers);
    t.teardown(() => void socket.destroy());
    socket.write(formatRequest("/once/", "late").slice(0, -2));
    t.is(await readStatus(socket), "408");
    t.is(lab.runners[0].arrivals.length, 1);
  });
});

/** Guards against a relayed request that ends without an answer as the VM that it was relayed to ends. */
describe("gateway, an answer of a VM that ends", () => {
  for (const path of ["/once/", "/safe/", "/stream/"]) {
    it(`before its head is answered: ${path}`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      const southVm = await lab.addVm("south");
      const runner = await lab.addRunner("south");
      await lab.waitUntilReady(southVm);
      await lab.waitUntilAllKnown();
      let served = 0;
      while (served === 0) {
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        if (answer.status === 200) served++;
        else await sleep(PIECE_GAP_MS);
      }
      runner.behavior = "silent";
      const before = runner.arrivals.length;
      const calls = Array.from(
        { length: 5 },
        () => lab.call(vm, { path, method: "POST" }),
      );
      while (runner.arrivals.length < before + 5) await sleep(PIECE_GAP_MS);
      await lab.closeVm(southVm);
      for (const { status, isComplete } of await Promise.all(calls)) {
        t.true(path === "/once/" ? status === 502 : status >= 500, `${status}`);
        t.true(isComplete);
      }
    });
  }
});
