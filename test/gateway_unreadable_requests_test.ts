import { connect } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { makeRoute, ROUTE_HOST } from "../src/standins/mod.ts";
import { sleep } from "./cluster.ts";
import { GatewayLab, waitUntil } from "./gateway_lab.ts";

const HEAD_TIMEOUT_MS = 500;
/** Longer than a head may take, with the interval of the checks. */
const ANSWER_DELAY_MS = 2_500;
const GARBAGE = "no request at all\r\n\r\n";
const UNREADABLE = {
  "whose head stays cut": ["POST /once/ HTT", "408"],
  "that is malformed": [GARBAGE, "400"],
} as const;

function requestText(attemptId: string, length = 0): string {
  return `POST /once/ HTTP/1.1\r\nhost: ${ROUTE_HOST}\r\n` +
    `attempt-id: ${attemptId}\r\ndeadline-ms: 9000\r\n` +
    `content-length: ${length}\r\n\r\n`;
}

/** Opens a VM at whose upstream at-most-once requests run longer than a head may take to arrive. */
async function openSlow(t: ExecutionContext) {
  const lab = new GatewayLab();
  t.teardown(() => lab.close());
  const once = makeRoute({
    path_prefix: "/once/",
    kind: "unsafe",
    timeout_ms: 9_000,
  });
  lab.configure([makeRoute(), once], {
    limits: { header_timeout_ms: HEAD_TIMEOUT_MS },
  });
  const runner = await lab.addRunner();
  runner.answerDelayMs = ANSWER_DELAY_MS;
  const vm = await lab.addVm();
  await lab.waitUntilReady(vm);
  const [host, port] = vm.settings.listen.callers.split(":");
  const open = () => {
    const socket = connect(Number(port), host);
    t.teardown(() => void socket.destroy());
    socket.on("error", () => {});
    let text = "";
    socket.on("data", (chunk) => text += chunk.toString());
    const closed = new Promise((resolve) => socket.on("close", resolve));
    const statuses = () =>
      [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
    return { socket, closed, statuses };
  };
  return { runner, open };
}

/** Guards against a running request that is answered by the refusal of the next one on its connection. */
describe("gateway, a request that can't be read", () => {
  for (const [name, [text, status]] of Object.entries(UNREADABLE)) {
    it(`behind an at-most-once request that is running, leaves that its own answer: ${name}`, async (t) => {
      const { runner, open } = await openSlow(t);
      const { socket, closed, statuses } = open();
      socket.write(requestText("a1"));
      await waitUntil(() => runner.arrivals.length === 1);
      socket.write(text);
      await closed;
      t.deepEqual(statuses(), ["200", status]);
    });

    it(`is refused at once on a new connection: ${name}`, async (t) => {
      const { open } = await openSlow(t);
      // The limits of the configuration apply to connections after the first request.
      const { socket: first, statuses: firstStatuses } = open();
      first.write(requestText("a1"));
      await waitUntil(() => firstStatuses().length === 1);
      const { socket, closed, statuses } = open();
      socket.write(text);
      await closed;
      t.deepEqual(statuses(), [status]);
    });
  }

  it("behind an at-most-once request that is running, leaves that its own answer: of which the body is malformed", async (t) => {
    const { runner, open } = await openSlow(t);
    const { socket, closed, statuses } = open();
    socket.write(requestText("a1"));
    await waitUntil(() => runner.arrivals.length === 1);
    const chunked = requestText("a2")
      .replace("content-length: 0", "transfer-encoding: chunked");
    socket.write(chunked + "x\r\n");
    await closed;
    t.deepEqual(statuses(), ["200", "400"]);
  });

  it("is served if the rest of its head comes while the one before it runs", async (t) => {
    const { runner, open } = await openSlow(t);
    const { socket, statuses } = open();
    const [next, cut] = [requestText("a2"), 40];
    socket.write(requestText("a1") + next.slice(0, cut));
    await waitUntil(() => runner.arrivals.length === 1);
    await sleep(1_500);
    socket.write(next.slice(cut));
    await waitUntil(() => statuses().length === 2);
    t.deepEqual(statuses(), ["200", "200"]);
  });

  it("is refused at once if it is a body, though its head was read", async (t) => {
    const { runner, open } = await openSlow(t);
    const { socket, closed, statuses } = open();
    socket.write(
      requestText("a1").replace(
        "content-length: 0",
        "transfer-encoding: chunked",
      ) +
        "x\r\n",
    );
    await closed;
    t.deepEqual(statuses(), ["400"]);
    t.is(runner.arrivals.length, 0);
  });
});
