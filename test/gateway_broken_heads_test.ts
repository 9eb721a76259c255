import { connect } from "node:net";
import { describe, it } from "../src/base/describe.ts";
import { ROUTE_HOST } from "../src/standins/mod.ts";
import { openLab } from "./gateway_lab.ts";
import { addScripted, formatHead } from "./scripted_upstream.ts";

const MALFORMED: Readonly<Record<string, string>> = {
  "a space in its name": "X Note: a",
  "an empty name": ": a",
  "a name that is no token": "X(Note): a",
  "a control character": "X-Note: a\x7fb",
};

/** Guards against an answer that reaches its caller as an internal error, by a header that can't be written. */
describe("gateway, an answer with a malformed header", () => {
  for (const [name, line] of Object.entries(MALFORMED)) {
    it(`that has ${name} is answered by 502`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      await addScripted(t, lab, vm, (request, socket) => {
        const head = formatHead(request, "200 OK", [line, "Content-Length: 4"]);
        socket.write(`${head}done`);
      });
      for (const path of ["/once/", "/safe/", "/stream/"]) {
        const answer = await lab.call(vm, { path, method: "POST" });
        t.is(answer.status, 502, path);
      }
    });
  }
});

/** Guards against a caller that waits for a body which its answer's status can't have. */
describe("gateway, a status without a body whose head promises one", () => {
  const FRAMINGS: Readonly<Record<string, string>> = {
    "a length": "Content-Length: 4",
    "chunks": "Transfer-Encoding: chunked",
  };
  for (const status of ["204 No Content", "304 Not Modified"]) {
    for (const [name, line] of Object.entries(FRAMINGS)) {
      it(`by ${name}, and does not send it: ${status}`, async (t) => {
        const { lab, vm } = await openLab(t, 0);
        await addScripted(
          t,
          lab,
          vm,
          (request, socket) =>
            void socket.write(formatHead(request, status, [line])),
        );
        for (const path of ["/once/", "/safe/", "/stream/"]) {
          const answer = await lab.call(vm, { path, method: "POST" });
          t.is(answer.status, Number(status.slice(0, 3)), path);
          t.true(answer.isComplete, path);
        }
      });
    }
  }
});

/** Guards against a malformed request that is told as a failure of the gateway. */
describe("gateway, a request with a malformed header", () => {
  for (const [name, line] of Object.entries(MALFORMED)) {
    it(`that has ${name} is answered by 400 and not run`, async (t) => {
      const { lab, vm } = await openLab(t, 1);
      const [host, port] = vm.settings.listen.callers.split(":");
      const socket = connect(Number(port), host);
      t.teardown(() => void socket.destroy());
      const status = await new Promise((resolve) => {
        socket.once("data", (chunk) => resolve(String(chunk).slice(9, 12)));
        socket.on("close", () => resolve("none"));
        socket.write(
          `POST /once/ HTTP/1.1\r\nHost: ${ROUTE_HOST}\r\nAttempt-Id: a1\r\n` +
            `${line}\r\nContent-Length: 0\r\n\r\n`,
        );
      });
      t.is(status, "400");
      t.deepEqual(lab.runners[0].arrivals, []);
    });
  }
});
