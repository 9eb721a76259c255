import type { ExecutionContext } from "ava";
import { describe, it } from "../src/base/describe.ts";
import { formatStream } from "../src/standins/mod.ts";
import {
  type GatewayLab,
  type LabVm,
  openLab,
  waitUntil,
} from "./gateway_lab.ts";
import {
  addScripted,
  type ConnectionEnd,
  endConnection,
  formatHead,
  type Script,
  type ScriptedRequest,
  type ScriptedUpstream,
} from "./scripted_upstream.ts";

const TEXT = "flour to Imilchil";
const EVENTS = formatStream(0, 2);
const FIRST_EVENT = formatStream(0, 1);
const OTHER_EVENTS = formatStream(1, 2);
const STREAM_TYPE = "Content-Type: text/event-stream";
const CHUNKED = "Transfer-Encoding: chunked";
/** Of the length of those that callers of the lab send. */
const ATTEMPT_ID = "0123456789abc";
const ENDS: readonly ConnectionEnd[] = ["close", "reset"];
/** Time for the first event to reach its caller before the stream breaks off. */
const CONTINUE_DELAY_MS = 5;
/** Requests that are open at once. */
const PARALLEL = 16;

/** A whole answer, of which a part is sent. */
interface Whole {
  readonly head: string;
  readonly rest: string;
  /** What the caller gets as body. */
  readonly body: string;
}

type Format = (request: ScriptedRequest) => Whole;

function formatChunk(text: string, extension = ""): string {
  return `${text.length.toString(16)}${extension}\r\n${text}\r\n`;
}

/** Makes what formats an answer of `body`, from more header lines and the framed body. */
function formatOf(
  body: string,
  lines: readonly string[],
  rest: string,
  interim = "",
): Format {
  return (request) => ({
    head: interim + formatHead(request, "200 OK", lines),
    rest,
    body,
  });
}

function formatsOf(body: string, types: readonly string[]) {
  const chunks = formatChunk(body.slice(0, 9)) + formatChunk(body.slice(9));
  const extended = formatChunk(body, ';x=1;y="2"');
  const length = `Content-Length: ${body.length}`;
  return {
    "a length": formatOf(body, [...types, length], body),
    "chunks": formatOf(body, [...types, CHUNKED], `${chunks}0\r\n\r\n`),
    "chunks with extensions and trailers": formatOf(
      body,
      [...types, CHUNKED, "Trailer: X-Sum"],
      `${extended}0;z\r\nX-Sum: 12\r\n\r\n`,
    ),
    "interim heads before it": formatOf(
      body,
      [...types, length],
      body,
      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
    ),
  };
}

const PLAIN = formatsOf(TEXT, ["Content-Type: text/plain"]);
const STREAM = formatsOf(EVENTS, [STREAM_TYPE]);

/** How one request's answer is cut. */
interface Cut {
  readonly at: number;
  readonly end: ConnectionEnd;
}

/** Makes a script that cuts each answer as its request's query says. */
function cutScript(format: Format): Script {
  return (request, socket) => {
    const { searchParams } = new URL(request.target, "http://h");
    const { head, rest } = format(request);
    const bytes = (head + rest).slice(0, Number(searchParams.get("at")));
    const end = searchParams.get("end") as ConnectionEnd;
    if (bytes === "") return endConnection(socket, end);
    socket.write(bytes, () => endConnection(socket, end));
  };
}

/** A lab with one upstream, which cuts its answers. */
interface CutLab {
  readonly lab: GatewayLab;
  /** The VM that callers use. */
  readonly vm: LabVm;
  readonly upstream: ScriptedUpstream;
}

const ONCE_PATHS: ReadonlySet<string> = new Set(["/once/", "/streamonce/"]);

/** Says what is wrong with the end of a request; `undefined` if nothing is. */
async function findFault(
  { lab, vm, upstream }: CutLab,
  path: string,
  { at, end }: Cut,
  { head, body, rest }: Whole,
): Promise<string | undefined> {
  const target = `${path}x?at=${at}&end=${end}`;
  const answer = await lab.call(vm, {
    path: target,
    method: "POST",
    headers: { "attempt-id": ATTEMPT_ID },
  }).catch(() => undefined);
  const place = at < head.length ? "head" : `rest+${at - head.length}`;
  const where =
    `${path} ${place} at ${at} of ${head.length}+${rest.length} ${end}`;
  if (!answer) return `${where}: no answer`;
  const { status, isComplete } = answer;
  if (status === 200 && isComplete && answer.body !== body) {
    return `${where}: a false success`;
  }
  if (status === 200 && at <= head.length) return `${where}: a success`;
  if (status !== 200 && !isComplete) return `${where}: cut ${status}`;
  const runs = upstream.requests.filter((run) => run.target === target).length;
  if (ONCE_PATHS.has(path) && runs > 1) return `${where}: ran ${runs} times`;
  const isRefusal = status === 429 || status === 503;
  if (isRefusal && runs > 0) return `${where}: refused, and ran`;
  return undefined;
}

/** Every so many bytes an answer is cut; the tests begin at different ones. */
const CUT_STEP_BYTES = 16;
/** Bytes around the end of a head at which every test cuts. */
const NEAR_BYTES = 4;

/** Cuts an answer at many bytes, from the `first` one on, and returns what was wrong. */
async function cutOften(
  lab: CutLab,
  path: string,
  format: Format,
  first: number,
): Promise<string[]> {
  const whole = format({
    method: "POST",
    target: path,
    attemptId: ATTEMPT_ID,
    lastEventId: undefined,
  });
  const { head, rest } = whole;
  const cuts = Array.from({ length: head.length + rest.length }, (_, at) => at)
    .filter((at) =>
      at % CUT_STEP_BYTES === first % CUT_STEP_BYTES ||
      Math.abs(at - head.length) <= NEAR_BYTES
    )
    .flatMap((at) => ENDS.map((end): Cut => ({ at, end })));
  const faults: string[] = [];
  for (let i = 0; i < cuts.length; i += PARALLEL) {
    const found = await Promise.all(
      cuts.slice(i, i + PARALLEL).map((cut) =>
        findFault(lab, path, cut, whole)
      ),
    );
    faults.push(...found.filter((fault) => fault !== undefined));
  }
  return faults;
}

async function openCut(
  t: ExecutionContext,
  script: Script,
  isRelayed: boolean,
): Promise<CutLab> {
  const { lab, vm } = await openLab(t, 0);
  if (!isRelayed) {
    return { lab, vm, upstream: await addScripted(t, lab, vm, script) };
  }
  const southVm = await lab.addVm("south");
  const upstream = await addScripted(t, lab, southVm, script, "south");
  await lab.waitUntilReady(southVm);
  await waitUntil(async () => {
    await lab.call(vm, { path: "/once/x?at=9999", method: "POST" })
      .catch(() => {});
    return upstream.requests.length > 0;
  });
  return { lab, vm, upstream };
}

/** Guards against a success made of a part, and against requests that end without an answer as their upstream's breaks. */
describe("gateway, an answer that is cut", () => {
  let count = 0;
  for (const isRelayed of [false, true]) {
    const way = isRelayed ? "relayed" : "directly";
    for (const path of ["/once/", "/safe/", "/stream/", "/streamonce/"]) {
      const formats = path.startsWith("/stream") ? STREAM : PLAIN;
      for (const [name, format] of Object.entries(formats)) {
        const first = count++;
        it(`at any byte, ${name}, ends with an answer: ${path} ${way}`, async (t) => {
          const lab = await openCut(t, cutScript(format), isRelayed);
          t.deepEqual(await cutOften(lab, path, format, first), []);
        });
      }
    }
  }
});

/** Makes a script that begins each stream with one event, and cuts the answers that continue it. */
function cutContinuationScript(format: Format): Script {
  const cut = cutScript(format);
  return (request, socket) => {
    if (request.lastEventId !== undefined) return cut(request, socket);
    const head = formatHead(request, "200 OK", [STREAM_TYPE, CHUNKED]);
    socket.write(
      head + formatChunk(FIRST_EVENT),
      () => endConnection(socket, "close", CONTINUE_DELAY_MS),
    );
  };
}

/** Guards against a stream that is framed as whole though what continues it was cut. */
describe("gateway, the continuation of a stream that is cut", () => {
  let count = 0;
  const formats = formatsOf(OTHER_EVENTS, [STREAM_TYPE]);
  for (const [name, format] of Object.entries(formats)) {
    const first = count++;
    it(`at any byte, ${name}, gives no false success`, async (t) => {
      const script = cutContinuationScript(format);
      const lab = await openCut(t, script, false);
      await addScripted(t, lab.lab, lab.vm, script);
      const whole: Format = (request) => ({ ...format(request), body: EVENTS });
      const faults = await cutOften(lab, "/stream/", whole, first);
      t.deepEqual(faults.filter((fault) => fault.includes("false")), []);
      const continued = lab.upstream.requests.filter(({ lastEventId }) =>
        lastEventId === "1"
      );
      t.true(continued.length > 0);
    });
  }
});

/** Guards against a caller that gets a failure where another upstream could have answered. */
describe("gateway, an answer that breaks off behind its head", () => {
  for (const path of ["/safe/", "/stream/"]) {
    it(`is taken from another upstream: ${path}`, async (t) => {
      const { lab, vm } = await openLab(t, 0);
      let arrivals = 0;
      const script: Script = (request, socket) => {
        const isCut = arrivals++ === 0;
        const length = `Content-Length: ${EVENTS.length}`;
        socket.write(formatHead(request, "200 OK", [length]));
        if (isCut) endConnection(socket, "close", 5);
        else socket.write(EVENTS);
      };
      await addScripted(t, lab, vm, script);
      await addScripted(t, lab, vm, script);
      const answer = await lab.call(vm, { path, method: "POST" });
      t.is(answer.status, 200);
      t.is(answer.body, EVENTS);
      t.true(answer.isComplete);
      t.is(arrivals, 2);
    });
  }
});
