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

/** Blocks each iteration of this process's event loop for `blockMs`, until closed. */
function blockEventLoop(blockMs: number): { close(): void } {
  const timer = setInterval(() => {
    const endMs = performance.now() + blockMs;
    while (performance.now() < endMs);
  }, 1);
  return { close: () => clearInterval(timer) };
}

/** Counts the requests that were canceled, or refused because they could not start soon. */
function countCanceledOrShed(vm: LabVm): number {
  const outcomes = vm.log.lines.map(({ fields }) => fields.outcome);
  return outcomes.filter((outcome) =>
    outcome === "canceled" || outcome === "queueFull"
  ).length;
}

// These tests have a file of their own because they block the process, and with it everything that runs concurrently.
describe("gateway", () => {
  describe("a request whose caller disconnects", () => {
    // The VM is so far behind that it reads the request together with the end of its connection. If it sent the request
    // on at once, the request would reach an upstream long after its caller had disconnected.
    it("while the VM's event loop is blocked is not sent to an upstream", async (t) => {
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

    // Each iteration of the event loop takes long, but none so long that it is noticeable by itself.
    it("while every iteration of the VM's event loop is slow is not sent to an upstream", async (t) => {
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

    // A process accepts one new connection per iteration, so the request has waited for all that were accepted before
    // it.
    it("before its connection is accepted is not sent to an upstream", async (t) => {
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
