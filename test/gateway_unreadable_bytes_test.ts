import { connect } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import { openLab } from "./gateway_lab.ts";

/** Guards against a request that runs and is told that it was malformed. */
describe("bytes that are no request, after a request on the same connection to a gateway", () => {
  it("do not become the answer of that request", async (t) => {
    const { lab, vm } = await openLab(t, 1);
    const [host, port] = vm.settings.listen.callers.split(":");
    lab.runners[0].answerDelayMs = 300;
    const socket = connect(Number(port), host);
    socket.write(
      `GET /safe/ HTTP/1.1\r\nhost: ${ROUTE_HOST}\r\nattempt-id: 1f\r\ndeadline-ms: 1500\r\n\r\n`,
    );
    setTimeout(() => socket.write("\0 no request\r\n\r\n"), 100);
    let text = "";
    for await (const chunk of socket) text += chunk.toString();
    t.is(lab.runners[0].arrivals.length, 1);
    t.regex(text, /^HTTP\/1.1 200 OK\r\n/);
  });
});
