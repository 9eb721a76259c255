import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import {
  type CallerAnswer,
  GatewayLab,
  type LabVm,
  openLab,
  waitUntil,
} from "./gateway_lab.ts";
import {
  addScripted,
  formatHead,
  type Script,
  type ScriptedUpstream,
} from "./scripted_upstream.ts";

/** Makes a script that runs each request and spoils the status of its answer. */
function spoilStatus(status: string): Script {
  return (request, socket) => {
    const head = formatHead(request, `${status} OK`, ["Content-Length: 4"]);
    socket.write(`${head}done`);
  };
}

function ranOf({ body }: CallerAnswer): string {
  return (JSON.parse(body) as { error: { ran: string } }).error.ran;
}

interface Spoiled {
  readonly lab: GatewayLab;
  /** The VM that callers use. */
  readonly vm: LabVm;
  readonly upstream: ScriptedUpstream;
}

/** Opens an upstream that runs each request and spoils its answers, in the region of the callers' VM or another one. */
async function openSpoiled(
  t: ExecutionContext,
  script: Script,
  isRelayed: boolean,
): Promise<Spoiled> {
  const { lab, vm } = await openLab(t, 0);
  if (!isRelayed) {
    return { lab, vm, upstream: await addScripted(t, lab, vm, script) };
  }
  const southVm = await lab.addVm("south");
  const upstream = await addScripted(t, lab, southVm, script, "south");
  await lab.waitUntilReady(southVm);
  // The first request that arrives in the other region shows that it is known.
  await waitUntil(async () => {
    await lab.call(vm, { path: "/once/", method: "POST" });
    return upstream.requests.length > 0;
  });
  upstream.requests.length = 0;
  return { lab, vm, upstream };
}

/** Guards against an at-most-once request that runs twice, or is told as not run, as its answer can't be passed on. */
describe("gateway, an at-most-once request whose answer has a spoiled status", () => {
  for (const status of ["000", "099"]) {
    for (const isRelayed of [false, true]) {
      it(`${status} is told as maybe run, ${isRelayed ? "relayed" : "directly"}`, async (t) => {
        const { lab, vm, upstream } = await openSpoiled(
          t,
          spoilStatus(status),
          isRelayed,
        );
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.true([500, 502].includes(answer.status), String(answer.status));
        t.is(ranOf(answer), "unknown");
        t.is(upstream.requests.length, 1);
      });
    }
  }
});

/** Guards against bytes that are no answer of HTTP which reach a caller, or end its request as an internal error. */
describe("gateway, a status that is not final", () => {
  for (const status of ["000", "099", "101", "600", "999"]) {
    for (const isRelayed of [false, true]) {
      it(`${status} is answered by a failure of the gateway, ${isRelayed ? "relayed" : "directly"}`, async (t) => {
        const { lab, vm, upstream } = await openSpoiled(
          t,
          spoilStatus(status),
          isRelayed,
        );
        const answer = await lab.call(vm, { path: "/once/", method: "POST" });
        t.is(answer.status, 502);
        t.is(ranOf(answer), "unknown");
        t.is(upstream.requests.length, 1);
        const errors = lab.vms.flatMap(({ log }) =>
          log.lines.filter(({ event }) => event.includes("internal error"))
        );
        t.deepEqual(errors, []);
      });
    }
  }

  it("is told in the request's log line", async (t) => {
    const { lab, vm } = await openSpoiled(t, spoilStatus("099"), false);
    await lab.call(vm, { path: "/once/", method: "POST" });
    const line = vm.log.lines.find(({ event }) => event === "request");
    t.is(line?.fields.reason, "answer has no final status: 99");
  });
});

/** Guards against a success that reaches its caller without the stamp of an upstream. */
describe("gateway, a success whose stamp is worth nothing", () => {
  const HEADS: Readonly<Record<string, (attemptId: string) => string[]>> = {
    "is empty, and no attempt is named": () => ["Response-Stamp:"],
    "is empty": (id) => [`Attempt-Id: ${id}`, "Response-Stamp:"],
    "concerns the connection alone": (id) => [
      `Attempt-Id: ${id}`,
      "Response-Stamp: s1",
      "Connection: keep-alive, Response-Stamp",
    ],
  };
  for (const [name, headersOf] of Object.entries(HEADS)) {
    it(`that ${name} is not passed on`, async (t) => {
      const script: Script = ({ attemptId }, socket) => {
        const lines = ["HTTP/1.1 200 OK", ...headersOf(attemptId)];
        const head = [...lines, "Content-Length: 4"].join("\r\n");
        socket.write(`${head}\r\n\r\ndone`);
      };
      const { lab, vm, upstream } = await openSpoiled(t, script, false);
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 502);
      t.is(ranOf(answer), "unknown");
      t.is(upstream.requests.length, 1);
    });
  }
});

/** Guards against a relayed at-most-once request that runs again as its answer's head can't be read or passed on. */
describe("gateway, an at-most-once request whose answer's head is broken", () => {
  const BROKEN_HEADS: Readonly<Record<string, readonly string[]>> = {
    "two lengths": ["Content-Length: 4", "Content-Length: 5"],
    "a length that is no number": ["Content-Length: four"],
    "a length and chunks": ["Content-Length: 4", "Transfer-Encoding: chunked"],
    "a control character in a value": ["Content-Length: 4", "X-Note: a\x01b"],
    "a name that is no token": ["Content-Length: 4", "X Note: a"],
  };
  for (const [name, headers] of Object.entries(BROKEN_HEADS)) {
    it(`by ${name} runs once and is told as maybe run`, async (t) => {
      const script: Script = (request, socket) =>
        void socket.write(`${formatHead(request, "200 OK", headers)}done`);
      const { lab, vm, upstream } = await openSpoiled(t, script, true);
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 502);
      t.is(ranOf(answer), "unknown");
      t.is(upstream.requests.length, 1);
    });
  }

  it("by a body behind 204 runs once, and gives none of it to the next request", async (t) => {
    const script: Script = (request, socket) => {
      const head = formatHead(request, "204 No Content", ["Content-Length: 4"]);
      socket.write(`${head}done`);
    };
    const { lab, vm, upstream } = await openSpoiled(t, script, true);
    for (let i = 1; i <= 3; i++) {
      const answer = await lab.call(vm, { path: "/once/", method: "POST" });
      t.is(answer.status, 204);
      t.is(answer.body, "");
      t.is(upstream.requests.length, i);
    }
  });
});
