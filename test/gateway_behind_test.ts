import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { describe, itAlone as it } from "../src/base/describe.ts";
import { type LabVm, openLab, waitUntil } from "./gateway_lab.ts";

const CALLER_COUNT = 10;
const LONG_BLOCK_MS = 100;
const SHORT_BLOCK_MS = 30;

/** Connects to a VM as a caller. */
async function connectToVm(vm: LabVm): Promise<Socket> {
  const [host, port] = vm.settings.listen.callers.split(":");
  const socket = connect(Number(port), host);
  await once(socket, "connect");
  return socket;
}

function sendAndDisconnect(socket: Socket): void {
  socket.write(
    "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n\r\n",
  );
  socket.destroy();
}

/** Makes each turn of this process's loop take so long, until closed. */
function blockEventLoop(blockMs: number): { close(): void } {
  const timer = setInterval(() => {
    const endMs = performance.now() + blockMs;
    while (performance.now() < endMs);
  }, 1);
  return { close: () => clearInterval(timer) };
}

/** Requests that were given up, or refused as they could not begin soon. */
function countCanceledOrShed(vm: LabVm): number {
  const outcomes = vm.log.lines.map(({ fields }) => fields.outcome);
  return outcomes.filter((outcome) =>
    outcome === "canceled" || outcome === "queueFull"
  ).length;
}

// Alone in its file: it blocks its process, and with it whatever runs beside.
describe("gateway", () => {
  describe("a caller that leaves", () => {
    // The VM is so far behind that it reads the request together with the end of its connection. Sent on at once, the
    // request would reach an upstream long after its caller had left.
    it("while the VM is behind is not sent to an upstream", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const [host, port] = vm.settings.listen.callers.split(":");
      const socket = connect(Number(port), host);
      await once(socket, "connect");
      await lab.call(vm, { path: "/safe/" });
      const before = lab.runners[0].arrivals.length;
      socket.write(
        "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\n\r\n",
      );
      socket.destroy();
      const endMs = performance.now() + 700;
      while (performance.now() < endMs);
      await waitUntil(() =>
        vm.log.lines.some(({ fields }) => fields.outcome === "canceled")
      );
      t.is(lab.runners[0].arrivals.length, before);
    });

    // Each turn of the loop takes long, none so long that it shows by itself.
    it("while every turn of the VM is slow is not sent to an upstream", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const sockets = await Promise.all(
        Array.from({ length: CALLER_COUNT }, () => connectToVm(vm)),
      );
      await lab.call(vm, { path: "/safe/" });
      const before = lab.runners[0].arrivals.length;
      const blocker = blockEventLoop(LONG_BLOCK_MS);
      await new Promise((resolve) => setTimeout(resolve, 3 * LONG_BLOCK_MS));
      for (const socket of sockets) sendAndDisconnect(socket);
      await waitUntil(() => countCanceledOrShed(vm) === CALLER_COUNT);
      blocker.close();
      t.is(lab.runners[0].arrivals.length, before);
    });

    // A process takes one new connection a turn: the request has waited as long as all that were taken before it.
    it("before its connection was taken is not sent to an upstream", async (t) => {
      const { lab, vm } = await openLab(t, 1);
      await lab.call(vm, { path: "/safe/" });
      const before = lab.runners[0].arrivals.length;
      const blocker = blockEventLoop(SHORT_BLOCK_MS);
      const sockets = Array.from(
        { length: CALLER_COUNT },
        () => connectToVm(vm),
      );
      for (const socket of sockets) void socket.then(sendAndDisconnect);
      await waitUntil(() => countCanceledOrShed(vm) === CALLER_COUNT);
      blocker.close();
      t.is(lab.runners[0].arrivals.length, before);
    });
  });
});
