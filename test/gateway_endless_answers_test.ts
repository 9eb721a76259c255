import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { type CallerAnswer, openLab, waitUntil } from "./gateway_lab.ts";
import type { GatewayLab, LabVm } from "./gateway_lab.ts";
import {
  addScripted,
  formatHead,
  type Script,
  type ScriptedRequest,
} from "./scripted_upstream.ts";

const PART = "x".repeat(16_384);
const CHUNK = `${PART.length.toString(16)}\r\n${PART}\r\n`;
/** What sockets and Node's streams hold on the way, besides what the gateway takes. */
const IN_FLIGHT_BYTES = 16_000_000;
/** Well below the callers' deadline, which is the last bound. */
const MOST_OPEN_MS = 3_000;
const DEADLINE_MS = "8000";

/** An answer that goes on until its reader closes. */
class EndlessAnswer {
  readonly attemptId: string;
  sentBytes = 0;
  openedMs = 0;
  closedMs: number | undefined;

  constructor(attemptId: string) {
    this.attemptId = attemptId;
  }

  /** Writes `part` again and again, no faster than it is read; `pauseMs` apart, if that is more than 0. */
  async run(socket: Socket, part: string, pauseMs = 0): Promise<void> {
    this.openedMs = performance.now();
    socket.once("close", () => this.closedMs = performance.now());
    while (!socket.destroyed) {
      this.sentBytes += part.length;
      const isTaken = socket.write(part);
      if (pauseMs > 0) await sleep(pauseMs);
      else if (isTaken) await sleep(0);
      else await untilWritable(socket);
    }
  }

  get openMs(): number {
    return (this.closedMs ?? Infinity) - this.openedMs;
  }
}

/** Waits until a socket takes more, or takes nothing any more. */
function untilWritable(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.once("drain", resolve);
    socket.once("close", () => resolve());
  });
}

/** The attempts that a VM has sent again after a failed answer. */
function attemptsSentAgain(vm: LabVm): Set<unknown> {
  const lines = vm.log.lines.filter(({ event, fields }) =>
    event === "sent again" && fields.way === "failedAnswer"
  );
  return new Set(lines.map(({ fields }) => fields.attempt));
}

interface Endless {
  readonly lab: GatewayLab;
  readonly vm: LabVm;
  readonly answers: readonly EndlessAnswer[];
}

/** Opens an upstream whose answers begin with `head` and go on with `part` until they are closed. */
async function openEndless(
  t: ExecutionContext,
  head: (request: ScriptedRequest) => string,
  part: string,
  pauseMs = 0,
): Promise<Endless> {
  const { lab, vm } = await openLab(t, 0);
  const answers: EndlessAnswer[] = [];
  const script: Script = (request, socket) => {
    const answer = new EndlessAnswer(request.attemptId);
    answers.push(answer);
    socket.write(head(request));
    void answer.run(socket, part, pauseMs);
  };
  await addScripted(t, lab, vm, script);
  return { lab, vm, answers };
}

/** Sends a request. An answer that was broken off before its head has status 0. */
async function call(
  { lab, vm }: Endless,
  path: string,
  deadlineMs = DEADLINE_MS,
): Promise<CallerAnswer> {
  const headers = { "deadline-ms": deadlineMs };
  try {
    return await lab.call(vm, { path, method: "POST", headers });
  } catch {
    return { status: 0, headers: {}, body: "", isComplete: false };
  }
}

/** Checks that the gateway closed all answers in time. */
async function checkClosed(
  t: ExecutionContext,
  { answers }: Endless,
): Promise<void> {
  await waitUntil(() =>
    answers.every(({ closedMs }) => closedMs !== undefined)
  );
  t.true(answers.length > 0);
  for (const { openMs, sentBytes } of answers) {
    t.true(openMs < MOST_OPEN_MS, `open for ${openMs} ms`);
    t.true(sentBytes < IN_FLIGHT_BYTES, `${sentBytes} bytes`);
  }
}

/** Guards against an upstream that sends without end, and holds connections, processor time and memory meanwhile. */
describe("gateway, an answer without end", () => {
  const chunked = "Transfer-Encoding: chunked";
  const REFUSALS: Readonly<Record<string, readonly string[]>> = {
    "in chunks": [chunked],
    "that ends with its connection": [],
    "of a length that never comes": ["Content-Length: 9000000000"],
  };
  for (const [name, framing] of Object.entries(REFUSALS)) {
    it(`behind a refusal, ${name}, is closed soon`, async (t) => {
      const part = framing[0] === chunked ? CHUNK : PART;
      const endless = await openEndless(
        t,
        (request) =>
          formatHead(request, "503 Busy", ["Not-Executed: 1", ...framing]),
        part,
      );
      const answer = await call(endless, "/once/");
      t.is(answer.status, 503);
      await checkClosed(t, endless);
    });
  }

  it("behind a refusal, a few bytes at a time, is closed soon", async (t) => {
    const endless = await openEndless(
      t,
      (request) =>
        formatHead(request, "503 Busy", ["Not-Executed: 1", chunked]),
      "1\r\nx\r\n",
      50,
    );
    t.is((await call(endless, "/once/")).status, 503);
    await checkClosed(t, endless);
  });

  it("of a failure that is tried again elsewhere is closed soon", async (t) => {
    const endless = await openEndless(
      t,
      (request) => formatHead(request, "500 Failed", [chunked]),
      CHUNK,
    );
    const { lab, vm } = endless;
    const { id } = await lab.addRunner();
    await waitUntil(() =>
      JSON.stringify(vm.gateway.dump().beliefs).includes(id)
    );
    let again: EndlessAnswer[] = [];
    await waitUntil(async () => {
      // Several at once go to both upstreams.
      const calls = Array.from(
        { length: 6 },
        () => call(endless, "/safe/", "1500"),
      );
      await Promise.all(calls);
      const attempts = attemptsSentAgain(vm);
      again = endless.answers.filter(({ attemptId }) =>
        attempts.has(attemptId)
      );
      return again.length > 0;
    });
    await checkClosed(t, { ...endless, answers: again });
  });

  interface Parts {
    readonly head: (request: ScriptedRequest) => string;
    /** What is sent again and again behind it. */
    readonly part: string;
  }
  const BROKEN: Readonly<Record<string, Parts>> = {
    "interim heads": {
      head: () => "",
      part: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    },
    "one head": {
      head: () => "HTTP/1.1 200 OK\r\n",
      part: "X-More: 0123456789\r\n",
    },
    "the extension of one chunk": {
      head: (request) => `${formatHead(request, "200 OK", [chunked])}1;`,
      part: "abcdefgh".repeat(16),
    },
    "trailers": {
      head: (request) => `${formatHead(request, "200 OK", [chunked])}0\r\n`,
      part: "X-More: 0123456789\r\n",
    },
  };
  for (const [name, { head, part }] of Object.entries(BROKEN)) {
    it(`made of ${name} ends its request before the deadline`, async (t) => {
      const endless = await openEndless(t, head, part);
      const { status, isComplete } = await call(endless, "/once/");
      t.is(status, 502);
      t.true(isComplete);
      await checkClosed(t, endless);
    });
  }

  it("that its caller waits for is broken off at the deadline, and closed at the upstream", async (t) => {
    const endless = await openEndless(
      t,
      (request) => formatHead(request, "200 OK", [chunked]),
      CHUNK,
      20,
    );
    const answer = await call(endless, "/once/", "700");
    t.false(answer.isComplete);
    await checkClosed(t, endless);
  });
});
