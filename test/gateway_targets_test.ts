import { connect } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import { openLab } from "./gateway_lab.ts";

const TARGETS = ["//", "//[", "http://[/", "http://a:99999999/", "*", "/%"];

/** Sends a request with any target; returns the status, or 0 if the connection was closed without an answer. */
function askFor(address: string, target: string): Promise<number> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    let text = "";
    const socket = connect(Number(port), host);
    socket.on("data", (chunk) => text += chunk);
    socket.on("error", () => {});
    socket.on(
      "close",
      () => resolve(Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0)),
    );
    socket.write(
      `OPTIONS ${target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n`,
    );
  });
}

/** Guards against a request whose target ends the process. */
describe("gateway, a target that is no path", () => {
  for (
    const listener of ["callers", "ready", "directory", "peers"] as const
  ) {
    it(`is answered at the ${listener} listener`, async (t) => {
      const { vm } = await openLab(t, 0);
      for (const target of TARGETS) {
        const status = await askFor(vm.settings.listen[listener], target);
        t.true(status >= 400, `${target} ${status}`);
      }
    });
  }
});
