import { createServer, type IncomingMessage } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import type { ExecutionContext } from "ava";
import { describe, it } from "../base/describe.ts";
import { secretDigest } from "../base/mod.ts";
import { formatAnswer, openEngine, openPlainService } from "../standins/mod.ts";
import {
  checkOutcomes,
  createCooperativeDay,
  generateTrace,
  type Measure,
  parseTrace,
  type RecordSource,
  replay,
  type Report,
  serializeTrace,
  type Trace,
} from "./mod.ts";

/** The fault of the gateway under test; `honest` has none. */
type GatewayBehavior =
  | "honest"
  | "wrongRegion"
  | "runsTwice"
  | "deniesARun"
  | "endsEarly"
  | "foreignAnswer"
  | "inventsAnAnswer"
  | "noAdvice";

const header = generateTrace(createCooperativeDay(), 1).header;

function smallTrace(): Trace {
  const common = {
    type: "request",
    workspace: "w",
    home: "casablanca",
    region: "casablanca",
    bound: true,
    promptTokens: 20,
    outputTokens: 8,
    deadlineMs: 20_000,
  };
  const lines = [header];
  for (let n = 0; n < 4; n++) {
    lines.push(
      {
        ...common,
        arrivalMs: n * 5,
        service: "route-plan",
        group: "question",
        kind: "chat",
        repeatable: true,
      } as never,
      {
        ...common,
        arrivalMs: n * 5,
        service: "ledger",
        group: "entry",
        kind: "plain",
        repeatable: false,
        idempotencyKey: `key-${n}`,
      } as never,
    );
  }
  return parseTrace(lines.map((line) => JSON.stringify(line)).join("\n"))
    ._unsafeUnwrap();
}

/** Replays the small trace through a gateway with the given behavior. */
async function replayThrough(
  t: ExecutionContext,
  behavior: GatewayBehavior,
): Promise<Report> {
  const engineOptions = {
    streamTokensPerS: 5000,
    decodeTokensPerS: 1e5,
    stepMs: 2,
  };
  const homeEngine = await openEngine(engineOptions);
  const remoteEngine = await openEngine(engineOptions);
  const ledger = await openPlainService();
  const engine = behavior === "wrongRegion" ? remoteEngine : homeEngine;
  const server = createServer((req, res) => {
    void answerAs(behavior, req, engine.url, ledger.url).then((answered) => {
      res.writeHead(answered.status, {
        "content-type": answered.type,
        "x-ibisgap-region": "casablanca",
      });
      res.end(answered.text);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  t.teardown(async () => {
    server.closeAllConnections();
    server.close();
    for (const part of [homeEngine, remoteEngine, ledger]) await part.close();
  });
  const records: RecordSource[] = [
    {
      upstream: "home",
      region: "casablanca",
      controlUrl: homeEngine.controlUrl,
    },
    { upstream: "far", region: "agadir", controlUrl: remoteEngine.controlUrl },
    { upstream: "ledger", region: "casablanca", controlUrl: ledger.controlUrl },
  ];
  return await replay(smallTrace(), {
    targets: [{ url: `http://127.0.0.1:${port}` }],
    recordSources: records,
  });
}

interface GatewayAnswer {
  readonly status: number;
  readonly type: string;
  readonly text: string;
}

async function answerAs(
  behavior: GatewayBehavior,
  req: IncomingMessage,
  engineUrl: string,
  ledgerUrl: string,
): Promise<GatewayAnswer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk);
  const body = Buffer.concat(chunks).toString();
  const isChat = req.url!.startsWith("/v1/chat");
  if (req.method === "GET") return error(404, { code: 2005, ran: "no" });
  if (behavior === "noAdvice") return error(503, { code: 3005, ran: "no" });
  if (behavior === "inventsAnAnswer" && !isChat) {
    return json(200, { bodyDigest: secretDigest(body) });
  }
  const forward = async () => {
    const response = await fetch((isChat ? engineUrl : ledgerUrl) + req.url, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "idempotency-key": String(req.headers["idempotency-key"] ?? ""),
      },
      body,
    });
    const type = response.headers.get("content-type") ?? "";
    return { status: response.status, type, text: await response.text() };
  };
  const answered = await forward();
  if (behavior === "runsTwice") await forward();
  if (behavior === "deniesARun") {
    return error(503, { code: 3005, ran: "no", retryAtMs: Date.now() + 1e6 });
  }
  if (behavior === "endsEarly" && isChat) {
    return { ...answered, text: answered.text.slice(0, -14) };
  }
  if (behavior === "foreignAnswer" && isChat) {
    const content = formatAnswer("someone-else", 8);
    const event = JSON.stringify({ choices: [{ delta: { content } }] });
    return { ...answered, text: `data: ${event}\n\ndata: [DONE]\n\n` };
  }
  return answered;
}

function json(status: number, body: unknown): GatewayAnswer {
  return { status, type: "application/json", text: JSON.stringify(body) };
}

function error(status: number, body: object): GatewayAnswer {
  return json(status, { error: { message: "", type: "", ...body } });
}

const guaranteeMeasures: readonly Measure[] = [
  "foreignAnswers",
  "incompleteAnswers",
  "residencyViolations",
  "doubleRuns",
  "notRunButRan",
  "answeredNotRun",
];

/** Each behavior of a gateway with the measures that must report a violation. */
const cases: readonly [GatewayBehavior, readonly Measure[]][] = [
  ["honest", []],
  ["wrongRegion", ["residencyViolations"]],
  ["runsTwice", ["doubleRuns"]],
  ["deniesARun", ["notRunButRan"]],
  ["endsEarly", ["incompleteAnswers"]],
  ["foreignAnswer", ["foreignAnswers"]],
  ["inventsAnAnswer", ["answeredNotRun"]],
];

describe("replay", () => {
  // Guards against measures that miss a violation or report a false one: with a correct gateway no measure reports a
  // violation, and with a gateway that violates one guarantee only the measure of that guarantee does.
  for (const [behavior, expected] of cases) {
    it(`reports exactly the guarantees that a gateway violates: ${behavior}`, async (t) => {
      const report = await replayThrough(t, behavior);
      const brokenGuarantees = guaranteeMeasures.filter((name) =>
        report.measure(name) !== 0
      );
      t.deepEqual(brokenGuarantees, [...expected]);
      t.is(report.measure("requests"), 8);
    });
  }

  it("counts refusals without retry advice and retries them until the deadline", async (t) => {
    const report = await replayThrough(t, "noAdvice");
    t.is(report.measure("refusedShare"), 1);
    t.is(report.measure("adviceMissing"), 8);
    t.true(report.measure("attemptsMean")! > 1);
  });

  it("reports an outcome that cannot be measured as not held", async (t) => {
    const report = await replayThrough(t, "honest");
    const [met, missed, unmeasured] = checkOutcomes(report, [
      { measure: "completeShare", atLeast: 1 },
      { measure: "completeShare", atMost: 0.5 },
      { measure: "completeShare", group: "none", atLeast: 0 },
    ]);
    t.deepEqual(
      [met.held, missed.held, unmeasured.held],
      [true, false, false],
    );
  });
});

describe("traces", () => {
  it("are the same for the same seed and are parsed back as they were written", (t) => {
    const trace = generateTrace(createCooperativeDay(), 7);
    t.is(
      serializeTrace(trace),
      serializeTrace(generateTrace(createCooperativeDay(), 7)),
    );
    t.not(
      serializeTrace(trace),
      serializeTrace(generateTrace(createCooperativeDay(), 8)),
    );
    t.deepEqual(parseTrace(serializeTrace(trace))._unsafeUnwrap(), trace);
  });

  it("with an invalid field are refused with its line and name", (t) => {
    const [first, ...rest] = serializeTrace(
      generateTrace(createCooperativeDay(), 7),
    )
      .split("\n");
    const broken = JSON.stringify({ ...JSON.parse(rest[12]), deadlineMs: -1 });
    const refused = parseTrace([first, broken].join("\n"));
    t.regex(refused._unsafeUnwrapErr(), /^line 2: deadlineMs: /);
    t.true(parseTrace(rest.join("\n")).isErr());
  });
});
