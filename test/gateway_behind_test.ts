import { once } from "node:events";
import { connect } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import { openLab, until } from "./gateway_lab.ts";

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
      await until(() =>
        vm.log.lines.some(({ fields }) => fields.outcome === "canceled")
      );
      t.is(lab.runners[0].arrivals.length, before);
    });
  });
});
